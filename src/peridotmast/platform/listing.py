"""Listing of a kind of objects, some of which may be unreadable."""

from __future__ import annotations

import typing as ty

from peridotmast.coordination import objects
from peridotmast import failures
from peridotmast.platform import confirmation
from peridotmast.platform import framed_list
from peridotmast.platform import page_reader
from peridotmast.platform import store_answers
from peridotmast.platform import unnamed_object

_MAX_PAGES = 1000
"""Maximum number of pages of one listing, each of about 500 objects. Each
unreadable object costs one or two more."""


class ListReader(page_reader.PageReader):
    """Reads all objects of a kind, and continues after their names.

    Parameters
    ----------
    kind : str
        Kind of objects.
    read_page : callable
        Reads the page that continues after a name.
    read : callable
        Reads one object by its name.
    """

    def __init__(
        self,
        kind: str,
        read_page: unnamed_object.ReadPage,
        read: confirmation.ReadObject,
    ) -> None:
        super().__init__(kind, read)
        self._kind = kind
        self._read_page = read_page
        self._found: dict[str, objects.StoredObject] = {}
        self._continued: set[str] = set()
        """Names after which the listing was continued."""
        self._after = ''

    def read_all(self) -> ty.Union[objects.Listing, failures.Failure]:
        """Return all objects, at the revision of the first page.

        A watch must start from that revision: from that of the last page, it
        would miss changes that happened between two pages.
        """
        first = self._read_page('')
        page: page_reader.NextPage = first
        for _ in range(_MAX_PAGES):
            if isinstance(first, failures.Failure):
                return first
            if isinstance(page, failures.Failure):
                return page
            if page is None:
                return objects.Listing([*self._found.values()], first.revision)
            if not page.is_of_era(first.revision):
                return failures.unavailable('store_returned', self._kind)
            page = self._use_page(page)
        return failures.unavailable('too_many_pages', self._kind)

    def _use_object(self, stored: objects.StoredObject) -> None:
        if stored.spec is None:
            self._found.pop(stored.name, None)
        else:
            self._found[stored.name] = stored

    def _read_after(
        self, last: objects.StoredObject
    ) -> ty.Union[store_answers.Page, failures.Failure]:
        return self._read_page(last.name)

    def _advance(
        self, last: objects.StoredObject
    ) -> ty.Optional[failures.Failure]:
        if last.name in self._continued:
            return self._garbled('the same page again')
        self._continued.add(last.name)
        self._after = last.name
        return None

    def _end_page(self, page: store_answers.Page) -> page_reader.NextPage:
        if not page.has_more:
            return None
        if page.last is None:
            return self._garbled('no object on a page')
        return self._continue_after(page.last)

    def _identify(
        self, page: store_answers.Page, unread: framed_list.Unread
    ) -> ty.Union[objects.StoredObject, failures.Failure]:
        name = unnamed_object.find_name(unread, self._after, self._read_page)
        if name is None:
            return self._garbled('unreadable object without a name')
        if isinstance(name, failures.Failure):
            return name
        seen = objects.StoredObject(name, page.revision, {})
        shown = self._confirmer.read_current(seen)
        return shown if isinstance(shown, failures.Failure) else shown.object

    def _garbled(self, detail: str) -> failures.Failure:
        return failures.unavailable(
            store_answers.GARBLED,
            f'{self._kind} after {self._after}: {detail}',
        )
