"""Stateful model of routers that share the limit of an upstream."""

from __future__ import annotations

import types

from hypothesis import stateful
from hypothesis import strategies

from peridotmast import clock as clock_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving.limits import upstream_limits
from peridotmast.serving import upstream_view

UPSTREAM = types.SimpleNamespace(
    name='i-1', born=0, run='i-1|0', silence_after=lambda at: 0
)
WINDOW_MS = 4000
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5
START_MS = 3000
"""Time after its start or reconnection in which the requests of a router are
not counted."""
ROUTERS = strategies.integers(0, 7)
DURATIONS_MS = strategies.sampled_from([10, 100, 400, 1000, 3000])
RATES = strategies.sampled_from([0.2, 0.5, 1.0, 2.5, 12.0])


class LimitHistory(stateful.RuleBasedStateMachine):
    """Routers under load that start, stop, restart, idle or are isolated.

    Fails if the upstream receives more requests in a window than permitted.
    """

    def __init__(self):
        super().__init__()
        self.clock = clock_.ManualClock(1_000_000)
        self.rate = 1.0
        self.routers = {}
        self.counted_from = {}
        self.isolated = set()
        self.idle = set()
        self.sends = []
        for number in range(6):
            self.add_router(number)
        self.run(START_MS)

    def add_router(self, number):
        name = f'router-{number}'
        limits = upstream_limits.UpstreamLimits(self.clock, name)
        self.routers[number] = limits
        self.counted_from[number] = self.clock.now() + START_MS
        limits.note_limit(UPSTREAM, self.rate)

    def update_membership(self):
        """Give all routers the names of those that are running."""
        names = [f'router-{number}' for number in self.routers]
        for number, limits in self.routers.items():
            if number not in self.isolated:
                limits.set_routers(names)

    def run(self, ms):
        """Advance the clock while each router sends whenever it may."""
        for _ in range(0, ms, 10):
            self.clock.advance(10)
            now = self.clock.now()
            # In short steps, routers do not learn of membership changes.
            if ms > 250:
                self.update_membership()
            for number, limits in self.routers.items():
                if number in self.idle:
                    continue
                while not limits.wait_ms(UPSTREAM):
                    limits.take(UPSTREAM)
                    is_counted = now >= self.counted_from[number]
                    if is_counted and number not in self.isolated:
                        self.sends.append(now)

    @stateful.rule(number=ROUTERS)
    def start(self, number):
        self.add_router(number)

    @stateful.rule(number=ROUTERS)
    def stop(self, number):
        if len(self.routers) > 1:
            self.routers.pop(number, None)

    @stateful.rule(number=ROUTERS)
    def isolate(self, number):
        """Cut a router off from its peers, and do not count its requests."""
        self.isolated.add(number)

    @stateful.rule(number=ROUTERS)
    def reconnect(self, number):
        self.isolated.discard(number)
        self.counted_from[number] = self.clock.now() + START_MS

    @stateful.rule(number=ROUTERS)
    def toggle_load(self, number):
        """Stop or resume the load of a router."""
        self.idle ^= {number}

    @stateful.rule(rate=RATES)
    def change_limit(self, rate):
        """Change the limit and let all routers read it at once."""
        self.rate = rate
        self.sends.clear()
        for limits in self.routers.values():
            limits.note_limit(UPSTREAM, rate)

    @stateful.rule(ms=DURATIONS_MS)
    def pass_time(self, ms):
        self.run(ms)

    @stateful.invariant()
    def stays_within_limit(self):
        permitted = (
            EXCESS_FACTOR * self.rate * WINDOW_MS / 1000 + EXCESS_REQUESTS
        )
        self.sends = [
            at for at in self.sends if at > self.clock.now() - 2 * WINDOW_MS
        ]
        for start in self.sends:
            count = sum(start <= at < start + WINDOW_MS for at in self.sends)
            assert count <= permitted, (
                count,
                permitted,
                self.rate,
                list(self.routers),
            )


class SilentLimitHistory(LimitHistory):
    """The same while the upstream is silent at times, at all routers.

    What is sent to it then arrives at the end of its silence.
    """

    def __init__(self):
        self.views = {}
        self.pending = []
        self.is_silent = False
        super().__init__()

    def add_router(self, number):
        super().add_router(number)
        record = pb.UpstreamRecord(upstream=pb.Upstream(name=UPSTREAM.name))
        view = upstream_view.UpstreamView(record, self.clock, set())
        self.views[number] = view

    def run(self, ms):
        for _ in range(0, ms, 10):
            self.clock.advance(10)
            if ms > 250:
                self.update_membership()
            for number, limits in self.routers.items():
                if number in self.idle:
                    continue
                while not limits.wait_ms(self.views[number]):
                    self.send(number, limits)

    def send(self, number, limits):
        now, view = self.clock.now(), self.views[number]
        limits.take(view)
        view.add_load(upstream_view.Load(1))
        is_counted = (
            now >= self.counted_from[number] and number not in self.isolated
        )
        self.pending.append((view, is_counted))
        if not self.is_silent:
            self.answer()

    def answer(self):
        for view, is_counted in self.pending:
            view.note_activity()
            view.remove_load(upstream_view.Load(1))
            if is_counted:
                self.sends.append(self.clock.now())
        self.pending.clear()

    @stateful.rule(ms=strategies.sampled_from([800, 1200, 2000, 3000]))
    def fall_silent(self, ms):
        """Let the upstream be silent, then take and answer all at once."""
        self.is_silent = True
        self.run(ms)
        self.is_silent = False
        self.answer()
        self.run(WINDOW_MS)
