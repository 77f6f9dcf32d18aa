"""What a router knows of the other routers; merging is order-free."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast.coordination import bucket_digest
from peridotmast import ids
from peridotmast.schema import peridotmast_pb2 as pb

ALIVE = pb.MEMBER_STATE_ALIVE
SUSPECT = pb.MEMBER_STATE_SUSPECT
LEAVING = pb.MEMBER_STATE_LEAVING
DEAD = pb.MEMBER_STATE_DEAD

_FORGET_MS = 600_000


class Membership:
    """The members, each with the newest that is known of it.

    Of two statements about a member the one with the higher incarnation
    holds, then the higher revision, then the worse state. Only the member
    itself raises its revision, and does so to refute what is wrong.

    Parameters
    ----------
    me : pb.Member
        This router's own entry.
    clock : clock.Clock
        Times suspicion and forgetting.
    suspect_ms : int
        How long a suspect may take to refute.
    """

    def __init__(
        self, me: pb.Member, clock: clock_.Clock, suspect_ms: int
    ) -> None:
        self.me = me
        """This router's own entry."""
        self._clock = clock
        self._suspect_ms = suspect_ms
        self._members: dict[str, pb.Member] = {me.name: me}
        self._since: dict[str, int] = {me.name: clock.now()}
        self._adopters: dict[str, str] = {}
        self._listeners: list[ty.Callable[[pb.Member], None]] = []
        self.digest = bucket_digest.BucketDigest()
        """Digest of all entries but dead ones."""
        self._flip(me)

    def listen(self, listener: ty.Callable[[pb.Member], None]) -> None:
        """Call `listener` with each entry that changed."""
        self._listeners.append(listener)

    def all(self) -> list[pb.Member]:
        """Return every entry."""
        return list(self._members.values())

    def get(self, name: str) -> ty.Optional[pb.Member]:
        """Return the entry of `name`."""
        return self._members.get(name)

    def peers(self) -> list[pb.Member]:
        """Return the other members that may answer, leaving ones too."""
        return [
            member
            for member in self._members.values()
            if member.name != self.me.name and member.state != DEAD
        ]

    def serving(self) -> list[pb.Member]:
        """Return the members that callers may be sent to, this one too."""
        return [
            member
            for member in self._members.values()
            if member.state in (ALIVE, SUSPECT)
        ]

    def merge(self, member: pb.Member) -> bool:
        """Take a statement in; say whether it was news."""
        if member.name == self.me.name:
            return self._refute(member)
        known = self._members.get(member.name)
        if known is None and member.state == DEAD:
            return False
        if known is not None and _rank(member) <= _rank(known):
            return False
        copy = pb.Member()
        copy.CopyFrom(member)
        self._replace(copy)
        return True

    def change_me(self, **values: ty.Any) -> None:
        """Change this router's own entry and raise its revision."""
        changed = pb.Member()
        changed.CopyFrom(self.me)
        for name, value in values.items():
            setattr(changed, name, value)
        changed.revision += 1
        self._replace(changed)

    def adopt(self, owner: ids.Owner) -> None:
        """Say that this router took `owner`'s ledger over."""
        changed = pb.Member()
        changed.CopyFrom(self.me)
        changed.adopted.append(owner)
        changed.revision += 1
        self._replace(changed)

    def suspect(self, name: str) -> bool:
        """Mark a member that did not answer; say whether that is news."""
        return self._worsen(name, ALIVE, SUSPECT)

    def expire(self) -> list[pb.Member]:
        """Declare suspects dead whose time is over; return them."""
        now = self._clock.now()
        overdue = [
            name
            for name, member in self._members.items()
            if member.state == SUSPECT
            and now - self._since[name] >= self._suspect_ms
        ]
        for name in overdue:
            self._worsen(name, SUSPECT, DEAD)
        self._forget(now)
        return [self._members[name] for name in overdue]

    def find_owner(self, owner: str) -> ty.Optional[pb.Member]:
        """Return who answers for `owner`: itself or its successor."""
        name, _, incarnation = owner.rpartition('.')
        member = self._members.get(name)
        if (
            member is not None
            and str(member.incarnation) == incarnation
            and member.state != DEAD
            and owner not in self._adopters
        ):
            return member
        adopter = self._members.get(self._adopters.get(owner, ''))
        if adopter is not None and adopter.state != DEAD:
            return adopter
        return None

    def _refute(self, member: pb.Member) -> bool:
        if member.incarnation != self.me.incarnation:
            return False
        wrong = member.state in (SUSPECT, DEAD) and (
            member.revision >= self.me.revision
        )
        if wrong:
            self.change_me(revision=member.revision)
        return wrong

    def _worsen(self, name: str, old: int, new: int) -> bool:
        known = self._members.get(name)
        if known is None or known.state != old or name == self.me.name:
            return False
        changed = pb.Member()
        changed.CopyFrom(known)
        changed.state = ty.cast(ty.Any, new)
        self._replace(changed)
        return True

    def _replace(self, member: pb.Member) -> None:
        known = self._members.get(member.name)
        if known is not None:
            self._flip(known)
        self._flip(member)
        self._members[member.name] = member
        self._since[member.name] = self._clock.now()
        self._adopters.update(dict.fromkeys(member.adopted, member.name))
        if member.name == self.me.name:
            self.me = member
        for listener in self._listeners:
            listener(member)

    def _forget(self, now: int) -> None:
        old = [
            name
            for name, member in self._members.items()
            if member.state == DEAD and now - self._since[name] > _FORGET_MS
        ]
        for name in old:
            del self._members[name]
            del self._since[name]

    def _flip(self, member: pb.Member) -> None:
        """Enter a member into the digest, or take it out.

        Nodes forget dead ones at different times, so these don't count.
        """
        if member.state != DEAD:
            self.digest.flip(member.name, str(_rank(member)))


def _rank(member: pb.Member) -> tuple[int, int, int]:
    return member.incarnation, member.revision, member.state
