"""Stateful model of the crash trackers of a fleet."""

from __future__ import annotations

import types

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import ids
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import crash_keys
from peridotmast.serving import crash_tracker as crash_tracker_

CRASHING = crash_keys.CrashKeys(ids.Fingerprint('bad'))
HARMLESS = crash_keys.CrashKeys(ids.Fingerprint('good'))
STREAMING = crash_keys.CrashKeys(ids.Fingerprint('streaming'))
BROKE_OFF = failures.unknown('broke_off')

ROUTERS = strategies.sampled_from(['a', 'b', 'c'])
DURATIONS_MS = strategies.sampled_from([20, 300, 1000, 4000, 700_000])

MAX_SENDS = 3
"""Maximum number of times that a request is sent after its block is known."""

SEED = int(
    '73d68681752704d7ab8479361166a7bcab55cd31bda4aab3fd140a924ad0a9eb'
    '146ce8239fbfb473bbb5e2a2f9a77b1c',
    16,
)
"""Seed of the histories. By default, hypothesis derives it from the source of
the model, so that any edit there changes the histories."""


def make_view(name, state=pb.UPSTREAM_STATE_LIVE, failure_domain=''):
    """Return the attributes of an `UpstreamView` that a tracker reads."""
    return types.SimpleNamespace(
        run=name,
        name=name,
        born=0,
        failure_domain=failure_domain,
        record=types.SimpleNamespace(state=state),
    )


@hypothesis.seed(SEED)
class CrashHistory(stateful.RuleBasedStateMachine):
    """Three routers, and a request that crashes each upstream that runs it.

    Fails if the request is sent too often once blocked or is unblocked too
    early, if a harmless request is refused, or if a request that each of
    these upstreams was answering is blocked. One router at a time, other than
    the holder of the duties, may be cut off from the others.
    """

    def __init__(self):
        super().__init__()
        self.clock = clock_.ManualClock(5_000_000)
        self.holder = 'a'
        self.isolated = ''
        self.stored_blocks = []
        self.runs = 0
        self.sends_after_block = 0
        self.blocked = False
        self.last_arrival = 0
        self.trackers = {name: self.make_tracker(name) for name in 'abc'}

    def make_tracker(self, name):
        tracker = crash_tracker_.CrashTracker(self.clock, name)
        tracker.may_retry = lambda: name == self.holder
        tracker.notify_peers = lambda: self.send_updates(name)
        tracker.on_block = self.on_block
        return tracker

    def on_block(self, fingerprint):
        assert fingerprint != STREAMING.request, (
            'blocked for crashes of another'
        )

    def send_updates(self, name):
        if name == self.isolated:
            return
        updates = self.trackers[name].updates_for_peers()
        for other, tracker in self.trackers.items():
            if other not in (name, self.isolated):
                tracker.merge_updates(updates)

    @stateful.rule(router=ROUTERS)
    def crashing_request(self, router):
        tracker = self.trackers[router]
        self.last_arrival = self.clock.now()
        if tracker.retry_after_ms(CRASHING):
            return
        self.runs += 1
        if self.blocked and router != self.isolated:
            self.sends_after_block += 1
            assert self.sends_after_block <= MAX_SENDS, 'sent too often'
        self.clock.advance(5)
        view = make_view(f'i-{self.runs}')
        tracker.note_failure(
            STREAMING, view, BROKE_OFF, self.last_arrival - 500, True
        )
        tracker.note_failure(CRASHING, view, BROKE_OFF, self.last_arrival)

    @stateful.rule(router=ROUTERS)
    def harmless_request(self, router):
        """Break a connection to an upstream that answers other requests."""
        tracker = self.trackers[router]
        assert not tracker.retry_after_ms(HARMLESS), 'refused without a crash'
        view = make_view('steady')
        tracker.note_failure(HARMLESS, view, BROKE_OFF, self.clock.now())
        self.clock.advance(5)
        tracker.note_response(view, self.clock.now())

    @stateful.rule(router=ROUTERS)
    def cut_off(self, router):
        if router != self.holder:
            self.isolated = router

    @stateful.rule(router=ROUTERS)
    def restart(self, router):
        """Kill a router; its next run receives updates before it serves."""
        self.trackers[router] = self.make_tracker(router)
        self.exchange()

    @stateful.rule()
    def all_restart(self):
        """Kill all routers; the next holder reads the blocks in the lease."""
        self.trackers = {name: self.make_tracker(name) for name in 'abc'}
        self.trackers[self.holder].merge_updates(self.stored_blocks)
        self.exchange()

    @stateful.rule(router=ROUTERS)
    def move_duties(self, router):
        """Make another router the holder of the duties."""
        self.exchange()
        self.holder = router

    @stateful.rule(ms=DURATIONS_MS)
    def pass_time(self, ms):
        self.clock.advance(ms)
        for tracker in self.trackers.values():
            tracker.tick()
        self.exchange()

    @stateful.rule()
    def exchange(self):
        """Reconnect all routers and exchange all updates, twice."""
        self.isolated = ''
        for _ in range(2):
            for name in self.trackers:
                self.send_updates(name)
        self.stored_blocks = self.trackers[self.holder].blocked_requests()
        self.check_block()

    def check_block(self):
        """Check that a block lasts for the retention period."""
        blocked = any(t.blocked_requests() for t in self.trackers.values())
        idle = self.clock.now() - self.last_arrival
        if self.blocked and not blocked:
            assert idle >= crash_tracker_.RETENTION_MS, 'unblocked too early'
            self.sends_after_block = 0
        self.blocked = blocked
