"""Model of a team's callers, of routers that share its limit, of late beacons.

Counts what upstreams run, as the platform does: tokens by time, over all
routers and their runs. Upstreams run each admitted request at once.
"""

from __future__ import annotations

import heapq
import itertools
import random

import group_steps

from peridotmast import clock as clock_
from peridotmast.coordination import members as members_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import tolerance

TEAM = 'noor'
WINDOW_MS = 8000
OVER = 0.1
SLACK = 140_000
"""In any window, (rate x window + burst) x (1 + OVER) + SLACK may run."""
STEP_MS = 10
BEACON_MS = 250
TICK_MS = 250
REPORT_MS = 10
WAIT_MS = 50
ANSWER_MS = 100
"""Time for which a member of a group waits for its head's answer."""
PROMPTS = (2000, 2000, 2000, 12_000)
"""Tokens of requests, of which each is drawn equally often."""
SETTLE_MS = 4000


class Router:
    """A run of a router with the parts that count, and its callers' queue."""

    def __init__(self, fleet, number, is_first_run):
        self.node = group_steps.SimulatedRouter(
            number, fleet.clock, limited=False, is_first_run=is_first_run
        )
        self.number = number
        self.name = self.node.name
        self.quota = self.node.serving.quota
        self.quota.tolerance = tolerance.Tolerance(
            WINDOW_MS / 1000, OVER, SLACK
        )
        peering = self.node.peering
        peering.spend_reports.send = lambda beacon, peers: fleet.send(
            self, beacon, peers
        )
        peering.borrowing.send = lambda beacon, peers: fleet.ask(
            self, beacon, peers
        )
        peering.borrowing.wait_answer = lambda answered, ms: (
            answered.wait() if answered.ready() else None
        )
        peering.borrowing.pause = lambda ms: None
        self.quota.request_confirmation = self._schedule_report
        self.report_at = 0
        """Time at which a report between rounds is due; 0 for none."""
        self.beacon_at = fleet.clock.now() + fleet.draws.randrange(BEACON_MS)
        self.tick_at = fleet.clock.now() + fleet.draws.randrange(TICK_MS)
        self.is_frozen = False
        self.queued = []
        """Tokens of requests that wait for a frozen router."""
        self.arrived = []
        """Beacons that wait for a frozen router."""
        self.waiting = []
        """Time limit and tokens of requests that wait for confirmations."""

    def _schedule_report(self):
        self.report_at = self.report_at or self.node.clock.now() + REPORT_MS


