"""Changes of a kind of objects, some of which may be unreadable."""

from __future__ import annotations

import typing as ty

from peridotmast.coordination import objects
from peridotmast import failures
from peridotmast import logs
from peridotmast.platform import confirmation
from peridotmast.platform import framed_list
from peridotmast.platform import store_answers

_MAX_ANSWERS = 100
"""Maximum number of answers that are read at a time; the next watch continues
from there."""

ReadEvents = ty.Callable[[int], ty.Union[store_answers.Page, failures.Failure]]
"""Reads the events after a revision, without waiting for any."""

_NextPage = ty.Union[store_answers.Page, failures.Failure, None]
"""The events that follow; None after the last ones."""


class ChangeReader:
    """Reads the events of an answer, and those that continue it.

    What follows an unreadable event is not used, as in a listing. The events
    continue after its revision, and the answer that has it elsewhere than at
    its beginning is continued from the event before it.

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
        self._read_events = read_events
        self._confirmer = confirmation.Confirmer(kind, read)
        self._log = logs.get('store', kind=kind)
        self._found: list[objects.StoredObject] = []
        self._revision = since

    def read_from(
        self, answer: store_answers.Page
    ) -> ty.Union[objects.Changes, failures.Failure]:
        """Return the changes from an answer on.

        Fails if nothing can be used, with the reason HISTORY_GONE if an event
        is unreadable and does not tell its revision.
        """
        page: _NextPage = answer
        for _ in range(_MAX_ANSWERS):
            if isinstance(page, failures.Failure) and not self._found:
                return page
            if page is None or isinstance(page, failures.Failure):
                break
            page = self._use(page)
        return objects.Changes(self._found, self._revision)

    def _use(self, page: store_answers.Page) -> _NextPage:
        """Use what is certain of an answer, and return the next one."""
        if page.unread is None:
            return self._use_whole(page)
        if page.last is not None:
            return self._use_part(page, page.unread, page.last)
        return self._pass_unreadable(page)

    def _use_whole(self, page: store_answers.Page) -> _NextPage:
        """Use an answer that can be read to its end."""
        differing = self._use_events(page, page.suspects)
        if differing is not None:
            return self._continue_after(differing)
        self._revision = page.revision
        return None

    def _use_part(
        self,
        page: store_answers.Page,
        unread: framed_list.Unread,
        last: objects.StoredObject,
    ) -> _NextPage:
        """Use the events before an unreadable one.

        If the store does not show the same one after them, one of them may be
        part of another event.
        """
        following = self._read_events(last.revision)
        if isinstance(following, failures.Failure):
            return following
        suspects: ty.Collection[int] = page.suspects
        if not following.begins_with_item(unread):
            suspects = range(len(page.objects))
        differing = self._use_events(page, suspects)
        if differing is not None and differing != last:
            return self._continue_after(differing)
        self._revision = last.revision
        return following

    def _use_events(
        self, page: store_answers.Page, suspects: ty.Collection[int]
    ) -> ty.Union[objects.StoredObject, failures.Failure, None]:
        """Use the events up to one that the store shows otherwise.

        Returns that one; None if there is none.
        """
        confirmed = self._confirmer.confirm(page, suspects)
        if isinstance(confirmed, failures.Failure):
            return confirmed
        self._found += confirmed.objects
        return confirmed.differing

    def _pass_unreadable(self, page: store_answers.Page) -> _NextPage:
        """Continue after the first event of an answer, which is not JSON."""
        stored = page.unread_object
        if stored is None or stored.revision <= self._revision:
            self._log.error('event_unreadable', since=self._revision)
            return failures.missing(
                objects.HISTORY_GONE, f'unreadable after {self._revision}'
            )
        self._log.error(
            'object_unreadable', object=stored.name, revision=stored.revision
        )
        self._found.append(stored)
        return self._continue_after(stored)

    def _continue_after(
        self, last: ty.Union[objects.StoredObject, failures.Failure]
    ) -> ty.Union[store_answers.Page, failures.Failure]:
        """Return the events after another one; pass a failure on."""
        if isinstance(last, failures.Failure):
            return last
        if last.revision <= self._revision:
            return failures.missing(
                objects.HISTORY_GONE, f'no event after {self._revision}'
            )
        self._revision = last.revision
        return self._read_events(last.revision)
