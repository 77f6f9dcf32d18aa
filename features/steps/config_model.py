"""A fleet without a network, whose routers follow changes of a configuration.

Routers are made of their real parts. Time is simulated, and so are the answers
of the platform's store, the beacons and the calls between routers.
"""

from __future__ import annotations

import dataclasses
import functools
import heapq
import itertools
import json
import types
import typing as ty

import helpers
import prometheus_client

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import green
from peridotmast import ini
from peridotmast import invariants
from peridotmast.platform import config_codec
from peridotmast.platform import names
from peridotmast.platform import upstream_codec
from peridotmast.router import catch_up as catch_up_
from peridotmast.router import fleet_state as fleet_state_
from peridotmast.router import peer_service
from peridotmast.router import peering as peering_
from peridotmast.router import update_beacons
from peridotmast import rpc
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import upstream_view
from peridotmast.wire import http_client

APPLY_MS = 2000
"""Time after its ack in which a change must be in force."""
LEAVE_MS = 2000
"""Time after its ack in which each router must know of a leaving upstream."""
STABLE_MS = 3000
"""Time after a disturbance of the whole store, or the start of a router, from
which the bound holds."""

SETTLE_ROUNDS = 12
BEACON_MS = 250
LEASE_MS = 1600
CHECK_MS = 100
RESTART_MS = 500
WRITE_AGAIN_MS = 1200
"""Time after a return of the store in which upstreams write their entries."""
ANSWER_MS = 4
TIMEOUT_MS = 1500
RETRY_MS = 500
SLOW_ANSWER_MS = 900
UPSTREAMS = 6


_STATUSES = {'busy': 503, 'gone': 410}


class Timeline:
    """Simulated time, on which tasks sleep and callbacks run."""

    def __init__(self):
        self.clock = clock_.ManualClock()
        self.start = self.clock.now()
        self._due = []
        self._order = itertools.count()

    @property
    def elapsed(self):
        return self.clock.now() - self.start

    def call_after_ms(self, ms, callback):
        at = self.clock.now() + max(0, int(ms))
        heapq.heappush(self._due, (at, next(self._order), callback))

    def sleep_ms(self, ms):
        event = green.Event()
        self.call_after_ms(ms, lambda: event.send(None))
        event.wait()

    def run(self, ms):
        """Let `ms` pass, with all that is due meanwhile."""
        end = self.clock.now() + ms
        while self._due and self._due[0][0] <= end:
            at = self._due[0][0]
            self.clock.advance(at - self.clock.now())
            while self._due and self._due[0][0] <= at:
                heapq.heappop(self._due)[2]()
            for _ in range(SETTLE_ROUNDS):
                green.eventlet.sleep(0)
        self.clock.advance(end - self.clock.now())


@dataclasses.dataclass
class Trouble:
    """A time in which the store does not serve some or all routers."""

    how: str
    """``silent``, ``busy``, ``reset`` or ``slow``."""
    routers: ty.Optional[set[int]]
    """Numbers of the routers; None for all of them and the operator."""
    until: int


@dataclasses.dataclass
class Watch:
    """A call that waits for a change of a kind."""

    router: int
    kind: str
    since: int
    ended: ty.Any = dataclasses.field(default_factory=green.Event)
    is_dead: bool = False
    """Whether its connection has gone silent for good."""

    def end(self, outcome):
        if not self.ended.ready():
            self.ended.send(outcome)


