"""Listing of a kind of objects, some of which may be unreadable."""

from __future__ import annotations

import typing as ty

from peridotmast.coordination import objects
from peridotmast import failures
from peridotmast import logs
from peridotmast.platform import confirmation
from peridotmast.platform import framed_list
from peridotmast.platform import store_answers
from peridotmast.platform import unnamed_object

_MAX_PAGES = 1000
"""Maximum number of pages of one listing, each of about 500 objects. Each
unreadable object costs one or two more."""

_NextPage = ty.Union[store_answers.Page, failures.Failure, None]
"""The page that follows; None after the last one."""


class ListReader:
    """Reads all objects of a kind.

    What follows an unreadable object on a page is not used, because its text
    does not tell where the object ends. The store does: the listing continues
    after the name of the object. Only the first object of a page is certain to
    begin where it seems to. So a page that has an unreadable object elsewhere
    is continued from the object before it, to see the same one there.

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
        self._kind = kind
        self._read_page = read_page
        self._confirmer = confirmation.Confirmer(kind, read)
        self._log = logs.get('store', kind=kind)
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
        page: _NextPage = first
        for _ in range(_MAX_PAGES):
            if isinstance(first, failures.Failure):
                return first
            if isinstance(page, failures.Failure):
                return page
            if page is None:
                return objects.Listing([*self._found.values()], first.revision)
            if not page.is_of_era(first.revision):
                return failures.unavailable('store_returned', self._kind)
            page = self._use(page)
        return failures.unavailable('too_many_pages', self._kind)

    def _use(self, page: store_answers.Page) -> _NextPage:
        """Use what is certain of a page, and return the next one."""
        if page.unread is None:
            return self._use_whole(page)
        if page.last is not None:
            return self._use_part(page, page.unread, page.last)
        return self._pass_unreadable(page, page.unread)

    def _use_whole(self, page: store_answers.Page) -> _NextPage:
        """Use a page that can be read to its end."""
        differing = self._use_objects(page, page.suspects)
        if differing is not None:
            return self._continue_after(differing)
        if not page.has_more:
            return None
        if page.last is None:
            return self._garbled('no object on a page')
        return self._continue_after(page.last)

    def _use_part(
        self,
        page: store_answers.Page,
        unread: framed_list.Unread,
        last: objects.StoredObject,
    ) -> _NextPage:
        """Use the objects before an unreadable one.

        If the store does not show the same one after them, one of them may be
        part of another object.
        """
        following = self._continue_after(last)
        if isinstance(following, failures.Failure):
            return following
        suspects: ty.Collection[int] = page.suspects
        if not following.begins_with_item(unread):
            suspects = range(len(page.objects))
        differing = self._use_objects(page, suspects)
        if differing is not None and differing != last:
            return self._continue_after(differing)
        return following

    def _use_objects(
        self, page: store_answers.Page, suspects: ty.Collection[int]
    ) -> ty.Union[objects.StoredObject, failures.Failure, None]:
        """Use the objects of a page up to one that the store shows otherwise.

        Returns that one; None if there is none.
        """
        confirmed = self._confirmer.confirm(page, suspects)
        if isinstance(confirmed, failures.Failure):
            return confirmed
        for stored in confirmed.objects:
            self._use_object(stored)
        return confirmed.differing

    def _use_object(self, stored: objects.StoredObject) -> None:
        if stored.spec is None:
            self._found.pop(stored.name, None)
        else:
            self._found[stored.name] = stored

    def _pass_unreadable(
        self, page: store_answers.Page, unread: framed_list.Unread
    ) -> _NextPage:
        """Continue after the first object of a page, which is not JSON."""
        stored = page.unread_object or self._identify(page, unread)
        if isinstance(stored, failures.Failure):
            return stored
        self._log.error(
            'object_unreadable', object=stored.name, revision=stored.revision
        )
        self._use_object(stored)
        return self._continue_after(stored)

    def _identify(
        self, page: store_answers.Page, unread: framed_list.Unread
    ) -> ty.Union[objects.StoredObject, failures.Failure]:
        """Return the first object of a page that does not tell its name."""
        name = unnamed_object.find_name(unread, self._after, self._read_page)
        if name is None:
            return self._garbled('unreadable object without a name')
        if isinstance(name, failures.Failure):
            return name
        seen = objects.StoredObject(name, page.revision, {})
        shown = self._confirmer.read_current(seen)
        return shown if isinstance(shown, failures.Failure) else shown.object

    def _continue_after(
        self, last: ty.Union[objects.StoredObject, failures.Failure]
    ) -> ty.Union[store_answers.Page, failures.Failure]:
        """Return the page after an object; pass a failure on."""
        if isinstance(last, failures.Failure):
            return last
        if last.name in self._continued:
            return self._garbled('the same page again')
        self._continued.add(last.name)
        self._after = last.name
        return self._read_page(last.name)

    def _garbled(self, detail: str) -> failures.Failure:
        return failures.unavailable(
            store_answers.GARBLED,
            f'{self._kind} after {self._after}: {detail}',
        )
