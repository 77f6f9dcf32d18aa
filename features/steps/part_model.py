"""Routers and upstreams without a network, and parts that crash upstreams."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random

import crash_model

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast.serving import crash_keys
from peridotmast.serving import crash_tracker as crash_tracker_

STABLE_MS = 3000
"""Time after the fifth crash from which few requests may arrive."""

FREE_CRASHES = 5
BROKE_OFF = failures.unknown('broke_off')
UPDATE_MS = 20
BEACON_MS = 250
CRASH_MS = 90
QUEUE_MS = 300
ANSWER_MS = (300, 2500)
RESTART_MS = (2000, 4000)


@dataclasses.dataclass(eq=False)
class Request:
    """A request in progress at an upstream."""

    router: int
    keys: crash_keys.CrashKeys
    bad: str
    """Its part that crashes upstreams; empty for a sound request."""
    sent_at: int
    is_answering: bool = False


@dataclasses.dataclass(eq=False)
class Upstream:
    """One run of an upstream, and the requests at it."""

    name: str
    domain: str
    requests: set = dataclasses.field(default_factory=set)
    is_up: bool = True


class Play:
    """Crash trackers of some routers, in simulated time.

    Parameters
    ----------
    seed : int
        Seed of all draws.
    routers, upstreams, domains : int
        Sizes of the fleet.
    bad : sequence of str
        Parts that crash upstreams.
    bad_share : float
        Share of requests with one of these parts, once they come.
    rate : float
        Requests a second.
    """

    def __init__(
        self,
        seed,
        routers=3,
        upstreams=5,
        domains=4,
        bad=('bad',),
        bad_share=0.2,
        rate=10.0,
    ):
        self.random = random.Random(seed)
        self.clock = clock_.ManualClock(5_000_000)
        self.start = self.clock.now()
        self.bad, self.bad_share, self.rate = bad, bad_share, rate
        self.bad_from = 3000
        self.own_parts_with_bad = False
        """Whether requests with a bad part have parts that no other has."""
        self.cut = set()
        self.crashes = {part: [] for part in bad}
        self.arrivals = {part: [] for part in bad}
        """Times in ms, by part; arrivals only from routers in touch."""
        self.sound = []
        """Time of each sound request, and whether it was sent at once."""
        self.blocked = set()
        self._due, self._order = [], itertools.count()
        self._numbers = itertools.count()
        self.trackers = [self._tracker(n) for n in range(routers)]
        self._update_due = set()
        self.upstreams = [
            Upstream(f'i-{next(self._numbers)}', f'd-{n % domains}')
            for n in range(upstreams)
        ]
        self.at(0, self._send_next)
        for number in range(routers):
            self.at(10 * number, self._send_beacon, number)

    @property
    def now(self):
        return self.clock.now() - self.start

    def at(self, ms, callback, *args):
        """Call ``callback(*args)`` at `ms` from the start."""
        heapq.heappush(
            self._due, (max(ms, self.now), next(self._order), callback, args)
        )

    def run(self, ms):
        while self._due and self._due[0][0] <= ms:
            at, _, callback, args = heapq.heappop(self._due)
            self.clock.advance(at - self.now)
            callback(*args)
        self.clock.advance(ms - self.now)

    def restart(self, numbers):
        """Kill routers; what the holder had blocked is stored and read."""
        stored = self.trackers[0].blocked_requests()
        for number in numbers:
            self.trackers[number] = self._tracker(number)
        if 0 in numbers:
            self.trackers[0].merge_updates(stored)

    def lose_domain(self, domain, spread_ms):
        """Lose all upstreams of a failure domain, one after the other."""
        for upstream in list(self.upstreams):
            if upstream.domain == domain:
                ms = self.random.randint(0, spread_ms)
                self.at(self.now + ms, self._lose, upstream)

    def excess(self, part):
        """Return the arrivals after the time in which they are free."""
        crashes = self.crashes[part]
        if len(crashes) < FREE_CRASHES:
            return 0
        limit = crashes[FREE_CRASHES - 1] + STABLE_MS
        return sum(at > limit for at in self.arrivals[part])

    def served_share(self):
        """Return the share of sound requests sent at the first try.

        From twice the stable time after the fifth crash of a part, or its
        last one if there are fewer.
        """
        limits = [
            crashes[:FREE_CRASHES][-1] + 2 * STABLE_MS
            for crashes in self.crashes.values()
            if crashes
        ]
        since = max(limits, default=0)
        sent = [was_sent for at, was_sent in self.sound if at > since]
        return sum(sent) / len(sent) if sent else 1.0

    def _tracker(self, number):
        tracker = crash_tracker_.CrashTracker(self.clock, f'r-{number}')
        tracker.may_retry = lambda: number == 0
        tracker.notify_peers = lambda: self._schedule_update(number)
        tracker.on_block = lambda key: self._cancel(number, key)
        return tracker

    def _schedule_update(self, number):
        if number not in self._update_due:
            self._update_due.add(number)
            self.at(self.now + UPDATE_MS, self._send_update, number)

    def _send_update(self, number):
        self._update_due.discard(number)
        self._deliver(number)

    def _send_beacon(self, number):
        self._deliver(number)
        self.at(self.now + BEACON_MS, self._send_beacon, number)

    def _deliver(self, number):
        updates = self.trackers[number].updates_for_peers()
        for other, tracker in enumerate(self.trackers):
            if other != number and not {other, number} & self.cut:
                tracker.merge_updates(updates)

    def _cancel(self, number, key):
        self.blocked.add(key)
        is_part = crash_keys.is_part(key)
        for upstream in self.upstreams:
            for request in list(upstream.requests):
                is_kept = is_part and request.is_answering
                own = request.router == number
                if own and key in request.keys.all() and not is_kept:
                    upstream.requests.discard(request)

    def _send_next(self):
        self._send(self.random.randrange(len(self.trackers)))
        pause_ms = self.random.expovariate(self.rate / 1000)
        self.at(self.now + int(pause_ms) + 1, self._send_next)

    def _send(self, router):
        is_bad = self.now >= self.bad_from and (
            self.random.random() < self.bad_share
        )
        bad = self.random.choice(self.bad) if is_bad and self.bad else ''
        number = next(self._numbers)
        parts = ['common', f'caller-{number % 3}', f'session-{number % 40}']
        if bad:
            if self.own_parts_with_bad:
                parts = ['common', f'with-{bad}']
            parts.append(bad)
        keys = crash_keys.CrashKeys(f'{number}', crash_keys.of_parts(parts))
        refused = self.trackers[router].retry_after_ms(keys)
        up = [u for u in self.upstreams if u.is_up]
        if not bad and up:
            self.sound.append((self.now, not refused))
        if refused or not up:
            return
        upstream = self.random.choice(up)
        request = Request(router, keys, bad, self.clock.now())
        upstream.requests.add(request)
        if bad and router not in self.cut:
            self.arrivals[bad].append(self.now)
        wait_ms = self.random.randint(1, QUEUE_MS)
        self.at(self.now + wait_ms, self._begin, upstream, request)

    def _begin(self, upstream, request):
        if request not in upstream.requests:
            return
        if request.bad:
            self.at(self.now + CRASH_MS, self._crash, upstream, request)
            return
        request.is_answering = True
        tracker = self.trackers[request.router]
        view = crash_model.make_view(upstream.name)
        tracker.note_response(view, request.sent_at)
        ms = self.random.randint(*ANSWER_MS)
        self.at(self.now + ms, self._end, upstream, request)

    def _end(self, upstream, request):
        if request in upstream.requests:
            upstream.requests.discard(request)
            self.trackers[request.router].note_success(request.keys)

    def _crash(self, upstream, request):
        if upstream.is_up:
            self.crashes[request.bad].append(self.now)
            self._lose(upstream)

    def _lose(self, upstream):
        if not upstream.is_up:
            return
        upstream.is_up = False
        self.upstreams.remove(upstream)
        view = crash_model.make_view(
            upstream.name, failure_domain=upstream.domain
        )
        for request in upstream.requests:
            self.trackers[request.router].note_failure(
                request.keys,
                view,
                BROKE_OFF,
                request.sent_at,
                request.is_answering,
            )
        upstream.requests.clear()
        ms = self.random.randint(*RESTART_MS)
        self.at(self.now + ms, self._replace, upstream.domain)

    def _replace(self, domain):
        name = f'i-{next(self._numbers)}'
        self.upstreams.append(Upstream(name, domain))
