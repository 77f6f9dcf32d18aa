"""Reads pages of objects, some of which may be unreadable."""

from __future__ import annotations

import abc
import typing as ty

from peridotmast.coordination import objects
from peridotmast import failures
from peridotmast import logs
from peridotmast.platform import confirmation
from peridotmast.platform import framed_list
from peridotmast.platform import store_answers

NextPage = ty.Union[store_answers.Page, failures.Failure, None]
"""The page that follows; None after the last one."""


class PageReader(abc.ABC):
    """Reads the pages of a listing, or of the events of a watch.

    What follows an unreadable object on a page is not used, because its text
    does not tell where the object ends. The store does: it continues after
    the object. Only the first object of a page is certain to begin where it
    seems to. So a page that has an unreadable object elsewhere is continued
    from the object before it, to see the same one there.

    Parameters
    ----------
    kind : str
        Kind of objects.
    read : callable
        Reads one object by its name.
    """

    def __init__(self, kind: str, read: confirmation.ReadObject) -> None:
        self._confirmer = confirmation.Confirmer(kind, read)
        self._log = logs.get('store', kind=kind)

    @abc.abstractmethod
    def _use_object(self, stored: objects.StoredObject) -> None:
        """Use an object that is certain to be one of the store."""

    @abc.abstractmethod
    def _read_after(
        self, last: objects.StoredObject
    ) -> ty.Union[store_answers.Page, failures.Failure]:
        """Read the page that continues after an object."""

    @abc.abstractmethod
    def _advance(
        self, last: objects.StoredObject
    ) -> ty.Optional[failures.Failure]:
        """Count an object as read; fail if that is no progress."""

    @abc.abstractmethod
    def _end_page(self, page: store_answers.Page) -> NextPage:
        """Return the page that follows one which was read to its end."""

    @abc.abstractmethod
    def _identify(
        self, page: store_answers.Page, unread: framed_list.Unread
    ) -> ty.Union[objects.StoredObject, failures.Failure]:
        """Return the unreadable first object of a page, which has no name."""

    def _use_page(self, page: store_answers.Page) -> NextPage:
        """Use what is certain of a page, and return the next one."""
        if page.unread is None:
            return self._use_whole(page)
        if page.last is not None:
            return self._use_part(page, page.unread, page.last)
        return self._pass_unreadable(page, page.unread)

    def _use_whole(self, page: store_answers.Page) -> NextPage:
        """Use a page that can be read to its end."""
        differing = self._use_objects(page, page.suspects)
        if differing is None:
            return self._end_page(page)
        return self._continue_after(differing)

    def _use_part(
        self,
        page: store_answers.Page,
        unread: framed_list.Unread,
        last: objects.StoredObject,
    ) -> NextPage:
        """Use the objects before an unreadable one.

        If the store does not show the same one after them, one of them may be
        part of another object.
        """
        following = self._read_after(last)
        if isinstance(following, failures.Failure):
            return following
        suspects: ty.Collection[int] = page.suspects
        if not following.begins_with_item(unread):
            suspects = range(len(page.objects))
        differing = self._use_objects(page, suspects)
        if differing is not None and differing != last:
            return self._continue_after(differing)
        return self._advance(last) or following

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

    def _pass_unreadable(
        self, page: store_answers.Page, unread: framed_list.Unread
    ) -> NextPage:
        """Continue after the first object of a page, which is not JSON."""
        stored = page.unread_object or self._identify(page, unread)
        if isinstance(stored, failures.Failure):
            return stored
        failure = self._advance(stored)
        if failure is not None:
            return failure
        self._log.error(
            'object_unreadable', object=stored.name, revision=stored.revision
        )
        self._use_object(stored)
        return self._read_after(stored)

    def _continue_after(
        self, last: ty.Union[objects.StoredObject, failures.Failure]
    ) -> ty.Union[store_answers.Page, failures.Failure]:
        """Return the page after an object; pass a failure on."""
        if isinstance(last, failures.Failure):
            return last
        failure = self._advance(last)
        return self._read_after(last) if failure is None else failure
