"""Objects with revisions, as coordination parts expect them of a store."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast import failures

Json = dict[str, ty.Any]


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """An object as it was read or written."""

    name: str
    revision: int
    """Of its last change; 0 where there is no object."""
    spec: ty.Optional[Json] = None
    """Its value; None where there is no object."""


@dataclasses.dataclass(frozen=True)
class Listing:
    """All objects of a kind at one revision."""

    objects: list[StoredObject]
    revision: int


@dataclasses.dataclass(frozen=True)
class Changes:
    """What happened to the objects of a kind since a revision."""

    objects: list[StoredObject]
    """Changed ones, in order; removed ones without a value."""
    revision: int
    """From which the next question goes on."""


HISTORY_GONE = 'history_gone'
"""Reason of a failure that says: the changes are forgotten, list anew."""


class ObjectStore(ty.Protocol):
    """The store that the platform runs.

    Reads are of the newest state. A conditional write names the revision
    that it replaces. A failure of kind OUTCOME_UNKNOWN means that a write
    may have taken effect, or may do so later if its condition still holds.
    """

    def read(
        self, kind: str, name: str
    ) -> ty.Union[StoredObject, failures.Failure]:
        """Return an object; one without a value where there is none."""

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
            Called as bytes of the answer come.
        """

    def write(
        self, kind: str, name: str, spec: Json, revision: int
    ) -> ty.Union[StoredObject, failures.Failure]:
        """Write where the object is still at `revision` (0: not there).

        A failure of kind CONFLICT means that nothing was written.
        """

    def remove(
        self, kind: str, name: str, revision: int
    ) -> ty.Optional[failures.Failure]:
        """Remove an object that is still at `revision`."""
