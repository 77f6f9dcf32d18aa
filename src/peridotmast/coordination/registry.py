"""Where a starting router finds the others: one entry each in the store."""

from __future__ import annotations

import typing as ty

from google.protobuf import json_format

from peridotmast.coordination import members as members_
from peridotmast.coordination import objects
from peridotmast import failures
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb

KIND = 'peridotmast-members'
"""Kind of the entries; of our own, since nobody else writes there."""


_PLACE = (
    'address',
    'chat_address',
    'peer_address',
    'beacon_address',
    'failure_domain',
    'region',
)
"""Fields by which others find a router; the rest they hear from itself."""


class Registry:
    """Enters this router in the store and reads who else is there.

    Parameters
    ----------
    store : objects.ObjectStore
        The platform's store.
    members : members.Members
        This router and those it learns of.
    """

    def __init__(
        self, store: objects.ObjectStore, members: members_.Members
    ) -> None:
        self._store = store
        self._members = members
        self._log = logs.get('registry', router=members.me.name)

    def register(self) -> bool:
        """Enter this router and learn of all others; say whether both went.

        What the run before has written stays where it still holds. Where an
        entry is written, the others are read again after it, so that of two
        that start at once at least one sees the other.
        """
        listing = self._learn()
        if listing is None:
            return False
        me = self._members.me
        own = next((s for s in listing.objects if s.name == me.name), None)
        if own is not None and _is_at_its_place(own, me):
            return True
        spec = json_format.MessageToDict(me)
        revision = own.revision if own is not None else 0
        result = self._store.write(KIND, me.name, spec, revision)
        if isinstance(result, failures.Failure):
            self._log.info('member_unwritten', reason=result.reason)
            return False
        return self._learn() is not None

    def _learn(self) -> ty.Optional[objects.Listing]:
        """Take in all entries; None where the store does not tell."""
        listing = self._store.list(KIND)
        if isinstance(listing, failures.Failure):
            self._log.info('members_unread', reason=listing.reason)
            return None
        for stored in listing.objects:
            member = _read(stored)
            if member is not None:
                self._members.learn(member)
        return listing


def _is_at_its_place(own: objects.StoredObject, me: pb.Member) -> bool:
    """Return whether an earlier run's entry leads to this one."""
    before = _read(own)
    return before is not None and all(
        getattr(before, name) == getattr(me, name) for name in _PLACE
    )


def _read(stored: objects.StoredObject) -> ty.Optional[pb.Member]:
    try:
        return json_format.ParseDict(
            stored.spec or {}, pb.Member(), ignore_unknown_fields=True
        )
    except json_format.ParseError:
        return None
