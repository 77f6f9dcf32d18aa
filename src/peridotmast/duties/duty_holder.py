"""Leader election: one router holds the lease and runs the duties."""

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
from peridotmast import schema_json

_RENEW_FRACTION = 0.6
"""Remaining fraction of the lease at which it is renewed: early enough for two
attempts, and no earlier, since each call to the store is paid for."""

_CONTEND_STAGGER_MS = 400
"""Delay between the first attempts of two successive contenders: a few times
the duration of a write, so that usually only one contender writes."""

_RETRY_MS = 700
"""Pause after a failed attempt to take the lease, and minimum time between a
renewal and another one that only saves the state for the next holder."""

_MAX_NOTIFIED = 3
"""Number of contenders, the first ones in order, that are notified of each
renewal at once: several, as some may be lost together with the holder."""

_READ_DELAY_MS = 600
"""Time without a known holder after which a router reads the lease from the
store. In a new fleet the first contender takes the lease and sends its beacon
within this time, so that the other routers need not read the lease. An earlier
read would also be useless, as the guard time of the lease is not over yet."""

_READ_STAGGER_MS = 25
"""Delay between the reads of the lease by two successive contenders, which
gives 40 reads per second in a large fleet."""


class DutyHolder:
    """Contends for the lease and runs the duties while holding it.

    Routers learn who holds the lease from the holder's beacons, not from the
    store. The first contenders are also notified of each renewal directly:
    a contender that missed a renewal would have to wait for the length of a
    lease. If no beacon arrives before the lease ends, the routers contend one
    after the other, in the order of their running time, longest first.

    After all routers were killed at once, no running router knows the holder.
    Each restarted router then reads the lease once. If the previous run at its
    endpoint was the holder, the restarted router takes over the lease without
    waiting for its turn.

    Parameters
    ----------
    lease : lease_.Lease
        Lease on all duties.
    members : members.Members
        Routers of the fleet, which contend for the lease.
    duties : sequence of Duty
        Duties to run while the lease is held.
    clock : clock.Clock
        Clock for the delays and pauses between attempts.
    notify : callable
        Tells the given routers until when the lease is held.
    fleet_now : callable
        Returns ms since 1970 by the fleet's clock.
    """

    def __init__(
        self,
        lease: lease_.Lease,
        members: members_.Members,
        duties: ty.Sequence[duty_.Duty],
        clock: clock_.Clock,
        notify: ty.Callable[
            [ty.Sequence[pb.Member]], None
        ] = lambda successors: None,
        fleet_now: ty.Callable[[], int] = lambda: 0,
    ) -> None:
        self._lease = lease
        self._members = members
        self._duties = duties
        self._clock = clock
        self._notify = notify
        self._fleet_now = fleet_now
        self._saved_version = 0
        self._renewed_at = 0
        self._started_fencing = 0
        lease.make_handover = self._save_state
        self._lease_ms = lease.length_ms
        self._vacant_since = 0
        self._retry_at = 0
        self._is_active = False
        self._may_take_over = True
        self._log = logs.get('duties', router=members.me.name)

    def keep_lease(self) -> None:
        """Take or renew the lease if that is due."""
        if self._lease.is_held():
            is_due = (
                self._lease.remaining_ms < _RENEW_FRACTION * self._lease_ms
            )
            if is_due or self._must_save_state() or self._must_move():
                self._renew()
        elif self._is_vacant():
            self._contend()
        if self._is_active and not self._lease.is_held():
            self._is_active = False
            self._log.warning('duties_lost', fencing=self._lease.fencing)

    def run_duties(self) -> None:
        """Run the duties if the lease is held."""
        if not self._lease.may_act():
            return
        if not self._is_active:
            self._is_active = True
            state = _parse_state(self._lease.received_handover)
            for duty in self._duties:
                duty.start(state)
            self._saved_version = self._state_version()
            self._started_fencing = self._lease.fencing
        for duty in self._duties:
            if self._lease.may_act():
                duty.run(self._lease.fencing)

    def release(self) -> None:
        """Release the lease, at a planned stop."""
        self._is_active = False
        self._lease.release()

    def _save_state(self) -> objects.Json:
        """Return the state for the next holder, as stored with the lease."""
        previous = self._lease.received_handover
        if (
            previous is not None
            and self._started_fencing != self._lease.fencing
        ):
            return previous
        state = pb.DutiesLeft(at_ms=self._fleet_now())
        for duty in self._duties:
            duty.save(state)
        return json_format.MessageToDict(state)

    def _state_version(self) -> int:
        return sum(duty.state_version for duty in self._duties)

    def _must_save_state(self) -> bool:
        """Return whether changed state must be saved for the next holder."""
        may_retry = self._clock.boot_time() - self._renewed_at >= _RETRY_MS
        return may_retry and self._state_version() != self._saved_version

    def _must_move(self) -> bool:
        """Return whether the lease of a new era of the store is to acquire."""
        may_retry = self._clock.boot_time() - self._renewed_at >= _RETRY_MS
        return may_retry and self._lease.is_of_earlier_era

    def _renew(self) -> None:
        """Renew the lease, and save the state for the next holder with it.

        An accepted order is saved at once: the next holder must neither
        order the same upstreams again nor cancel those that are booting.
        """
        remaining_ms, version = self._lease.remaining_ms, self._state_version()
        self._renewed_at = self._clock.boot_time()
        self._lease.attempt()
        if self._lease.remaining_ms > remaining_ms:
            self._saved_version = version
            for duty in self._duties:
                duty.on_saved()
            me = self._members.me.name
            successors = [m for m in self._contenders() if m.name != me]
            self._notify(successors[:_MAX_NOTIFIED])

    def _contend(self) -> None:
        if self._may_contend():
            outcome = self._lease.attempt()
        elif self._may_read_lease():
            outcome = self._lease.take_over()
            self._may_take_over = outcome is lease_.Outcome.UNREACHED
        else:
            return
        if outcome is not lease_.Outcome.HELD:
            self._retry_at = self._clock.boot_time() + _RETRY_MS

    def _may_contend(self) -> bool:
        turn = self._vacant_since + self._rank() * _CONTEND_STAGGER_MS
        return self._clock.boot_time() >= max(turn, self._retry_at)

    def _may_read_lease(self) -> bool:
        turn = (
            self._vacant_since
            + _READ_DELAY_MS
            + self._rank() * _READ_STAGGER_MS
        )
        now = self._clock.boot_time()
        return self._may_take_over and now >= max(turn, self._retry_at)

    def _is_vacant(self) -> bool:
        """Return whether no holder is known and this router is eligible."""
        me = self._members.me
        if not me.ready or me.state != members_.ALIVE:
            return False
        if self._lease.is_held_elsewhere():
            # From now on the router contends in turn, without taking over: a
            # router that has run longer has more usage counts to report.
            self._may_take_over = False
            self._vacant_since = 0
            return False
        if not self._vacant_since:
            self._vacant_since = self._clock.boot_time()
        return True

    def _rank(self) -> int:
        """Return this router's position among the contenders, from 0.

        The router that runs longest is first: it also knows the usage counts
        of routers that have stopped since.
        """
        names = [member.name for member in self._contenders()]
        return names.index(self._members.me.name)

    def _contenders(self) -> list[pb.Member]:
        """Return the routers that may hold the lease, in order."""
        return sorted(self._members.serving(), key=_start_order)


def _parse_state(
    state: ty.Optional[objects.Json],
) -> ty.Optional[pb.DutiesLeft]:
    """Return the state of the previous holder; an empty state if garbled."""
    if state is None:
        return None
    try:
        return schema_json.parse(state, pb.DutiesLeft())
    except schema_json.SchemaError:
        return pb.DutiesLeft()


def _start_order(member: pb.Member) -> tuple[int, str]:
    return member.incarnation, member.name
