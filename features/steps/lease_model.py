"""A state machine that checks the lease on histories drawn by hypothesis."""

from __future__ import annotations

import typing as ty

from hypothesis import stateful
from hypothesis import strategies
from memory_store import MemoryStore
from returning_store import ReturningStore

from peridotmast import clock as clock_
from peridotmast.coordination import lease as lease_

LENGTH_MS = 4000
GUARD_MS = 600
RETURN_MS = 3000
"""Least time between an order of a router and its next one if other routers
had the duties in between."""

ROUTERS = strategies.sampled_from(['a', 'b', 'c'])
STEPS = strategies.sampled_from([1, 50, 200, 600, 1000, 2500, 4000])


class Order(ty.NamedTuple):
    """An order of a holder, as the platform receives it."""

    at: int
    router: str
    fencing: int


class LeaseHistory(stateful.RuleBasedStateMachine):
    """Contenders on one clock; each holder gives orders whenever it may."""

    make_store = MemoryStore

    def __init__(self):
        super().__init__()
        self.clock = clock_.ManualClock()
        self.store = self.make_store()
        self.runs = 0
        self.leases = {name: self.make_contender(name) for name in 'abc'}
        self.orders = []

    def make_contender(self, name):
        self.runs += 1
        lease = lease_.Lease(
            self.make_client(),
            'duties',
            name,
            f'{name}.{self.runs}',
            LENGTH_MS,
            GUARD_MS,
            self.clock,
        )
        lease.set_endpoint(f'boot:net:{name}')
        return lease

    def make_client(self):
        """Return a contender's access to the store."""
        return self.store

    @stateful.rule(router=ROUTERS)
    def attempt(self, router):
        self.leases[router].attempt()

    @stateful.rule(router=ROUTERS)
    def look(self, router):
        self.leases[router].take_over()

    @stateful.rule(router=ROUTERS)
    def release(self, router):
        """Stop a router as planned; its next run is a new contender."""
        self.leases[router].release()
        self.leases[router] = self.make_contender(router)

    @stateful.rule(router=ROUTERS)
    def hand_over(self, router):
        """Stop the holder as planned; another router contends at once."""
        for name, lease in self.leases.items():
            if lease.is_held():
                self.release(name)
        self.attempt(router)

    @stateful.rule(router=ROUTERS)
    def kill(self, router):
        self.leases[router] = self.make_contender(router)

    @stateful.rule(teller=ROUTERS, hearer=ROUTERS)
    def hear(self, teller, hearer):
        hint = self.leases[teller].known_holder()
        if hint is not None and teller != hearer:
            self.leases[hearer].receive_hint(hint)

    @stateful.rule(ms=STEPS)
    def wait(self, ms):
        self.clock.advance(ms)

    @stateful.rule(is_out=strategies.booleans())
    def outage(self, is_out):
        self.store.is_down = is_out

    @stateful.rule()
    def lose_reply(self):
        self.store.lose_replies = 1

    @stateful.rule()
    def write_late(self):
        self.store.delay_writes = 1

    @stateful.rule()
    def carry_out_late(self):
        self.store.apply_delayed_writes()

    @stateful.invariant()
    def one_acts(self):
        acting = [
            Order(self.clock.boot_time(), name, lease.fencing)
            for name, lease in self.leases.items()
            if lease.may_act()
        ]
        assert len(acting) <= 1, acting
        for order in acting:
            self.check(order)
            self.orders.append(order)

    def check(self, order):
        others = [
            number
            for number, other in enumerate(self.orders)
            if other.router != order.router
        ]
        found = [self.orders[number].fencing for number in others]
        assert all(fencing < order.fencing for fencing in found), order
        since = others[-1] if others else 0
        own = [o.at for o in self.orders[:since] if o.router == order.router]
        if own:
            passed = order.at - own[-1]
            assert passed >= RETURN_MS, (order, self.orders[-4:])


class ReturnHistory(LeaseHistory):
    """The same while the store comes back from copies, again and again."""

    def make_store(self):
        return ReturningStore(era=1)

    def make_client(self):
        return self.store.client(self.clock)

    @stateful.rule()
    def take_copy(self):
        self.store.take_copy()

    @stateful.rule()
    def come_back(self):
        self.store.come_back()

    @stateful.rule()
    def come_back_at_write(self):
        self.store.returns_at_write = True

    @stateful.rule(router=ROUTERS)
    def wait_for_lease(self, router):
        """Let a contender learn of the era, and wait until it may begin."""
        self.attempt(router)
        self.wait(LENGTH_MS)
        self.attempt(router)

    @stateful.rule(router=ROUTERS, ms=STEPS)
    def lose_a_while(self, router, ms):
        """Come back without what a contender did in the last `ms`."""
        self.store.take_copy()
        self.attempt(router)
        self.wait(ms)
        self.store.come_back()
