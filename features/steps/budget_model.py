"""Stateful model of routers that share the retry budget of a service."""

from __future__ import annotations

import bisect
import collections
import itertools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import memory_store

from peridotmast import clock as clock_
from peridotmast.coordination import members as members_
from peridotmast.coordination import registry as registry_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import decisions as decisions_
from peridotmast.serving import retry_budget

SERVICE = 'pool'
RATIO = 0.2
WINDOW_MS = 10_000
SLACK = 54
STEP_MS = 100
BEACON_MS = 300
RETRIES_PER_REQUEST = 5
FIRST_ROUTERS = 6
WARM_UP_MS = 15_000
NUMBERS = strategies.integers(0, FIRST_ROUTERS + 3)
DURATIONS_MS = strategies.sampled_from([100, 400, 1500, 4000, 11_000])
LOADS = strategies.sampled_from([0, 1, 4, 20])


class Router:
    """One run of a router: its members and its retry budget."""

    def __init__(self, clock, number, store):
        entry = pb.Member(
            name=f'router-{number}',
            incarnation=clock.now(),
            beacon_address=f'10.0.0.1:{1 + number}',
            state=members_.ALIVE,
        )
        self.members = members_.Members(entry, clock, 5 * BEACON_MS)
        registry = registry_.Registry(store, self.members)
        assert registry.register()
        self.budget = retry_budget.RetryBudget(
            clock,
            RATIO,
            WINDOW_MS,
            SLACK,
            decisions_.Decisions(clock, entry.name),
        )
        self.budget.share = self.members.slack_share
        self.budget.is_first_run = lambda: registry.is_first_run


class BudgetFleet:
    """Routers whose upstreams refuse every request, and what these receive."""

    def __init__(self, count):
        self.clock = clock_.ManualClock(1_000_000)
        self.running = {}
        self.isolated = set()
        self.store = memory_store.MemoryStore()
        self.load = 1
        self.requests = []
        self.retries = []
        self.is_refusing = False
        for number in range(count):
            self.start(number)
        self.run(WARM_UP_MS)

    def start(self, number):
        """Start a run of a router, which reads the names of all others."""
        router = Router(self.clock, number, self.store)
        self.running[number] = router

    def leave(self, number):
        """Let a router announce that it leaves."""
        self.running[number].members.update_own_entry(state=members_.LEAVING)

    def run(self, ms):
        """Send `load` requests a second to each router."""
        for _ in range(0, ms, STEP_MS):
            self.clock.advance(STEP_MS)
            now = self.clock.now()
            if not now % BEACON_MS:
                self._exchange_beacons()
            period_ms = 1000 // self.load if self.load else 0
            for router in self.running.values():
                if period_ms >= STEP_MS and now % period_ms >= STEP_MS:
                    continue
                for _ in range(min(1, self.load) * max(1, self.load // 10)):
                    self._request(router)

    def worst_window(self):
        """Return the largest number of retries beyond those allowed.

        As the platform counts them: the requests are those of the window, of
        the one before it, or of the one half a window before it, whichever
        has most.
        """
        return max(
            (
                self._count(self.retries, start)
                - RATIO
                * max(
                    self._count(self.requests, start - before)
                    for before in (0, WINDOW_MS // 2, WINDOW_MS)
                )
                - SLACK
                for start in sorted(set(self.retries))
            ),
            default=-SLACK,
        )

    def _request(self, router):
        now = self.clock.now()
        self.requests.append(now)
        router.budget.count_request(SERVICE)
        if self.is_refusing:
            granted = itertools.takewhile(
                bool,
                (
                    router.budget.take(SERVICE, 'request')
                    for _ in range(RETRIES_PER_REQUEST)
                ),
            )
            self.retries.extend(now for _ in granted)

    def _exchange_beacons(self):
        for sender, receiver in itertools.permutations(self.running, 2):
            if not {sender, receiver} & self.isolated:
                entry = pb.Member()
                entry.CopyFrom(self.running[sender].members.me)
                self.running[receiver].members.receive(entry)
        for router in self.running.values():
            router.members.tick()
            router.budget.tick()

    @staticmethod
    def _count(times, start):
        return bisect.bisect_left(
            times, start + WINDOW_MS
        ) - bisect.bisect_left(times, start)


@hypothesis.seed(38)
class BudgetHistory(stateful.RuleBasedStateMachine):
    """Routers under load that are killed, restarted, stopped or cut off.

    Fails if their upstreams receive more retries in a window than the budget
    of the fleet allows.
    """

    def __init__(self):
        super().__init__()
        self.fleet = BudgetFleet(FIRST_ROUTERS)
        self.fleet.load = 4
        self.fleet.run(WINDOW_MS)
        self.fleet.is_refusing = True

    @stateful.rule(number=NUMBERS)
    def kill(self, number):
        self.fleet.running.pop(number, None)

    @stateful.rule(number=NUMBERS)
    def start(self, number):
        """Start a router, or kill it and start its next run at once."""
        self.fleet.start(number)

    @stateful.rule()
    def kill_all(self):
        for number in list(self.fleet.running):
            self.fleet.start(number)

    @stateful.rule(number=NUMBERS, ms=DURATIONS_MS)
    def stop(self, number, ms):
        """Let a router leave; its last callers use it for a while."""
        if number in self.fleet.running:
            self.fleet.leave(number)
            self.fleet.run(min(ms, 4000))
            self.fleet.running.pop(number)

    @stateful.rule(number=NUMBERS)
    def isolate(self, number):
        self.fleet.isolated.add(number)

    @stateful.rule()
    def reconnect_all(self):
        self.fleet.isolated.clear()

    @stateful.rule(load=LOADS, refusing=strategies.booleans())
    def change_load(self, load, refusing):
        self.fleet.load, self.fleet.is_refusing = load, refusing

    @stateful.rule(ms=DURATIONS_MS)
    def pass_time(self, ms):
        self.fleet.run(ms)

    @stateful.invariant()
    def stays_within_budget(self):
        excess = self.fleet.worst_window()
        assert excess <= 0, (excess, collections.Counter(self.fleet.retries))