class SimulatedStore:
    """The platform's store: objects, watches and times of trouble."""

    def __init__(self, timeline):
        self._timeline = timeline
        self._objects = {}
        self._watches = []
        self._troubles = []
        self.revision = 10
        self.disturbed_until = 0
        self.acked = []
        """Time of the ack and version of each change of the configuration."""
        self._unsent = []
        self._oldest = 0
        """Revision from which on changes can be watched."""
        self.era = 0
        self._removed = []
        self._copies = []
        """Time, objects and revision after each write."""
        self._states = {}
        """State of each upstream that has written an entry."""

    def begin(self, trouble):
        """Begin a trouble; watches that wait stay open in a silent one."""
        self._troubles.append(trouble)
        if trouble.routers is None:
            self.disturbed_until = max(self.disturbed_until, trouble.until)
        if trouble.how in ('silent', 'slow'):
            return
        for watch in self._watches:
            if trouble.routers is None or watch.router in trouble.routers:
                if not watch.is_dead:
                    watch.end(trouble.how)

    def forget_history(self):
        """Drop the history, so that all watches end and list anew."""
        self._oldest = self.revision + 1
        self.revision += 1
        self.disturbed_until = max(
            self.disturbed_until, self._timeline.clock.now()
        )
        for watch in self._watches:
            if not watch.is_dead:
                watch.end('gone')

    def come_back(self, how, away_ms, age_ms):
        """Be away, and come back from a copy of some time before that."""
        now = self._timeline.clock.now()
        self.begin(Trouble(how, None, now + away_ms))
        self._timeline.call_after_ms(
            away_ms, lambda: self._restore(now - age_ms)
        )

    def _restore(self, time):
        _, objects, self.revision = next(
            (copy for copy in reversed(self._copies) if copy[0] <= time),
            self._copies[-1],
        )
        self._objects = {kind: {**found} for kind, found in objects.items()}
        self._removed.clear()
        self._oldest = 0
        self.era += 1
        if self.acked:
            document = make_document(self.acked[-1][1])
            self.put(names.CONFIG_KIND, names.CONFIG_NAME, document)
        for number, (name, state) in enumerate(self._states.items()):
            self._timeline.call_after_ms(
                WRITE_AGAIN_MS * (number + 1) // len(self._states),
                functools.partial(self.put_upstream, name, state),
            )

    def put_upstream(self, name, state):
        """Write an upstream's entry, unless that has changed meanwhile."""
        if self._states.get(name, state) == 'draining':
            state = 'draining'
        self._states[name] = state
        entry = make_entry(name, state)
        known = self._objects.get(names.UPSTREAM_KIND, {}).get(name, {})
        if known.get(names.SPEC, {}).get('state') != state:
            self.put(names.UPSTREAM_KIND, name, entry)
        else:
            known[names.SPEC]['seq'] += 1

    def remove_upstream(self, name):
        """Remove an upstream's entry, though the upstream lives."""
        stored = self._objects[names.UPSTREAM_KIND].pop(name)
        self.revision += 1
        meta = {**stored[names.META], names.REVISION: self.revision}
        self._removed.append((names.UPSTREAM_KIND, {names.META: meta}))
        self._announce(names.UPSTREAM_KIND)

    def trouble_of(self, router):
        """Return how the store fails a router now; empty if it does not."""
        now = self._timeline.clock.now()
        self._troubles = [t for t in self._troubles if t.until > now]
        return next(
            (
                t.how
                for t in self._troubles
                if t.routers is None or router in t.routers
            ),
            '',
        )

    def change_config(self, version):
        """Store a version as the operator does: in order, until an ack."""
        self._unsent.append(version)
        if len(self._unsent) == 1:
            self._send_changes()

    def _send_changes(self):
        if self.trouble_of(None) not in ('', 'slow'):
            self._timeline.call_after_ms(RETRY_MS, self._send_changes)
            return
        for version in self._unsent:
            document = make_document(version)
            self.put(names.CONFIG_KIND, names.CONFIG_NAME, document)
            acked_at = self._timeline.clock.now() + ANSWER_MS
            self.acked.append((acked_at, version))
        self._unsent.clear()

    def put(self, kind, name, spec):
        self.revision += 1
        meta = {'name': name, names.REVISION: self.revision}
        stored = {names.META: meta, names.SPEC: spec}
        self._objects.setdefault(kind, {})[name] = stored
        self._announce(kind)
        return stored

    def _announce(self, kind):
        """End the watches that wait for a change, and keep a copy."""
        for watch in self._watches:
            if watch.kind == kind and not watch.is_dead:
                # An answer that falls into a silence is lost for good.
                watch.is_dead = self.trouble_of(watch.router) == 'silent'
                if not watch.is_dead and self.revision > watch.since:
                    watch.end('')
        copied = {kind: {**found} for kind, found in self._objects.items()}
        now = self._timeline.clock.now()
        self._copies.append((now, copied, self.revision))

    def request(self, router, method, path, body, timeout_ms):
        """Answer a call of a router, or return a failure."""
        self._timeline.sleep_ms(ANSWER_MS)
        trouble = self.trouble_of(router)
        if trouble == 'slow':
            self._timeline.sleep_ms(SLOW_ANSWER_MS)
        elif trouble:
            return self._fail(trouble, timeout_ms)
        path, _, query = path.partition('?')
        kind, _, name = path[len(names.OBJECTS_PATH) + 1 :].partition('/')
        options = dict(o.split('=') for o in query.split('&') if o)
        if method in ('POST', 'PUT'):
            name = name or body[names.META]['name']
            return self._answer(200, self.put(kind, name, body[names.SPEC]))
        if names.WATCH in options:
            since = int(options[names.WATCH])
            return self._wait(router, kind, since, timeout_ms)
        found = self._objects.get(kind, {})
        if name:
            status = 200 if name in found else 404
            return self._answer(status, found.get(name, {}))
        listing = {names.ITEMS: [*found.values()], names.HAS_MORE: False}
        return self._answer(200, {**listing, names.AT_REVISION: self.revision})

    def _answer(self, status, document):
        headers = [(names.ERA, str(self.era))] if self.era else []
        body = json.dumps(document).encode()
        return http_client.Response(status, headers, body)

    def _fail(self, trouble, timeout_ms):
        if trouble == 'silent':
            self._timeline.sleep_ms(timeout_ms)
            return failures.unknown('silent')
        if trouble in _STATUSES:
            return self._answer(_STATUSES[trouble], {})
        return failures.unknown('broke_off')

    def _wait(self, router, kind, since, timeout_ms):
        if not self._oldest <= since <= self.revision:
            return self._answer(_STATUSES['gone'], {})
        watch = Watch(router, kind, since)
        if not self._changes(kind, since):
            self._watches.append(watch)
            self._timeline.call_after_ms(
                timeout_ms, lambda: watch.end('ended')
            )
            try:
                trouble = watch.ended.wait()
            finally:
                self._watches.remove(watch)
            if trouble:
                return self._fail(trouble, timeout_ms)
        events = [
            {names.OBJECT: stored, names.DELETED: names.SPEC not in stored}
            for stored in self._changes(kind, since)
        ]
        return self._answer(
            200, {names.EVENTS: events, names.AT_REVISION: self.revision}
        )

    def _changes(self, kind, since):
        removed = [stored for k, stored in self._removed if k == kind]
        return [
            stored
            for stored in (*self._objects.get(kind, {}).values(), *removed)
            if stored[names.META][names.REVISION] > since
        ]


