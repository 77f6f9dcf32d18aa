"""Model of routers before upstreams that fall over if they refuse too much."""

from __future__ import annotations

import random

from hypothesis import strategies

from peridotmast import clock as clock_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving.limits import brittleness
from peridotmast.serving.limits import slot_shares
from peridotmast.serving import upstream_view

SERVICE = 'pool'
STEP_MS = 10
BEACON_MS = 500
NEWS_MS = 20
LOST_SHARE = 0.05
"""Share of the beacons and of the news that are lost."""
WINDOW_MS = 1000
FALL_MS = 3000
WORK_MS = (100, 300)
CLOSE_NOTICED_MS = 20
DEMAND = 1.6
"""Callers for each slot."""
RETRY_MS = 100
STABLE_MS = 3000
"""Time after its start or its freeze from which on a router is in touch."""
RESTART_MS = 300

TROUBLES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ['silence', 'kill', 'kill_all', 'freeze', 'leave', 'join', 'stop']
        ),
        strategies.integers(100, 3000),
    ),
    max_size=8,
)
"""Troubles, each with the pause before it, in ms."""


class Upstream:
    """An upstream with slots, one place to wait, silences and falls."""

    def __init__(self, name, slots, limit):
        self.name, self.slots, self.limit = name, slots, limit
        self.present = []
        self.inbox = []
        self.closing = []
        self.refusals = []
        self.falls = []
        """Time of each fall, and whether it counts by the users' rule."""
        self.silent_until = self.fallen_until = 0
        self.ran_ms = 0

    def receive(self, now, run):
        """Accept or refuse a request, or let it wait for a silence's end."""
        if now < self.silent_until:
            self.inbox.append(run)
        elif now < self.fallen_until:
            run.end(None)
        elif len(self.present) >= self.slots + 1:
            self.refuse(now, run)
        else:
            self.present.append(run)

    def refuse(self, now, run):
        self.refusals = [r for r in self.refusals if r[0] > now - WINDOW_MS]
        self.refusals.append((now, run.router.is_in_touch()))
        if len(self.refusals) <= self.limit:
            run.end(True)
            return
        in_touch = sum(is_in_touch for _, is_in_touch in self.refusals)
        self.falls.append((now, 2 * in_touch > len(self.refusals)))
        self.refusals, self.fallen_until = [], now + FALL_MS
        present, self.present = self.present, []
        for each in (run, *present):
            each.end(None)

    def step(self, now):
        if now < self.silent_until:
            return
        waiting, self.inbox = self.inbox, []
        for run in waiting:
            self.receive(now, run)
        for run in [r for r in self.present if r.closes_at <= now]:
            self.present.remove(run)
            run.end(None)
        for run in self.present[: self.slots]:
            run.left_ms -= STEP_MS
            self.ran_ms += STEP_MS
            if run.left_ms <= 0:
                self.present.remove(run)
                run.end(False)


class Run:
    """A request at an upstream, as its router and the upstream know it."""

    def __init__(self, router, view, left_ms):
        self.router, self.view, self.left_ms = router, view, left_ms
        self.closes_at = float('inf')
        self.is_over = False
        view.add_load(upstream_view.Load(1))

    def abandon(self, closes_at):
        """Let the caller leave; the upstream notices it at `closes_at`."""
        self.router.runs.remove(self)
        self.view.remove_load(upstream_view.Load(1))
        self.view.left_behind += 1
        self.closes_at = closes_at

    def end(self, refused):
        """End the request: refused, answered, or None if it broke off."""
        if self not in self.router.runs:
            self.view.left_behind -= self.closes_at < float('inf')
            return
        self.router.runs.remove(self)
        self.view.remove_load(upstream_view.Load(1))
        if refused is not None:
            limit = self.router.model.limit
            self.view.note_activity()
            self.router.brittleness.note_answer(self.view, limit, refused)


class Router:
    """One run of a router, with the real parts that keep the shares."""

    def __init__(self, model, name):
        self.model, self.name = model, name
        self.shares = slot_shares.SlotShares(model.clock, name)
        self.brittleness = brittleness.Brittleness(
            model.clock, name, self.shares
        )
        self.brittleness.notify_peers = self.tell_soon
        self.brittleness.awaits_peers = self.awaits_peers
        self.has_heard = False
        self.runs = []
        self.is_frozen = False
        self.calm_since = model.clock.now()
        self.tells_at = 0
        self.views = {
            upstream.name: self.make_view(upstream)
            for upstream in model.upstreams
        }

    def make_view(self, upstream):
        record = pb.UpstreamRecord(
            upstream=pb.Upstream(
                name=upstream.name,
                service=SERVICE,
                slots=upstream.slots,
                born=1,
            )
        )
        return upstream_view.UpstreamView(record, self.model.clock, set())

    def awaits_peers(self):
        return not self.has_heard and len(self.model.routers) > 1

    def is_in_touch(self):
        """Return whether it has run for long enough for the users' rules."""
        return self.model.clock.now() - self.calm_since >= STABLE_MS

    def tell_soon(self):
        self.tells_at = self.tells_at or self.model.clock.now() + NEWS_MS

    def take(self):
        """Send a request where this router may; return whether it could."""
        views = list(self.views.values())
        self.model.random.shuffle(views)
        for view in views:
            if not self.brittleness.wait_ms(view):
                self.model.send(self, view)
                return True
        return False

    def serve(self):
        """Send a request, through a peer if this router may not."""
        if self.take():
            return True
        views = list(self.views.values())
        names = sorted(self.brittleness.peers_with_room(views))
        peers = [
            self.model.routers[n] for n in names if n in self.model.routers
        ]
        peers = [peer for peer in peers if not peer.is_frozen]
        return bool(peers) and self.model.random.choice(peers).take()

    def tell(self):
        """Send statements and refusals to the peers."""
        for peer in self.model.reachable_from(self):
            peer.has_heard = True
            peer.brittleness.merge_updates(
                self.name,
                self.brittleness.updates_for_peers(),
                self.brittleness.refusals_for_peers(),
            )

    def beacon(self):
        for peer in self.model.reachable_from(self):
            for name, view in self.views.items():
                load = upstream_view.Load(view.local_load.running)
                peer.views[name].set_peer_load(self.name, load)
        self.tell()


