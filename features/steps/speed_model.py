"""Model of placement by speeds, without a network.

Routers use the real policy, estimates and reports. Run as a program, it prints
the table in docs/design/23-upstream-speeds.md.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import random
import statistics
from unittest import mock

import prometheus_client

from peridotmast import clock as clock_
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import policies
from peridotmast.serving import prefill_rate
from peridotmast.serving.speeds import reports
from peridotmast.serving.speeds import speeds as speeds_
from peridotmast.serving import upstream_view

RATE = 40.0
"""Prefill rate of an upstream that is not slow, in tokens per ms."""
OVERHEAD_MS = 15
LOAD_DELAY_MS = 5
"""Time until the other routers know of a request that starts or ends."""
ROUND_MS = 500
"""Interval at which samples are reported. They are used one round later."""
WARM_UP_MS = 6000
SERVICE = pb.Service()


FIELDS = 'upstreams slots routers slow_share factor slow_ms use'
Case = collections.namedtuple('Case', FIELDS, defaults=(0, 0.7))
"""`slow_ms`: time until others are slow; `use`: share of the capacity."""
CASES = {
    'equal': Case(30, 32, 58, 0, 1),
    'third 1.3': Case(30, 32, 58, 1 / 3, 1.3),
    'third 1.3, 0.85': Case(30, 32, 58, 1 / 3, 1.3, use=0.85),
    'third 2.5': Case(30, 32, 58, 1 / 3, 2.5),
    'changing': Case(56, 12, 29, 0.15, 2.5, 600),
}


class NoisyPolicy(policies.ScoredPolicy):
    """Separates the effect of speeds from that of noise in the estimates."""

    draws = random.Random(0)

    def _score(self, *args):
        return super()._score(*args) * self.draws.lognormvariate(0, 0.1)


class Router:
    """The parts of a router that place requests."""

    def __init__(self, number, clock, case, mode, policy):
        views = {}
        for n in range(case.upstreams):
            record = pb.UpstreamRecord(state=upstream_view.LIVE)
            record.upstream.name, record.upstream.born = f'u-{n:02}', 1
            record.upstream.failure_domain = f'fd-{n % 4}'
            record.upstream.slots = case.slots
            view = upstream_view.UpstreamView(record, clock, set())
            view.silent_ms = lambda: 0  # Decoding goes on all the time.
            views[view.name] = view
        gauge = prometheus_client.Gauge('g', 'g', ['upstream'], registry=None)
        self.speeds = speeds_.Speeds(clock, mode, '', views.get, gauge)
        self.views = list(views.values())
        self.rates = prefill_rate.PrefillRates()
        self.policy = policy(f'fd-{number % 4}')
        self.outdated = {}


class Model:
    """Runs one case with one setting."""

    def __init__(self, case, mode, policy, seed):
        self.case, self.clock = case, clock_.ManualClock()
        self.draws = random.Random(seed)
        parts = self.clock, case, mode, policy
        self.routers = [Router(n, *parts) for n in range(case.routers)]
        self.free_at = [0.0] * case.upstreams
        self.events, self.numbers = [], itertools.count()
        self.rate, self.waits = None, []

    def at(self, ms, function, *args):
        heapq.heappush(self.events, (ms, next(self.numbers), function, args))

    def run(self, ms):
        """Return the times to the first event, in ms."""
        case, start = self.case, self.clock.now()
        self.measured_from = start + WARM_UP_MS
        self.change_slow()
        self.at(start + ROUND_MS, self.exchange_reports)
        fast = 1 - case.slow_share + case.slow_share / case.factor
        prompts = [self.draw_prompt() for _ in range(30_000)]
        per_ms = case.use * case.upstreams * RATE * fast
        per_ms /= statistics.mean(prompts)
        self.hold_ms = 0.6 * case.slots * case.upstreams / per_ms
        arrive = float(start)
        for tokens in prompts:
            arrive += self.draws.expovariate(per_ms)
            noise = self.draws.lognormvariate(0, 0.15)
            router = self.draws.choice(self.routers)
            self.at(arrive, self.place, router, tokens, noise)
        while self.events[0][0] <= start + ms:
            at, _, function, args = heapq.heappop(self.events)
            self.clock.advance(max(0, int(at) - self.clock.now()))
            function(*args)
        return self.waits

    def draw_prompt(self):
        if self.draws.random() < 0.2:
            return self.draws.randrange(50, 300)
        return int(min(16_000, self.draws.lognormvariate(8.0, 0.7)))

    def change_slow(self):
        # Arrivals must not depend on these draws.
        draws = random.Random(self.clock.now())
        count = self.case.upstreams
        slow_count = round(self.case.slow_share * count)
        self.slow = draws.sample(range(count), slow_count)
        if self.case.slow_ms:
            self.at(self.clock.now() + self.case.slow_ms, self.change_slow)

    def place(self, router, tokens, noise):
        now = self.clock.now()
        exchange = mock.Mock(prompt=exchange_.Prompt('m', tokens, 100, ()))
        ranked = router.policy.order(exchange, SERVICE, router.views, None)
        number = router.views.index(ranked[0])
        sent_at = None if ranked[0].total_load().unread else now
        self.change_load(router, number, upstream_view.Load(1, tokens), 1)
        factor = self.case.factor if number in self.slow else 1.0
        begin = max(now, self.free_at[number])
        self.free_at[number] = begin + tokens / RATE * factor * noise
        first_at = self.free_at[number] + OVERHEAD_MS
        self.at(first_at, self.end_prefill, router, number, tokens, sent_at)
        end_at, one = first_at + self.hold_ms, upstream_view.Load(1)
        self.at(end_at, self.change_load, router, number, one, -1)
        if now > self.measured_from:
            self.waits.append(first_at - now)

    def change_load(self, router, number, load, sign):
        router.views[number].total_load().add(load, sign)
        known_at = self.clock.now() + LOAD_DELAY_MS
        self.at(known_at, self.receive_load, router, number, load, sign)

    def receive_load(self, sender, number, load, sign):
        for router in self.routers:
            if router is not sender:
                router.views[number].total_load().add(load, sign)

    def end_prefill(self, router, number, tokens, sent_at):
        self.change_load(router, number, upstream_view.Load(0, tokens), -1)
        if sent_at is None:
            return
        took_ms = self.clock.now() - sent_at
        if self.rate:
            net_ms = took_ms - router.rates.overhead_ms('')
            view, expected_ms = router.views[number], tokens / self.rate
            router.speeds.add_prefill(view, tokens, expected_ms, net_ms)
        router.rates.add_sample('', tokens, took_ms)

    def exchange_reports(self):
        now = self.clock.now()
        self.at(now + ROUND_MS, self.exchange_reports)
        found = [r.rates.tokens_per_ms('') for r in self.routers]
        self.rate = statistics.median([f for f in found if f] or [0])
        own = [router.speeds.own_report() for router in self.routers]
        total = reports.total(now, own)
        for router, part in zip(self.routers, own, strict=True):
            router.speeds.set_peer_report('fleet', router.outdated)
            rest = reports.excluding(now, total, part)
            messages = reports.to_messages(rest, reports.MAX_RELAYED)
            router.outdated = reports.from_messages(messages, now)
            router.speeds.tick()


def measure(case, mode, policy, ms=25_000):
    """Return median and 95th percentile of the time to the first event."""
    runs = [Model(case, mode, policy, seed).run(ms) for seed in range(2)]
    parts = statistics.quantiles(itertools.chain(*runs), n=20)
    return f'{parts[9]:.0f} / {parts[18]:.0f}'


if __name__ == '__main__':
    logs.setup('critical')
    for name in CASES:
        for policy in (policies.ScoredPolicy, NoisyPolicy):
            modes = (speeds_.OFF, speeds_.OWN, speeds_.SHARED)
            times = [measure(CASES[name], mode, policy) for mode in modes]
            print(f'| {name}, {policy.__name__} |', ' | '.join(times), '|')