class _Http:
    """The connections of one router to the simulated store."""

    def __init__(self, store, router):
        self._store = store
        self._router = router

    def request(
        self, method, address, path, body=None, timeout_ms=0, **options
    ):
        return self._store.request(
            self._router, method, path, body, timeout_ms or TIMEOUT_MS
        )

    def close(self):
        pass


class SimulatedRouter:
    """The parts of a router that follow the configuration."""

    def __init__(self, fleet, number):
        self._fleet = fleet
        self.number = number
        self.address = f'10.0.0.{number + 1}:7'
        self.started_at = fleet.timeline.clock.now()
        self.errors = []
        clock = fleet.timeline.clock
        file = pb.RouterFile(
            router=ini.defaults(pb.RouterSettings, name=f'router-{number}'),
            platform=ini.defaults(
                pb.PlatformSettings, objects='10.1.0.1:1', cloud='10.1.0.1:1'
            ),
            bounds=ini.defaults(pb.BoundsSettings),
        )
        checks = invariants.Invariants(
            prometheus_client.CollectorRegistry(), fatal=True
        )
        self.state = fleet_state_.FleetState(file, clock, checks)
        self.state.store._http = _Http(fleet.store, number)
        self.state.store._clock = clock
        self.state.members.update_own_entry(peer_address=self.address)
        self._tasks = green.Tasks(lambda *error: self.errors.append(error))
        self.catch_up = catch_up_.CatchUp(
            clock, self.state, self, self._tasks.spawn
        )
        self.peering = peering_.Peering(
            clock,
            self.state,
            helpers.make_limits(clock),
            types.SimpleNamespace(
                change_source=lambda: None,
                retain_members=lambda keep: None,
                group_spends=lambda teams: {},
            ),
            None,
            self.catch_up,
        )
        self.service = peer_service.PeerService(
            clock,
            self.state.members,
            self.state.config,
            self.state.upstream_table,
            None,
            None,
            pb.TlsSettings(),
        )
        self.state.start(
            self._tasks, self.peering.is_outage_suspected, self._send_changes
        )
        self._tasks.run_every('beacons', BEACON_MS, self._send_beacons)

    @property
    def version(self):
        return self.state.config.routes.version

    def uses(self, name):
        """Return whether an upstream may get requests."""
        view = self.state.upstream_table.get(name)
        return view is not None and view.is_available

    def stop(self):
        self._tasks.stop()

    def call(self, address, method, request, timeout_ms):
        """Call a peer, which answers unless the way to it is cut."""
        peer = self._fleet.by_address(address)
        if peer is None or self._fleet.is_cut(self.number, peer.number):
            self._fleet.timeline.sleep_ms(timeout_ms)
            return failures.unavailable('deadline_exceeded')
        self._fleet.timeline.sleep_ms(ANSWER_MS)
        return getattr(peer.service, method)(request, rpc.Caller())

    def renew_lease(self):
        """Make the call that the holder of the duties makes regularly."""
        self._tasks.spawn(
            'lease', self.state.store.read, 'peridotmast-leases', 'duties'
        )

    def _send_beacons(self):
        self.state.members.tick()
        self.catch_up.tick()
        beacon = update_beacons.base_beacon(self.state)
        beacon.outage_felt = self.state.outage.is_suspected()
        self._fleet.deliver(self.number, beacon)

    def _send_changes(self):
        if not self.state.watchers.all_watch():
            self._fleet.deliver(
                self.number, update_beacons.empty_update(self.state)
            )