class QuotaFleet:
    """Routers that share the limit of one team, and what its requests run.

    Parameters
    ----------
    count : int
        Number of routers.
    rate, burst : float
        Limit of the team, in tokens.
    seed : int
        Seed of all random choices.
    """

    def __init__(self, count, rate, burst, seed=0):
        self.clock = clock_.ManualClock(1_000_000)
        self.draws = random.Random(seed)
        self.rate, self.burst = rate, burst
        self.routers = {}
        self.asked = 0.0
        """Tokens asked for, as a multiple of the rate."""
        self.homes = None
        """Numbers of the routers that the callers use; None for all."""
        self.delay_ms = lambda sender, receiver: 5
        """Time from the sending of a beacon to its processing."""
        self.pause_ms = lambda router: 0
        """Time by which a router's next round of beacons is late."""
        self.runs = []
        """Time and tokens of each request that ran."""
        self.refused = 0
        self._entries = {}
        """Entries in the store, which stay when a router ends."""
        self._due = 0.0
        self._datagrams = []
        self._serials = itertools.count()
        for number in range(count):
            self.start(number, is_first_run=True)
        self.run(SETTLE_MS)

    @property
    def allowed(self):
        """Most tokens that may run in a window."""
        most = self.rate * WINDOW_MS / 1000 + self.burst
        return most * (1 + OVER) + SLACK

    def start(self, number, is_first_run=False):
        """Start a run of a router that knows the others by their entries."""
        router = Router(self, number, is_first_run)
        self.routers[number] = router
        self._entries[number] = router.node.members.me
        for other in self.routers.values():
            other.node.members.merge_entry(
                group_steps.copy_of(router.node.members.me)
            )
        for entry in self._entries.values():
            router.node.members.merge_entry(group_steps.copy_of(entry))
        self.configure(router)

    def configure(self, router):
        """Give a router the limit that is in force."""
        router.quota.configure(
            [pb.Team(name=TEAM, rate=self.rate, burst=self.burst)]
        )

    def kill(self, number):
        self.routers.pop(number, None)

    def leave(self, number):
        """Let a router announce that it leaves; it serves until killed."""
        router = self.routers[number]
        router.node.members.update_own_entry(state=members_.LEAVING)
        self._send_round(router)

    def freeze(self, number):
        self.routers[number].is_frozen = True

    def thaw(self, number):
        """Resume a router: its callers' requests come before the beacons."""
        router = self.routers[number]
        router.is_frozen = False
        queued, router.queued = router.queued, []
        for tokens in queued:
            self._request(router, tokens)
        arrived, router.arrived = router.arrived, []
        for data in arrived:
            self._receive(router, data)

    def run(self, ms):
        """Advance the clock while the callers ask and routers exchange."""
        for _ in range(0, ms, STEP_MS):
            self.clock.advance(STEP_MS)
            self._deliver()
            for router in list(self.routers.values()):
                if not router.is_frozen:
                    self._work(router)
            self._ask()

    def worst_window(self):
        """Return the most tokens that ran in any window."""
        worst = total = first = 0
        for at, tokens in self.runs:
            total += tokens
            while self.runs[first][0] <= at - WINDOW_MS:
                total -= self.runs[first][1]
                first += 1
            worst = max(worst, total)
        return worst

    def total(self):
        """Return all tokens that ran."""
        return sum(tokens for _, tokens in self.runs)

    def send(self, sender, beacon, peers):
        """Put a beacon on its way to some peers."""
        data = beacon.SerializeToString()
        for peer in peers:
            number = int(peer.member.name[-3:])
            receiver = self.routers.get(number)
            delay = receiver and self.delay_ms(sender, receiver)
            if delay is not None:
                due = self.clock.now() + delay
                item = due, next(self._serials), number, data
                heapq.heappush(self._datagrams, item)

    def ask(self, sender, beacon, peers):
        """Deliver a request for tokens, or its answer.

        At once if both take less than a member waits, as the model does not
        block; otherwise late.
        """
        for peer in peers:
            receiver = self.routers.get(int(peer.member.name[-3:]))
            delay = receiver and self.delay_ms(sender, receiver)
            if delay is None or receiver.is_frozen or 2 * delay > ANSWER_MS:
                self.send(sender, beacon, [peer])
            else:
                self._receive(receiver, beacon.SerializeToString())

    def _work(self, router):
        now = self.clock.now()
        if now >= router.tick_at:
            router.tick_at = now + TICK_MS
            router.node.peering.tick()
        waiting, router.waiting = router.waiting, []
        for until, tokens in waiting:
            self._request(router, tokens, until)
        if router.report_at and now >= router.report_at:
            router.report_at = 0
            router.node.peering.spend_reports.send_report()
        if now >= router.beacon_at:
            router.beacon_at = now + BEACON_MS + self.pause_ms(router)
            self._send_round(router)

    def _send_round(self, router):
        for beacon, peers in list(router.node.peering.rounds.next_round()):
            self.send(router, beacon, peers)

    def _deliver(self):
        now = self.clock.now()
        while self._datagrams and self._datagrams[0][0] <= now:
            _, _, number, data = heapq.heappop(self._datagrams)
            router = self.routers.get(number)
            if router is None:
                continue
            if router.is_frozen:
                router.arrived.append(data)
            else:
                self._receive(router, data)

    @staticmethod
    def _receive(router, data):
        router.node.peering.receive(pb.Beacon.FromString(data))

    def _ask(self):
        self._due += self.asked * self.rate * STEP_MS / 1000
        numbers = sorted(self.homes or self.routers)
        homes = [self.routers[n] for n in numbers if n in self.routers]
        while homes and self._due > 0:
            tokens = self.draws.choice(PROMPTS)
            self._due -= tokens
            router = self.draws.choice(homes)
            if router.is_frozen:
                router.queued.append(tokens)
            else:
                self._request(router, tokens)

    def _request(self, router, tokens, until=None):
        """Let a router decide on a request, which may wait until a time."""
        now = self.clock.now()
        until = now + WAIT_MS if until is None else until
        if router.quota.needs_head(TEAM):
            is_admitted = not router.node.peering.borrowing.acquire(
                TEAM, tokens
            )
        else:
            is_admitted = not router.quota.take(TEAM, tokens)
        if is_admitted:
            self.runs.append((now, tokens))
        elif now < until and router.quota.lacks_confirmation(TEAM, tokens):
            router.waiting.append((until, tokens))
        else:
            self.refused += 1