class Fleet:
    """Routers, upstreams and callers, played in steps of `STEP_MS`."""

    def __init__(self, routers, upstreams, slots, limit, seed):
        self.clock = clock_.ManualClock(1_000_000)
        self.random = random.Random(seed)
        self.limit = limit
        self.upstreams = [
            Upstream(f'u-{number}', slots, limit)
            for number in range(upstreams)
        ]
        self.routers = {}
        self.callers = [
            self.clock.now() + self.random.randrange(WORK_MS[1])
            for _ in range(int(DEMAND * upstreams * slots))
        ]
        """Times at which callers ask again."""
        self.due = []
        for number in range(routers):
            self.start(f'r-{number}')

    def start(self, name):
        self.routers[name] = Router(self, name)
        self.share_names()

    def share_names(self):
        """Tell the routers each other's names, as members that are known."""
        names = list(self.routers) + [name for _, name in self.due]
        for router in self.routers.values():
            router.shares.set_routers(names)

    def reachable_from(self, router):
        return [
            peer
            for peer in self.routers.values()
            if peer is not router
            and not peer.is_frozen
            and self.random.random() >= LOST_SHARE
        ]

    def send(self, router, view):
        run = Run(router, view, self.random.randrange(*WORK_MS))
        router.runs.append(run)
        upstream = self.upstreams[int(view.name.removeprefix('u-'))]
        upstream.receive(self.clock.now(), run)

    def run(self, ms):
        for _ in range(0, ms, STEP_MS):
            self.clock.advance(STEP_MS)
            self.step(self.clock.now())

    def step(self, now):
        for upstream in self.upstreams:
            upstream.step(now)
        for at, name in [item for item in self.due if item[0] <= now]:
            self.due.remove((at, name))
            self.start(name)
        for router in list(self.routers.values()):
            if router.is_frozen:
                continue
            if router.tells_at and now >= router.tells_at:
                router.tells_at = 0
                router.tell()
            if now % BEACON_MS == 0:
                router.brittleness.tick()
                router.beacon()
        if now % BEACON_MS == 0:
            self.share_names()
        self.ask(now)

    def ask(self, now):
        """Let the callers ask whose time has come."""
        running = [r for r in self.routers.values() if not r.is_frozen]
        busy = sum(len(router.runs) for router in self.routers.values())
        idle = max(0, len(self.callers) - busy)
        asking = [at for at in sorted(self.callers)[:idle] if at <= now]
        for at in asking if running else ():
            served = self.random.choice(running).serve()
            self.callers.remove(at)
            self.callers.append(now if served else now + RETRY_MS)

    def silence(self, ms=1600):
        until = self.clock.now() + ms
        for upstream in self.upstreams:
            upstream.silent_until = until

    def leave(self):
        """Let a third of the callers leave."""
        for router in self.routers.values():
            for run in list(router.runs):
                if self.random.random() < 0.33:
                    noticed_ms = self.random.randrange(CLOSE_NOTICED_MS)
                    run.abandon(self.clock.now() + noticed_ms)

    def kill(self, count=1):
        """Kill routers, which start again under their names."""
        count = min(count, len(self.routers))
        for name in self.random.sample(sorted(self.routers), k=count):
            self.kill_router(name)

    def kill_router(self, name):
        self.remove(name)
        self.due.append((self.clock.now() + RESTART_MS, name))

    def remove(self, name):
        """End a router; upstreams notice that its connections are closed."""
        router = self.routers.pop(name)
        for run in list(router.runs):
            router.runs.remove(run)
            run.closes_at = self.clock.now()

    def kill_all(self):
        self.kill(len(self.routers))

    def freeze(self):
        if self.routers:
            router = self.random.choice(list(self.routers.values()))
            router.is_frozen = True
            self.run(1500)
            router.is_frozen = False
            router.calm_since = self.clock.now()

    def join(self):
        self.start(f'new-{len(self.routers)}-{self.clock.now()}')

    def stop(self):
        """Remove a router for good; the others divide its shares."""
        if len(self.routers) > 2:
            self.remove(self.random.choice(sorted(self.routers)))
            self.share_names()

    @property
    def falls(self):
        """Return how often upstreams have fallen over."""
        return sum(len(upstream.falls) for upstream in self.upstreams)

    @property
    def counted_falls(self):
        """Return how many falls count by the users' rule."""
        return sum(
            counts
            for upstream in self.upstreams
            for _, counts in upstream.falls
        )

    def run_share(self, ms):
        """Return which share of the slots was used in a run of `ms`."""
        slots = sum(upstream.slots for upstream in self.upstreams)
        return sum(u.ran_ms for u in self.upstreams) / (slots * ms)
