"""Registration of routers by entries in the store, which others read."""

from __future__ import annotations

import typing as ty

from google.protobuf import json_format

from peridotmast.coordination import beacon_check
from peridotmast.coordination import members as members_
from peridotmast.coordination import objects
from peridotmast import failures
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast import schema_json

KIND = 'peridotmast-members'
"""Kind of the entries, which only routers write."""


_LOCATION_FIELDS = (
    'address',
    'chat_address',
    'peer_address',
    'beacon_address',
    'failure_domain',
    'region',
)
"""Fields that locate a router; only its beacons update other fields."""


class Registry:
    """Registers this router in the store and reads the other entries.

    Parameters
    ----------
    store : objects.ObjectStore
        The platform's store.
    members : members.Members
        This router and the peers that it discovers.
    """

    def __init__(
        self, store: objects.ObjectStore, members: members_.Members
    ) -> None:
        self._store = store
        self._members = members
        self._log = logs.get('registry', router=members.me.name)
        self._has_earlier_run: ty.Optional[bool] = None

    @property
    def is_first_run(self) -> bool:
        """Whether no earlier run of this router was registered.

        False until the entries have been read.
        """
        return self._has_earlier_run is False

    def register(self) -> bool:
        """Register this router and discover all others.

        The entry of an earlier run is kept if it still locates this router.
        After a write the entries are read again, so that of two routers that
        start at once at least one sees the other.

        Returns
        -------
        bool
            Whether all calls succeeded.
        """
        listing = self._discover()
        if listing is None:
            return False
        me = self._members.me
        own = next((s for s in listing.objects if s.name == me.name), None)
        if self._has_earlier_run is None:
            # A later listing may have an entry that this run has written.
            self._has_earlier_run = own is not None
        if own is not None and _is_location_current(own, me):
            return True
        spec = json_format.MessageToDict(me)
        revision = own.revision if own is not None else 0
        result = self._store.write(KIND, me.name, spec, revision)
        if isinstance(result, failures.Failure):
            self._log.info('member_write_failed', reason=result.reason)
            return False
        return self._discover() is not None

    def _discover(self) -> ty.Optional[objects.Listing]:
        """Merge all entries into the members; None if the listing failed."""
        listing = self._store.list(KIND)
        if isinstance(listing, failures.Failure):
            self._log.info('members_read_failed', reason=listing.reason)
            return None
        for stored in listing.objects:
            member = _parse(stored)
            if member is not None:
                self._members.merge_entry(member)
            elif stored.spec is not None:
                self._log.error(
                    'member_malformed',
                    member=stored.name,
                    revision=stored.revision,
                )
        return listing


def _is_location_current(own: objects.StoredObject, me: pb.Member) -> bool:
    """Return whether an earlier run's entry locates this run as well."""
    before = _parse(own)
    return before is not None and all(
        getattr(before, name) == getattr(me, name) for name in _LOCATION_FIELDS
    )


def _parse(stored: objects.StoredObject) -> ty.Optional[pb.Member]:
    """Return the router in an entry; None if no router has written it.

    An entry must neither pass for that of another router, nor have an address
    to which no beacon can be sent.
    """
    try:
        member = schema_json.parse(stored.spec or {}, pb.Member())
    except schema_json.SchemaError:
        return None
    is_valid = not beacon_check.check_member(member)
    return member if is_valid and member.name == stored.name else None
