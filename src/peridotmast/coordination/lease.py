"""A lease in the platform's store, with a fencing number for each holder."""

from __future__ import annotations

import enum
import itertools
import typing as ty

from peridotmast import clock as clock_
from peridotmast.coordination import former_holders
from peridotmast.coordination import objects
from peridotmast import failures
from peridotmast import logs
from peridotmast import revisions
from peridotmast.schema import peridotmast_pb2 as pb

KIND = 'peridotmast-leases'
"""Kind of the objects that store leases."""


_FENCING_PER_ERA = 10**6
"""More holders than one era of the store has: the fencing numbers of an era
begin above those of all earlier ones."""

_MAX_READS = 3
"""Maximum number of reads while each answer names another era."""


class Outcome(enum.Enum):
    """Result of an attempt to acquire or renew a lease."""

    HELD = 'held'
    TAKEN = 'taken'
    """Another run holds the lease."""
    UNREACHED = 'unreached'
    """The store did not answer."""


class Lease:
    """One contender for one lease.

    The holder measures its lease from before the write was sent, on its own
    boot clock, which includes suspensions of its VM. A contender measures it
    from when it first read the current revision, on its own boot clock. So a
    lease always expires at its holder before it does at a contender, as long
    as both clocks run at about the same rate.

    The next run of the holder's router at the holder's own endpoint knows
    that the holder is dead. It only waits until the last orders that the dead
    run may have sent to the platform have arrived.

    A renewal is one call: the holder knows the revision that it replaces. If
    the reply is lost, the next attempt reads the object first, and its nonce
    identifies the writer.

    Each era of the store has a lease of its own, in an object of its own: the
    store may have lost who held that of the earlier era, and a write for it
    may still take effect. The holder keeps its lease over the return and
    acquires that of the new era before it expires; any other router waits
    until each lease of an earlier era has expired.

    Parameters
    ----------
    store : objects.ObjectStore
        The platform's store.
    name : str
        Name of the lease's object.
    router : str
        Name of this contender.
    run : str
        Name of this run of the contender; unique among all runs.
    length_ms, guard_ms : int
        Length of the lease, and of its last part, in which `may_act` is
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
        self._run = run
        self.length_ms = length_ms
        """Length of the lease."""
        self._guard_ms = guard_ms
        self._clock = clock
        self._nonces = itertools.count(1)
        self._expires_at = 0
        self._era = 0
        self._stored: ty.Optional[objects.StoredObject] = None
        self._written = objects.StoredObject(name, 0)
        self._first_seen_at = 0
        self._is_read = False
        self._acquired_at = 0
        self._endpoint = ''
        self._bound_at = 0
        self._hint = pb.LeaseHint()
        self._hint_expires_at = 0
        self._log = logs.get('lease', lease=name, router=router)
        self.fencing = 0
        """Number sent with each order to the platform; grows with each new
        holder."""
        self.make_handover: ty.Callable[[], objects.Json] = dict
        """Returns the state to store in the lease for the next holder."""
        self.received_handover: ty.Optional[objects.Json] = None
        """The previous holder's state when this run acquired the lease; None
        if this run was the previous holder itself."""

    def set_endpoint(self, endpoint: str) -> None:
        """Set this run's endpoint, once its socket is bound.

        Parameters
        ----------
        endpoint : str
            Identity that no two concurrent runs share; empty if unknown.
        """
        self._endpoint = endpoint
        self._bound_at = self._clock.now()

    @property
    def remaining_ms(self) -> int:
        """Time until this run's lease expires, in ms; 0 if not held."""
        return max(0, self._expires_at - self._clock.boot_time())

    def hint(self) -> ty.Optional[pb.LeaseHint]:
        """Return a hint on this run's lease; None if it holds no lease."""
        if not self.is_held():
            return None
        return pb.LeaseHint(
            holder=self._router,
            fencing=self.fencing,
            left_ms=self.remaining_ms,
            revision=self._written.revision,
        )

    def receive_hint(self, hint: pb.LeaseHint) -> None:
        """Process a hint from the holder, or from a router that relays it.

        The remaining time in a relayed hint is too long by the time that the
        hint was in transit. If two hints concern the same renewal, the hint
        that expires first is therefore more accurate. Hints on earlier
        renewals are ignored.
        """
        expires_at = self._clock.boot_time() + hint.left_ms
        if hint.revision < self._hint.revision:
            return
        if hint.revision == self._hint.revision:
            expires_at = min(expires_at, self._hint_expires_at)
        self._hint = hint
        self._hint_expires_at = expires_at

    def is_held_elsewhere(self) -> bool:
        """Return whether another run holds the lease, by received hints."""
        return self._clock.boot_time() < self._hint_expires_at

    def known_holder(self) -> ty.Optional[pb.LeaseHint]:
        """Return the holder known to this router; None if there is none."""
        own = self.hint()
        if own is not None:
            return own
        if not self.is_held_elsewhere():
            return None
        return pb.LeaseHint(
            holder=self._hint.holder,
            fencing=self._hint.fencing,
            left_ms=self._hint_expires_at - self._clock.boot_time(),
            revision=self._hint.revision,
        )

    def is_held(self) -> bool:
        """Return whether this run holds the lease, by its own clock."""
        return self.remaining_ms > 0

    def may_act(self) -> bool:
        """Return whether this run may start an order to the platform.

        Where fencing numbers are not checked, only time separates the orders
        of two holders: no order is started in the last part of the lease, so
        that each arrives before the next holder's first order.
        """
        return self.remaining_ms > self._guard_ms

    def order_timeout_ms(self, fencing: int) -> int:
        """Return the time within which an order must arrive, in ms.

        0 if no order may be started: this run no longer holds the lease, or
        has acquired it again with another fencing number. A caller that has
        blocked since this call must check again before it sends the order.

        Parameters
        ----------
        fencing : int
            Fencing number of the order.
        """
        is_same = fencing == self.fencing
        return self.remaining_ms if is_same and self.may_act() else 0

    @property
    def is_of_earlier_era(self) -> bool:
        """Whether the store has come back without this run's lease."""
        return self.is_held() and self._store.era.number != self._era

    def attempt(self) -> Outcome:
        """Acquire or renew the lease if that is allowed."""
        began = self._clock.boot_time()
        self._follow_era()
        if not self._is_read:
            failure = self._read()
            if failure is not None:
                return self._outcome_without_answer()
        spec = self._next_spec()
        if spec is None:
            return Outcome.TAKEN
        was_own = bool(self.fencing) and (
            self._is_own(self._current()) or self._continues()
        )
        revision = self._stored.revision if self._stored else 0
        result = self._store.write(KIND, self._object_name(), spec, revision)
        if isinstance(result, failures.Failure):
            # The write may still take effect: read before the next attempt.
            self._is_read = False
            lost = result.kind is failures.FailureKind.CONFLICT
            return Outcome.TAKEN if lost else self._outcome_without_answer()
        if revisions.era_of(result.revision) != self._era:
            self._is_read = False
            return self._outcome_without_answer()
        self._record_write(result, spec, began, was_own)
        return Outcome.HELD

    def take_over(self) -> Outcome:
        """Acquire the lease only if a dead run at this endpoint held it."""
        if self._read() is not None:
            return Outcome.UNREACHED
        if not self._may_take_over(self._current()):
            return Outcome.TAKEN
        return self.attempt()

    def release(self) -> None:
        """Release the lease, so that the next holder need not wait."""
        if not self.is_held():
            return
        self._expires_at = 0
        if self._stored is None:
            return
        spec = {
            **self._current(),
            'before': self._aged_former_holders(),
            'left': self.make_handover(),
            'released': True,
        }
        self._store.write(
            KIND, self._object_name(), spec, self._stored.revision
        )
        self._is_read = False
        self._log.info('lease_released', fencing=self.fencing)

    def _object_name(self) -> str:
        """Return the name of the object of the era's lease."""
        return f'{self._name}-{self._era}' if self._era else self._name

    def _follow_era(self) -> None:
        """Forget the lease of an earlier era, as stored."""
        if self._store.era.number != self._era:
            self._era = self._store.era.number
            self._stored = None
            self._is_read = False

    def _read(self) -> ty.Optional[failures.Failure]:
        for _ in range(_MAX_READS):
            self._follow_era()
            stored = self._store.read(KIND, self._object_name())
            if isinstance(stored, failures.Failure):
                return stored
            if self._store.era.number == self._era:
                self._record_read(stored)
                return None
        return failures.unavailable('store_returns')

    def _record_read(self, stored: objects.StoredObject) -> None:
        if self._stored is None or stored.revision != self._stored.revision:
            self._first_seen_at = self._clock.boot_time()
        self._stored = stored
        self._is_read = True

    def _current(self) -> objects.Json:
        """Return the stored lease, as this run last read or wrote it."""
        return (self._stored.spec if self._stored else None) or {}

    def _is_own(self, current: objects.Json) -> bool:
        """Return whether this run was the last holder."""
        return current.get('holder') == self._run

    def _next_spec(self) -> ty.Optional[objects.Json]:
        """Return the lease to write, or None if another run holds it."""
        current = self._current()
        is_own = self._is_own(current)
        if not is_own and not self._is_available(current):
            self._is_read = False
            return None
        keeps_number = is_own and (self.is_held() or not self.fencing)
        fencing = int(current.get('fencing') or self._era * _FENCING_PER_ERA)
        return {
            'holder': self._run,
            'router': self._router,
            'before': self._next_former_holders(current),
            'place': self._endpoint,
            'fencing': fencing if keeps_number and fencing else fencing + 1,
            'length-ms': self.length_ms,
            'left': self._next_handover(current, keeps_number),
            'nonce': f'{self._run}:{next(self._nonces)}',
        }

    def _is_available(self, current: objects.Json) -> bool:
        """Return whether this run may acquire the lease now."""
        if not current.get('holder'):
            return self._may_begin()
        if self._may_take_over(current):
            return True
        # If the duties return to a router soon after other routers held them,
        # its earlier and its new orders look like those of two holders.
        held_recently = former_holders.has_held(current, self._router)
        if current.get('released') and not held_recently:
            return True
        now = self._clock.boot_time()
        length = max(int(current.get('length-ms') or 0), self.length_ms)
        if now - self._first_seen_at >= length:
            return True
        hinted = self._hint.revision
        known = self._stored is not None and self._stored.revision == hinted
        return bool(hinted) and known and now >= self._hint_expires_at

    def _may_begin(self) -> bool:
        """Return whether this run may acquire the first lease of an era.

        A lease of an earlier era was written before the store came back, and
        so before this router learned of it.
        """
        if not self._era or self._continues():
            return True
        since = self._store.era.seen_at
        return self._clock.boot_time() - since >= self.length_ms

    def _continues(self) -> bool:
        """Return whether this run holds the lease of an earlier era."""
        is_earlier = revisions.era_of(self._written.revision) != self._era
        return is_earlier and self.is_held()

    def _next_handover(
        self, current: objects.Json, keeps_number: bool
    ) -> ty.Optional[objects.Json]:
        """Return the handover state to write; at first the received one."""
        if (keeps_number and self.fencing) or self._continues():
            return self.make_handover()
        if self._era and not current:
            return self._handover_of_earlier_era()
        return current.get('left') or {}

    def _handover_of_earlier_era(self) -> objects.Json:
        """Return the newest handover state that the store's copy has."""
        listing = self._store.list(KIND)
        if isinstance(listing, failures.Failure):
            return {}
        specs = [
            stored.spec
            for stored in listing.objects
            if stored.spec and stored.name.partition('-')[0] == self._name
        ]
        newest = max(
            specs, key=lambda spec: int(spec.get('fencing') or 0), default={}
        )
        return newest.get('left') or {}

    def _aged_former_holders(self) -> dict[str, int]:
        """Return the holders before this run, while it holds the lease.

        None of them has acted since this run acquired it.
        """
        return former_holders.read_aged(
            self._written.spec,
            self._clock.boot_time() - self._acquired_at,
            self.length_ms,
        )

    def _next_former_holders(self, current: objects.Json) -> dict[str, int]:
        """Return the holders before this run or its dead predecessor."""
        if self._continues():
            return self._aged_former_holders()
        if self._era and not current:
            return former_holders.UNKNOWN
        former = former_holders.read(current)
        is_own_or_predecessor = self._is_own(current) or self._is_successor(
            current
        )
        if current.get('router') and not is_own_or_predecessor:
            former[current['router']] = 0
        return former

    def _is_successor(self, current: objects.Json) -> bool:
        """Return whether the holder was an earlier run at this endpoint."""
        return (
            bool(self._endpoint)
            and current.get('place') == self._endpoint
            and current.get('router') == self._router
            and not self._is_own(current)
        )

    def _may_take_over(self, current: objects.Json) -> bool:
        """Return whether the holder is dead and its orders have arrived."""
        # Measured without suspensions: a suspended VM's kernel does not send
        # the orders that a dead run left in its buffers.
        bound_ms = self._clock.now() - self._bound_at
        return bound_ms >= self._guard_ms and self._is_successor(current)

    def _record_write(
        self,
        result: objects.StoredObject,
        spec: objects.Json,
        began: int,
        was_own: bool,
    ) -> None:
        self._stored = objects.StoredObject(self._name, result.revision, spec)
        self._written = self._stored
        self._first_seen_at = self._clock.boot_time()
        self._is_read = True
        self._expires_at = began + self.length_ms
        fencing = int(spec['fencing'])
        if fencing != self.fencing:
            self.fencing = fencing
            self._acquired_at = began
            self.received_handover = None if was_own else spec['left']
            self._log.info('lease_acquired', fencing=fencing)

    def _outcome_without_answer(self) -> Outcome:
        return Outcome.HELD if self.is_held() else Outcome.UNREACHED
