"""Confirmation of the objects of a page by reading them one by one."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast.coordination import objects as objects_
from peridotmast import failures
from peridotmast import logs
from peridotmast.platform import store_answers

ReadObject = ty.Callable[
    [str], ty.Union[objects_.StoredObject, failures.Failure]
]
"""Reads one object by its name."""


@dataclasses.dataclass(frozen=True)
class Confirmed:
    """The objects of a page as far as they are objects of the store."""

    objects: list[objects_.StoredObject]
    differing: ty.Optional[objects_.StoredObject] = None
    """The object of the page that the store shows otherwise; None if there is
    none. What follows it on the page is not used."""


@dataclasses.dataclass(frozen=True)
class Shown:
    """An object as the store shows it by itself."""

    object: objects_.StoredObject
    """Without a value if it does not exist, and with an empty one if it can't
    be read."""
    is_readable: bool = True

    def is_same(self, stored: objects_.StoredObject) -> bool:
        """Return whether this is what a page has for the object."""
        return (
            self.is_readable
            and self.object.revision == stored.revision
            and self.object.spec == stored.spec
        )


class Confirmer:
    """Confirms objects by reading each one from the store.

    Parameters
    ----------
    kind : str
        Kind of objects.
    read : callable
        Reads one object by its name.
    """

    def __init__(self, kind: str, read: ReadObject) -> None:
        self._read = read
        self._log = logs.get('store', kind=kind)

    def confirm(
        self, page: store_answers.Page, suspects: ty.Collection[int]
    ) -> ty.Union[Confirmed, failures.Failure]:
        """Return the objects of a page.

        If the store shows an object otherwise, the page may have a part of
        its value in place of the objects that follow, or it has changed since.

        Parameters
        ----------
        suspects : collection of int
            Indices of the objects that are to be confirmed.
        """
        found: list[objects_.StoredObject] = []
        for number, stored in enumerate(page.objects):
            if stored is None:
                self._log.error('object_unreadable', revision=page.revision)
                continue
            if number not in suspects:
                found.append(stored)
                continue
            shown = self.read_current(stored)
            if isinstance(shown, failures.Failure):
                return shown
            found.append(shown.object)
            if not shown.is_same(stored):
                self._log.info(
                    'object_differs',
                    object=stored.name,
                    revision=stored.revision,
                    shown_revision=shown.object.revision,
                    is_readable=shown.is_readable,
                )
                return Confirmed(found, stored)
        return Confirmed(found)

    def read_current(
        self, stored: objects_.StoredObject
    ) -> ty.Union[Shown, failures.Failure]:
        """Return an object as the store shows it by itself.

        If it does not exist or can't be read, the result has the revision of
        `stored`.
        """
        found = self._read(stored.name)
        if isinstance(found, failures.Failure):
            if found.reason != store_answers.GARBLED:
                return found
            unreadable = dataclasses.replace(stored, spec={}, status=None)
            return Shown(unreadable, is_readable=False)
        if found.spec is None:
            found = dataclasses.replace(stored, spec=None, status=None)
        return Shown(found)
