"""A lease in the platform's store, with a number that grows by holder."""

from __future__ import annotations

import enum
import itertools
import typing as ty

from peridotmast import clock as clock_
from peridotmast.coordination import objects
from peridotmast import failures
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb

KIND = 'peridotmast-leases'
"""Kind of the objects that leases lie in."""


class Outcome(enum.Enum):
    """What came of an attempt."""

    HELD = 'held'
    TAKEN = 'taken'
    """Somebody else holds it."""
    UNREACHED = 'unreached'
    """The store did not say."""


class Lease:
    """One contender for one lease.

    The holder counts its lease from before the write was sent, on its own
    clock, which counts a suspension of its VM too; a contender counts from
    when it first read a revision, on its own clock. So a holder's view
    always ends before a contender's, as long as both clocks run at about
    the same rate.

    The run that follows the holder at its own place knows that it is dead:
    it waits only for the orders that the dead one may have sent last.

    A renewal is one call: the holder knows the revision that it replaces.
    Where its reply is lost, the next attempt reads what is there, and a
    nonce tells whose write it was.

    Parameters
    ----------
    store : objects.ObjectStore
        The platform's store.
    name : str
        The lease's object.
    router : str
        Name of this contender.
    run : str
        Name of this run of it; no two runs have the same.
    length_ms, guard_ms : int
        Length of the lease, and its last part, in which `may_act` is
        already false.
    clock : clock.Clock
        Clocks of this VM.
    """

    def __init__(
        self,
        store: objects.ObjectStore,
        name: str,
        router: str,
        run: str,
        length_ms: int,
        guard_ms: int,
        clock: clock_.Clock,
    ) -> None:
        self._store = store
        self._name = name
        self._router = router
        self._holder = run
        self.length_ms = length_ms
        """Length of the lease."""
        self._guard_ms = guard_ms
        self._clock = clock
        self._numbers = itertools.count(1)
        self._ends = 0
        self._seen: ty.Optional[objects.StoredObject] = None
        self._seen_at = 0
        self._sure = False
        self._taken_at = 0
        self._place = ''
        self._bound_at = 0
        self._hint = pb.LeaseHint()
        self._hint_ends = 0
        self._log = logs.get('lease', lease=name, router=router)
        self.fencing = 0
        """Number that goes with each order; grows with every new holder."""
        self.make_handover: ty.Callable[[], objects.Json] = dict
        """Returns what the next holder is to know; written with the lease."""
        self.received_handover: ty.Optional[objects.Json] = None
        """What the holder before had left when this one took the lease; None
        where that was this run."""

    def set_endpoint(self, place: str) -> None:
        """Say where this run stands, once nobody else can.

        Parameters
        ----------
        place : str
            What no two runs have at one time; empty where that is not
            known.
        """
        self._place = place
        self._bound_at = self._clock.now()

    @property
    def remaining_ms(self) -> int:
        """How long it is held yet, in ms; 0 where it is not."""
        return max(0, self._ends - self._clock.boot())

    def hint(self) -> ty.Optional[pb.LeaseHint]:
        """Return what the others need to know, where it is held here."""
        if not self.is_held():
            return None
        return pb.LeaseHint(
            holder=self._router,
            fencing=self.fencing,
            left_ms=self.remaining_ms,
            revision=self._seen.revision if self._seen else 0,
        )

    def receive_hint(self, hint: pb.LeaseHint) -> None:
        """Take in how long it is held yet, from its holder or who heard it.

        What is passed on is late by its way, so of two words on one renewal
        the one that ends sooner is nearer to the truth, and a word on an
        earlier one says nothing.
        """
        ends = self._clock.boot() + hint.left_ms
        if hint.revision < self._hint.revision:
            return
        if hint.revision == self._hint.revision:
            ends = min(ends, self._hint_ends)
        self._hint = hint
        self._hint_ends = ends

    def is_held_elsewhere(self) -> bool:
        """Return whether a holder was heard whose time is not over."""
        return self._clock.boot() < self._hint_ends

    def known_holder(self) -> ty.Optional[pb.LeaseHint]:
        """Return who holds it, as far as this router has heard."""
        own = self.hint()
        if own is not None:
            return own
        if not self.is_held_elsewhere():
            return None
        return pb.LeaseHint(
            holder=self._hint.holder,
            fencing=self._hint.fencing,
            left_ms=self._hint_ends - self._clock.boot(),
            revision=self._hint.revision,
        )

    def is_held(self) -> bool:
        """Return whether the lease is held by this process's own clock."""
        return self.remaining_ms > 0

    def may_act(self) -> bool:
        """Return whether an order may be begun.

        Where nobody checks fencing numbers, orders are safe by time alone:
        none is begun in the lease's last part, so that it arrives before
        the next holder's first.
        """
        return self.remaining_ms > self._guard_ms

    def order_timeout_ms(self, fencing: int) -> int:
        """Return in which time an order with a number must arrive, in ms.

        0 where none may be begun: this router holds the lease no more, or
        under another number. Whoever has waited for something since it
        asked has to ask again before it sends.
        """
        is_same = fencing == self.fencing
        return self.remaining_ms if is_same and self.may_act() else 0

    def attempt(self) -> Outcome:
        """Take or renew the lease where that may be done."""
        began = self._clock.boot()
        if not self._sure:
            failure = self._read()
            if failure is not None:
                return self._unreached()
        spec = self._next_spec()
        if spec is None:
            return Outcome.TAKEN
        mine = bool(self.fencing) and self._is_mine(self._current())
        revision = self._seen.revision if self._seen else 0
        result = self._store.write(KIND, self._name, spec, revision)
        if isinstance(result, failures.Failure):
            # It may have been done, or may be done later: read it first.
            self._sure = False
            lost = result.kind is failures.FailureKind.CONFLICT
            return Outcome.TAKEN if lost else self._unreached()
        self._take(result, spec, began, mine)
        return Outcome.HELD

    def take_over(self) -> Outcome:
        """Take the lease over from this router's run before, if it had it."""
        if self._read() is not None:
            return Outcome.UNREACHED
        if not self._is_heir(self._current()):
            return Outcome.TAKEN
        return self.attempt()

    def release(self) -> None:
        """Give the lease up, so that the next holder need not wait."""
        if not self.is_held() or self._seen is None:
            return
        self._ends = 0
        current = self._current()
        # Nobody before this run has acted since it took the lease.
        held_ms = self._clock.boot() - self._taken_at
        before = {
            router: ms + held_ms
            for router, ms in _before(current).items()
            if ms + held_ms < self.length_ms
        }
        spec = {
            **current,
            'before': before,
            'left': self.make_handover(),
            'released': True,
        }
        self._store.write(KIND, self._name, spec, self._seen.revision)
        self._sure = False
        self._log.info('lease_released', fencing=self.fencing)

    def _read(self) -> ty.Optional[failures.Failure]:
        stored = self._store.read(KIND, self._name)
        if isinstance(stored, failures.Failure):
            return stored
        if self._seen is None or stored.revision != self._seen.revision:
            self._seen_at = self._clock.boot()
        self._seen = stored
        self._sure = True
        return None

    def _current(self) -> objects.Json:
        """Return what the store has, as far as this run has seen."""
        return (self._seen.spec if self._seen else None) or {}

    def _is_mine(self, current: objects.Json) -> bool:
        """Return whether this run was the last to take it."""
        return current.get('holder') == self._holder

    def _next_spec(self) -> ty.Optional[objects.Json]:
        """Return what to write, or None where somebody else holds it."""
        current = self._current()
        mine = self._is_mine(current)
        if not mine and not self._is_over(current):
            self._sure = False
            return None
        again = mine and (self.is_held() or not self.fencing)
        fencing = int(current.get('fencing') or 0)
        return {
            'holder': self._holder,
            'router': self._router,
            'before': self._next_before(current),
            'place': self._place,
            'fencing': fencing if again and fencing else fencing + 1,
            'length-ms': self.length_ms,
            'left': self._next_left(current, again),
            'nonce': f'{self._holder}:{next(self._numbers)}',
        }

    def _is_over(self, current: objects.Json) -> bool:
        if not current.get('holder'):
            return True
        if self._is_heir(current):
            return True
        # Duties that go from one router over others and back to it look like
        # two that hold them at once.
        back = self._router in _before(current)
        if current.get('released') and not back:
            return True
        now = self._clock.boot()
        length = max(int(current.get('length-ms') or 0), self.length_ms)
        if now - self._seen_at >= length:
            return True
        hinted = self._hint.revision
        known = self._seen is not None and self._seen.revision == hinted
        return bool(hinted) and known and now >= self._hint_ends

    def _next_left(
        self, current: objects.Json, again: bool
    ) -> ty.Optional[objects.Json]:
        """Return what is left: at first, what was left to this run."""
        if again and self.fencing:
            return self.make_handover()
        return current.get('left') or {}

    def _next_before(self, current: objects.Json) -> dict[str, int]:
        """Return who had it before this run or the one that it follows."""
        before = _before(current)
        same = self._is_mine(current) or self._follows(current)
        if current.get('router') and not same:
            before[current['router']] = 0
        return before

    def _follows(self, current: objects.Json) -> bool:
        """Return whether the holder was an earlier run at this place."""
        return (
            bool(self._place)
            and current.get('place') == self._place
            and current.get('router') == self._router
            and not self._is_mine(current)
        )

    def _is_heir(self, current: objects.Json) -> bool:
        """Return whether this run follows it and its orders have arrived."""
        # A suspended VM's kernel does not send what a dead run left to it.
        bound_ms = self._clock.now() - self._bound_at
        return bound_ms >= self._guard_ms and self._follows(current)

    def _take(
        self,
        result: objects.StoredObject,
        spec: objects.Json,
        began: int,
        mine: bool,
    ) -> None:
        self._seen = objects.StoredObject(self._name, result.revision, spec)
        self._seen_at = self._clock.boot()
        self._sure = True
        self._ends = began + self.length_ms
        fencing = int(spec['fencing'])
        if fencing != self.fencing:
            self.fencing = fencing
            self._taken_at = began
            self.received_handover = None if mine else spec['left']
            self._log.info('lease_taken', fencing=fencing)

    def _unreached(self) -> Outcome:
        return Outcome.HELD if self.is_held() else Outcome.UNREACHED


def _before(spec: objects.Json) -> dict[str, int]:
    """Return who had a lease before its holder, and how long before.

    In ms from when a router can have acted last to when the holder took it,
    or gave it up; not those for whom that is longer than a lease. Routers of
    an older version write a single name.
    """
    before = spec.get('before') or {}
    if isinstance(before, str):
        return {before: 0}
    return {router: int(ms) for router, ms in before.items()}
