"""Updates the table of upstreams from their entries in the store."""

from __future__ import annotations

import typing as ty

from peridotmast.coordination import object_errors
from peridotmast.coordination import objects
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import upstreams as upstreams_

_MASS_REMOVAL = 3
"""Minimum number of removals in one change that is a mass removal."""

_MAX_LOGGED = 500
"""Maximum number of logged characters of the findings on an entry."""


class EntryReader(ty.Protocol):
    """Parses an upstream's entry."""

    def __call__(
        self, name: str, revision: int, spec: ty.Any
    ) -> pb.UpstreamRecord:
        """Return the entry as a record.

        Raises
        ------
        ValueError
            If the entry is malformed.
        """


class UpstreamFeed:
    """Keeps a table of upstreams in sync with the store's entries.

    Parameters
    ----------
    table : upstreams.UpstreamTable
        Table to update.
    read : EntryReader
        Parses an entry.
    """

    def __init__(
        self, table: upstreams_.UpstreamTable, read: EntryReader
    ) -> None:
        self._table = table
        self._read = read
        self._log = logs.get('upstreams')
        self.errors = object_errors.ObjectErrors('upstreams')
        """Confines errors to single entries."""
        self.is_listed = False
        """Whether a listing of all entries has been processed."""

    def on_listing(self, listing: objects.Listing, after_outage: bool) -> None:
        """Process all entries; upstreams without one are gone or lapsed."""
        present = {stored.name for stored in listing.objects}
        for stored in listing.objects:
            self._apply(stored, after_outage, listing.revision)
        for view in self._table.all():
            known = view.record.state != upstreams_.GONE
            if known and view.name not in present:
                absent = objects.StoredObject(view.name, listing.revision)
                self._apply(absent, after_outage)
        self.is_listed = True

    def on_changes(self, changes: objects.Changes, after_outage: bool) -> None:
        """Process the entries that have changed."""
        after_outage = after_outage or self._is_mass_removal(changes)
        for stored in changes.objects:
            self._apply(stored, after_outage)

    def tick(self) -> None:
        """Drop lapsed upstreams whose entries have not come back in time."""
        for view in self._table.tick():
            self._log_state(view.record)

    def _is_mass_removal(self, changes: objects.Changes) -> bool:
        """Return whether most upstreams are removed in one change.

        No reclaim or stop removes upstreams of all services at once, but an
        outage that this router's watch did not notice does.
        """
        gone = [s for s in changes.objects if s.spec is None]
        known = [
            view
            for view in self._table.all()
            if view.record.state != upstreams_.GONE
        ]
        return len(gone) >= _MASS_REMOVAL and 2 * len(gone) > len(known)

    def _apply(
        self,
        stored: objects.StoredObject,
        after_outage: bool,
        listed_at: int = 0,
    ) -> None:
        with self.errors.confine(stored):
            if stored.spec is not None:
                self._merge_entry(stored, listed_at)
                return
            state = upstreams_.LAPSED if after_outage else upstreams_.GONE
            self._merge(_empty_record(stored, state))

    def _merge_entry(
        self, stored: objects.StoredObject, listed_at: int
    ) -> None:
        # Remains if the reader fails in a way that it does not state.
        record = _empty_record(stored, upstreams_.UNREADABLE)
        with self.errors.confine(stored):
            record = self._read_entry(stored)
        if self._is_renewed(record):
            record.revision = max(record.revision, listed_at)
        self._merge(record)

    def _read_entry(self, stored: objects.StoredObject) -> pb.UpstreamRecord:
        """Return the record of an entry, also if the entry is malformed."""
        try:
            return self._read(stored.name, stored.revision, stored.spec)
        except ValueError as exc:
            self._log.error(
                'entry_malformed',
                upstream=stored.name,
                revision=stored.revision,
                error=str(exc)[:_MAX_LOGGED],
            )
            return _empty_record(stored, upstreams_.UNREADABLE)

    def _is_renewed(self, record: pb.UpstreamRecord) -> bool:
        """Return whether the entry of a gone upstream was renewed since.

        An entry on the copy that the store returned from does not revive an
        upstream that is gone. A renewal does, but it leaves the revision.
        """
        view = self._table.get(record.upstream.name)
        return (
            view is not None
            and view.record.state == upstreams_.GONE
            and view.record.revision == record.revision
            and view.record.renewals < record.renewals
        )

    def _merge(self, record: pb.UpstreamRecord) -> None:
        if self._table.merge(record):
            view = self._table.get(record.upstream.name)
            self._log_state(view.record if view else record)

    def _log_state(self, record: pb.UpstreamRecord) -> None:
        self._log.info(
            'upstream',
            upstream=record.upstream.name,
            state=pb.UpstreamState.Name(record.state),
            service=record.upstream.service,
            version=record.upstream.version,
            address=record.upstream.address,
            revision=record.revision,
            reclaimable=record.reclaimable,
        )


def _empty_record(
    stored: objects.StoredObject, state: pb.UpstreamState
) -> pb.UpstreamRecord:
    """Return a record with only the name, state and revision of an entry."""
    return pb.UpstreamRecord(
        upstream=pb.Upstream(name=stored.name),
        state=state,
        revision=stored.revision,
    )