class Fleet:
    """Routers, the store and the cuts between routers.

    Parameters
    ----------
    count : int
        Number of routers.
    """

    def __init__(self, count):
        self.timeline = Timeline()
        self._real = green.sleep_ms, green.call_after_ms
        green.sleep_ms = self.timeline.sleep_ms
        green.call_after_ms = self.timeline.call_after_ms
        self.store = SimulatedStore(self.timeline)
        self.store.put(names.CONFIG_KIND, names.CONFIG_NAME, make_document(1))
        for number in range(UPSTREAMS):
            self.store.put_upstream(f'u{number}', 'ready')
        self._version = 1
        self._left = {}
        """Time of the ack of each upstream's leaving."""
        self._cuts = {}
        self._unserved_until = {}
        self.routers = [SimulatedRouter(self, n) for n in range(count)]
        self.late = []
        """Versions that were not in force in time, each with its router."""
        self._check()
        self._renew_lease()

    def close(self):
        for router in filter(None, self.routers):
            router.stop()
        green.sleep_ms, green.call_after_ms = self._real

    def by_address(self, address):
        return next(
            (r for r in self.routers if r and r.address == address), None
        )

    def at(self, ms, callback, *args):
        """Call ``callback(*args)`` at `ms` from the start."""
        self.timeline.call_after_ms(
            ms - self.timeline.elapsed, lambda: callback(*args)
        )

    def change(self):
        self._version += 1
        self.store.change_config(self._version)

    def trouble(self, how, routers, ms):
        """Let the store fail routers, or all if None, for `ms`."""
        until = self.timeline.clock.now() + ms
        self.store.begin(Trouble(how, routers, until))

    def forget_history(self):
        self.store.forget_history()

    def come_back(self, how, away_ms, age_ms):
        self.store.come_back(how, away_ms, age_ms)

    def leave(self, name):
        """Let an upstream write that it leaves, once the store answers."""
        if self.store.trouble_of(None):
            self.timeline.call_after_ms(
                RETRY_MS, functools.partial(self.leave, name)
            )
            return
        self.store.put_upstream(name, 'draining')
        self._left[name] = self.timeline.clock.now() + ANSWER_MS

    def cut(self, routers, ms):
        """Cut routers from all other routers for `ms`."""
        until = self.timeline.clock.now() + ms
        self._cuts.update(dict.fromkeys(routers, until))

    def kill(self, routers):
        """Kill routers, which are started again."""
        for number in routers:
            if self.routers[number] is not None:
                self.routers[number].stop()
                self.routers[number] = None
                self.timeline.call_after_ms(
                    RESTART_MS, functools.partial(self._start, number)
                )

    def is_cut(self, one, other):
        now = self.timeline.clock.now()
        return any(self._cuts.get(r, 0) > now for r in (one, other))

    def deliver(self, sender, beacon):
        """Deliver a beacon to all routers that it reaches."""
        for router in self.routers:
            if router is None or router.number == sender:
                continue
            if not self.is_cut(sender, router.number):
                copy = pb.Beacon()
                copy.CopyFrom(beacon)
                router.peering.receive(copy)

    def _start(self, router):
        self.routers[router] = SimulatedRouter(self, router)

    def _renew_lease(self):
        holder = next(filter(None, self.routers), None)
        if holder is not None:
            holder.renew_lease()
        self.timeline.call_after_ms(LEASE_MS, self._renew_lease)

    def _check(self):
        """Note each router in touch that lacks a change it must have."""
        now = self.timeline.clock.now()
        due = max(
            (v for at, v in self.store.acked if at + APPLY_MS < now), default=0
        )
        is_stable = now >= self.store.disturbed_until + STABLE_MS
        for router in filter(None, self.routers):
            is_cut = self._cuts.get(router.number, 0) > now
            if is_cut and self.store.trouble_of(router.number):
                self._unserved_until[router.number] = now
            since = max(
                router.started_at,
                self._unserved_until.get(router.number, 0),
            )
            in_touch = is_stable and now >= since + STABLE_MS
            if in_touch and router.version < due:
                self.late.append(
                    (self.timeline.elapsed, router.number, router.version, due)
                )
            for name, acked_at in self._left.items():
                is_due = in_touch and acked_at + LEAVE_MS < now
                if is_due and router.uses(name):
                    self.late.append(
                        (self.timeline.elapsed, router.number, name, 'leaving')
                    )
        self.timeline.call_after_ms(CHECK_MS, self._check)


def make_document(version):
    """Return a small configuration as the operator stores it."""
    config = pb.Config(
        routes=[
            pb.Route(
                name=f'r-{version}',
                host='a.example',
                prefix='/p/',
                kind=pb.IDEMPOTENT,
                timeout_ms=1000,
                target_ms=100,
                attempts=1,
                services=['pages'],
            )
        ]
    )
    return config_codec.write_config(config, version)


def make_entry(name, state):
    """Return an upstream's entry in the store."""
    record = pb.UpstreamRecord(
        upstream=pb.Upstream(
            name=name,
            address=f'10.2.0.{1 + int(name[1:])}:80',
            failure_domain='a',
            service='pages',
            slots=4,
        ),
        state=upstream_view.LIVE,
    )
    return {**upstream_codec.write_upstream(record), 'state': state}
