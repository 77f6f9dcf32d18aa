"""Interface of a store that keeps objects with revisions."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast.coordination import store_era
from peridotmast import failures

Json = dict[str, ty.Any]


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """An object as it was read or written."""

    name: str
    revision: int
    """Revision of its last change; 0 if the object does not exist."""
    spec: ty.Optional[Json] = None
    """Its value; None if the object does not exist."""
    status: ty.Optional[Json] = None
    """What the system has written on it; None if nothing."""


@dataclasses.dataclass(frozen=True)
class Listing:
    """All objects of a kind at one revision."""

    objects: list[StoredObject]
    revision: int


@dataclasses.dataclass(frozen=True)
class Changes:
    """The changes of a kind's objects since a revision."""

    objects: list[StoredObject]
    """Changed objects, in order; removed ones without a value."""
    revision: int
    """Revision from which the next watch continues."""


HISTORY_GONE = 'history_gone'
"""Failure reason: the store no longer has the changes; list the kind again."""


class ObjectStore(ty.Protocol):
    """The platform's store.

    Reads return the newest state. A write is conditional on the revision
    that it replaces. A failure of kind OUTCOME_UNKNOWN means that a write
    may have taken effect, or may do so later if its condition still holds.

    Revisions are those of `peridotmast.revisions`. A write that is conditional
    on a revision of an earlier era is a conflict, and a watch from one has
    lost its history. The result of a write has the era in which it took
    effect.
    """

    era: store_era.StoreEra
    """Newest era that the store has named to this router."""

    def read(
        self, kind: str, name: str
    ) -> ty.Union[StoredObject, failures.Failure]:
        """Return an object; one without a value if it does not exist."""

    def list(self, kind: str) -> ty.Union[Listing, failures.Failure]:
        """Return all objects of a kind."""

    def watch(
        self,
        kind: str,
        since: int,
        wait_ms: int,
        on_bytes: ty.Callable[[], None] = lambda: None,
    ) -> ty.Union[Changes, failures.Failure]:
        """Wait for changes after revision `since`, at most `wait_ms`.

        Parameters
        ----------
        on_bytes : callable, optional
            Called whenever bytes of the answer arrive.
        """

    def write(
        self, kind: str, name: str, spec: Json, revision: int
    ) -> ty.Union[StoredObject, failures.Failure]:
        """Write an object that is still at `revision` (0: not existing).

        A failure of kind CONFLICT means that nothing was written.
        """

    def write_status(
        self, kind: str, name: str, status: Json, revision: int
    ) -> ty.Union[StoredObject, failures.Failure]:
        """Write the status of an object that is still at `revision`."""

    def remove(
        self, kind: str, name: str, revision: int
    ) -> ty.Optional[failures.Failure]:
        """Remove an object if it is still at `revision`."""
