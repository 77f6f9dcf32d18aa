"""Changes of a kind of objects, some of which may be unreadable."""

from __future__ import annotations

import typing as ty

from peridotmast.coordination import objects
from peridotmast import failures
from peridotmast.platform import confirmation
from peridotmast.platform import framed_list
from peridotmast.platform import page_reader
from peridotmast.platform import store_answers

_MAX_ANSWERS = 100
"""Maximum number of answers that are read at a time; the next watch continues
from there."""

ReadEvents = ty.Callable[[int], ty.Union[store_answers.Page, failures.Failure]]
"""Reads the events after a revision, without waiting for any."""


class ChangeReader(page_reader.PageReader):
    """Reads the events of an answer, and continues after their revisions.

    Parameters
    ----------
    kind : str
        Kind of objects.
    since : int
        Revision after which the events are read.
    read_events : callable
        Reads the events after a revision.
    read : callable
        Reads one object by its name.
    """

    def __init__(
        self,
        kind: str,
        since: int,
        read_events: ReadEvents,
        read: confirmation.ReadObject,
    ) -> None:
        super().__init__(kind, read)
        self._read_events = read_events
        self._found: list[objects.StoredObject] = []
        self._revision = since

    def read_from(
        self, answer: store_answers.Page
    ) -> ty.Union[objects.Changes, failures.Failure]:
        """Return the changes from an answer on.

        Fails if nothing can be used, with the reason HISTORY_GONE if an event
        is unreadable and does not tell its revision.
        """
        page: page_reader.NextPage = answer
        for _ in range(_MAX_ANSWERS):
            if isinstance(page, failures.Failure) and not self._found:
                return page
            if page is None or isinstance(page, failures.Failure):
                break
            page = self._use_page(page)
        return objects.Changes(self._found, self._revision)

    def _use_object(self, stored: objects.StoredObject) -> None:
        self._found.append(stored)

    def _read_after(
        self, last: objects.StoredObject
    ) -> ty.Union[store_answers.Page, failures.Failure]:
        return self._read_events(last.revision)

    def _advance(
        self, last: objects.StoredObject
    ) -> ty.Optional[failures.Failure]:
        if last.revision <= self._revision:
            return self._history_gone('no later event')
        self._revision = last.revision
        return None

    def _end_page(self, page: store_answers.Page) -> page_reader.NextPage:
        self._revision = page.revision
        return None

    def _identify(
        self, page: store_answers.Page, unread: framed_list.Unread
    ) -> ty.Union[objects.StoredObject, failures.Failure]:
        self._log.error('event_unreadable', since=self._revision)
        return self._history_gone('unreadable event without a revision')

    def _history_gone(self, detail: str) -> failures.Failure:
        """Return the failure after which the kind is listed anew."""
        return failures.missing(
            objects.HISTORY_GONE, f'after {self._revision}: {detail}'
        )
