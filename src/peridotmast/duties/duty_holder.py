"""Which router has the duties: contends for the lease and keeps it."""

from __future__ import annotations

import typing as ty

from google.protobuf import json_format

from peridotmast import clock as clock_
from peridotmast.coordination import lease as lease_
from peridotmast.coordination import members as members_
from peridotmast.coordination import objects
from peridotmast.duties import duty as duty_
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb

_RENEW_SHARE = 0.6
"""Part of a lease that may be left when it is renewed: early enough for two
tries, late enough that a renewal, which is paid for, is worth its price."""

_RANK_MS = 400
"""Time that the next in order leaves to the one before it: a few times what
a write takes, so that one contender's write is enough in most cases."""

_AGAIN_MS = 700
"""Pause after an attempt that did not succeed, and after a renewal before one
that is only for what the next holder must know."""

_HEIRS = 3
"""Contenders that are told of each renewal at once: the first ones in turn,
of which some may be lost with the holder."""

_LOOK_MS = 600
"""Time after which a run that has heard no holder asks who it was: what a
first contender takes and its beacon, so that a fleet that starts for the first
time does not ask; and the guard of a lease, before which it is of no use."""

_LOOK_RANK_MS = 25
"""Time between two routers' looks: 40 reads a second of a large fleet."""


class DutyHolder:
    """Contends when no holder is heard; does the duties while it holds.

    Nobody asks the store who holds the lease: the holder's beacons say so.
    The next ones in turn are told of each renewal as it is made: one that
    they had not heard of would cost them the wait for a whole lease. When
    the beacons have stopped for as long as the lease was to last, the others
    contend one after the other, the one that runs longest first.

    Where all were killed at once, none is there that could have heard a
    holder. Each run then looks once whether it follows the holder, and goes
    on in its place without waiting for its turn.

    Parameters
    ----------
    lease : lease_.Lease
        The lease on all duties.
    members : members.Members
        The contenders.
    duties : sequence of Duty
        What is done.
    clock : clock.Clock
        Times the turns.
    tell : callable
        Tells some routers until when the lease is held.
    fleet_now : callable
        Returns ms since 1970 by the fleet's clock.
    """

    def __init__(
        self,
        lease: lease_.Lease,
        members: members_.Members,
        duties: ty.Sequence[duty_.Duty],
        clock: clock_.Clock,
        tell: ty.Callable[[ty.Sequence[pb.Member]], None] = lambda heirs: None,
        fleet_now: ty.Callable[[], int] = lambda: 0,
    ) -> None:
        self._lease = lease
        self._members = members
        self._duties = duties
        self._clock = clock
        self._tell = tell
        self._fleet_now = fleet_now
        self._changes = 0
        self._renewed_at = 0
        self._begun_with = 0
        lease.make_handover = self._leave
        self._length_ms = lease.length_ms
        self._vacant_since = 0
        self._not_before = 0
        self._holding = False
        self._may_follow = True
        self._log = logs.get('duties', router=members.me.name)

    def keep_lease(self) -> None:
        """Take or renew the lease where that is due."""
        if self._lease.is_held():
            is_due = self._lease.remaining_ms < _RENEW_SHARE * self._length_ms
            if is_due or self._is_news_due():
                self._renew()
        elif self._is_vacant():
            self._contend()
        if self._holding and not self._lease.is_held():
            self._holding = False
            self._log.warning('duties_lost', fencing=self._lease.fencing)

    def run_duties(self) -> None:
        """Do the duties, where the lease is held."""
        if not self._lease.may_act():
            return
        if not self._holding:
            self._holding = True
            left = _read_left(self._lease.received_handover)
            for duty in self._duties:
                duty.start(left)
            self._changes = self._count_changes()
            self._begun_with = self._lease.fencing
        for duty in self._duties:
            if self._lease.may_act():
                duty.run(self._lease.fencing)

    def release(self) -> None:
        """Give the duties up, in a planned stop."""
        self._holding = False
        self._lease.release()

    def _leave(self) -> objects.Json:
        """Return what the next holder is to know, as the lease holds it."""
        was_left = self._lease.received_handover
        if was_left is not None and self._begun_with != self._lease.fencing:
            return was_left
        left = pb.DutiesLeft(at_ms=self._fleet_now())
        for duty in self._duties:
            duty.save(left)
        return json_format.MessageToDict(left)

    def _count_changes(self) -> int:
        return sum(duty.state_version for duty in self._duties)

    def _is_news_due(self) -> bool:
        """Return whether there is what the next holder must know at once."""
        pause_over = self._clock.boot() - self._renewed_at >= _AGAIN_MS
        return pause_over and self._count_changes() != self._changes

    def _renew(self) -> None:
        """Renew the lease, and write with it what the next holder needs.

        At once where an order was given: the next one must not order for
        the same need again, nor take back what is on its way.
        """
        left_ms, changes = self._lease.remaining_ms, self._count_changes()
        self._renewed_at = self._clock.boot()
        self._lease.attempt()
        if self._lease.remaining_ms > left_ms:
            self._changes = changes
            me = self._members.me.name
            heirs = [m for m in self._contenders() if m.name != me]
            self._tell(heirs[:_HEIRS])

    def _contend(self) -> None:
        if self._may_contend():
            outcome = self._lease.attempt()
        elif self._may_look():
            outcome = self._lease.take_over()
            self._may_follow = outcome is lease_.Outcome.UNREACHED
        else:
            return
        if outcome is not lease_.Outcome.HELD:
            self._not_before = self._clock.boot() + _AGAIN_MS

    def _may_contend(self) -> bool:
        turn = self._vacant_since + self._rank() * _RANK_MS
        return self._clock.boot() >= max(turn, self._not_before)

    def _may_look(self) -> bool:
        turn = self._vacant_since + _LOOK_MS + self._rank() * _LOOK_RANK_MS
        now = self._clock.boot()
        return self._may_follow and now >= max(turn, self._not_before)

    def _is_vacant(self) -> bool:
        """Return whether nobody is heard to have the duties, and may here."""
        me = self._members.me
        if not me.ready or me.state != members_.ALIVE:
            return False
        if self._lease.is_held_elsewhere():
            # Who runs longer has heard more of what is to be reported.
            self._may_follow = False
            self._vacant_since = 0
            return False
        if not self._vacant_since:
            self._vacant_since = self._clock.boot()
        return True

    def _rank(self) -> int:
        """Return this router's place among the contenders, from 0.

        The one that runs longest is first: it has heard what the others
        counted, also those that have been stopped since.
        """
        names = [member.name for member in self._contenders()]
        return names.index(self._members.me.name)

    def _contenders(self) -> list[pb.Member]:
        """Return who may have the duties, in their turn."""
        return sorted(self._members.serving(), key=_age)


def _read_left(
    left: ty.Optional[objects.Json],
) -> ty.Optional[pb.DutiesLeft]:
    """Return what the holder before has left; nothing where it is garbled."""
    if left is None:
        return None
    try:
        return json_format.ParseDict(
            left, pb.DutiesLeft(), ignore_unknown_fields=True
        )
    except json_format.ParseError:
        return pb.DutiesLeft()


def _age(member: pb.Member) -> tuple[int, str]:
    return member.incarnation, member.name
