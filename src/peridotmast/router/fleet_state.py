"""What a router knows of the platform and the fleet, kept up to date."""

from __future__ import annotations

import functools
import random
import typing as ty

from peridotmast import clock as clock_
from peridotmast.coordination import config_feed
from peridotmast.coordination import current_view
from peridotmast.coordination import fleet_clock
from peridotmast.coordination import groups as groups_
from peridotmast.coordination import kind_watch
from peridotmast.coordination import members as members_
from peridotmast.coordination import outage as outage_
from peridotmast.coordination import registry as registry_
from peridotmast.coordination import store_era
from peridotmast.coordination import store_prober
from peridotmast.coordination import upstream_feed
from peridotmast.coordination import watchers as watchers_
from peridotmast import green
from peridotmast import invariants as invariants_
from peridotmast.platform import config_codec
from peridotmast.platform import names
from peridotmast.platform import rollout_orders
from peridotmast.platform import store as store_
from peridotmast.platform import upstream_codec
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import upstreams as upstreams_

_KINDS_OF_PART = {
    'config': (names.CONFIG_KIND, config_feed.KIND),
    'upstreams': (names.UPSTREAM_KIND,),
}
"""Kinds of stored objects by the part of the state that they determine."""

_MAX_MISSED_BEACONS = 5
"""Missed beacons after which callers are no longer sent to a peer: a few may
be lost in a row, and a dead peer costs a caller a connection."""

_MAX_CLOCK_GAP_BEACONS = 2
"""Maximum time between two clock readings of a running router, in beacon
intervals. A longer gap counts as time in which the process was suspended. The
last beacons that it has read may then be three intervals old, and it reads
later beacons before they count as missed."""

_MIN_CLOCK_GAP_MS = 500
"""Lower bound of that maximum for short beacon intervals: twice the 250 ms at
which a router checks its peers in any case."""

_REGISTER_RETRY_MS = 1000

_WRITE_AGAIN_SPREAD_MS = 500
"""Time after a return of the store in which the routers begin to write again
what it has lost: many times the duration of a write."""

_UNREGISTERED_WAIT_MS = 1500
"""Time after which a router that could not register in the store chooses the
watchers among itself and the peers from which it has received beacons."""

_STORE_CHECK_MS = 500
"""Interval at which the store is checked if it has failed, or if this router
probes it for the others. A check probes the store if there was no other call
since the last check, so the probe follows the failed call after 0.5 s to 1 s.
Together with the 2 s in which entries reappear, an outage is over within the
3 s in which a leaving upstream may still get requests."""

_SHARED_PROBE_MS = 20
"""Time after a probe in which further watches are started without another one:
a change of several kinds restarts their watches together."""


class FleetState:
    """The platform's store and the state that is read from it.

    Parameters
    ----------
    file : pb.RouterFile
        Checked settings.
    clock : clock.Clock
        Clock for all timing.
    checks : invariants.Invariants
        Invariants that are checked at run time.
    on_error : callable, optional
        Called with the name of a task and each unexpected error in the
        processing of one stored object.
    """

    def __init__(
        self,
        file: pb.RouterFile,
        clock: clock_.Clock,
        checks: invariants_.Invariants,
        on_error: ty.Callable[[str, BaseException], None] = (
            lambda task, exc: None
        ),
    ) -> None:
        cfg, platform, bounds = file.router, file.platform, file.bounds
        lapse_ms = int(bounds.lapse_s * 1000)
        self._clock = clock
        self._lapse_ms = lapse_ms
        self._random = random.Random(cfg.name)
        self.outage = outage_.OutageTracker(clock, lapse_ms)
        """Tracks whether the store answers."""
        self.store = store_.PlatformStore(
            platform.objects,
            platform.timeout_ms,
            self.outage,
            store_era.StoreEra(clock),
        )
        """The platform's store."""
        me = pb.Member(
            name=cfg.name,
            incarnation=clock.wall_time(),
            failure_domain=cfg.failure_domain,
            region=cfg.region,
            state=members_.ALIVE,
        )
        self.members = members_.Members(
            me,
            clock_.StallTolerantClock(
                clock,
                max(_MIN_CLOCK_GAP_MS, _MAX_CLOCK_GAP_BEACONS * cfg.beacon_ms),
            ),
            _MAX_MISSED_BEACONS * cfg.beacon_ms,
            groups_.FULL_MESH_LIMIT,
        )
        """All routers, including this one."""
        self.upstream_table = upstreams_.UpstreamTable(
            clock, bounds.drain_ms, lapse_ms
        )
        """The upstreams."""
        self.config = config_feed.ConfigFeed(
            self.store,
            names.CONFIG_KIND,
            names.CONFIG_NAME,
            config_codec,
            checks,
        )
        """The configuration in force."""
        self.fleet_clock = fleet_clock.FleetClock(clock)
        """Time of day, as the median of the fleet's clocks."""
        self.watchers = watchers_.Watchers(self.members)
        """Chooses the routers that watch the store."""
        self.rollout_orders = rollout_orders.RolloutOrders(self.store)
        """The operators' orders of roll-outs."""
        self._has_rollouts = bounds.expose_share > 0
        self._upstreams = upstream_feed.UpstreamFeed(
            self.upstream_table, upstream_codec.read_upstream
        )
        for feed in (self.config, self.rollout_orders, self._upstreams):
            feed.errors.on_error = on_error
        self._registry = registry_.Registry(self.store, self.members)
        self._watches: list[kind_watch.KindWatch] = []
        self._upstream_watch: ty.Optional[kind_watch.KindWatch] = None
        self.current_upstreams = current_view.CurrentView(
            clock, self._read_upstream_changes
        )
        """Proves that all upstreams in the store are known."""
        self._is_registered = False
        self._probed_at = -_SHARED_PROBE_MS
        self._created_at = clock.now()
        self._spawn: ty.Callable[..., None] = lambda name, func: None
        self._supervise: ty.Callable[..., None] = lambda name, func: None
        self._rollout_watch: ty.Optional[kind_watch.KindWatch] = None
        self.needs_rollouts: ty.Callable[[], bool] = lambda: False
        """Returns whether this router needs the orders of roll-outs."""

    @property
    def has_config_and_upstreams(self) -> bool:
        """Whether the configuration and any upstreams are known."""
        return bool(self.config.routes.version and self.upstream_table.all())

    @property
    def is_first_run(self) -> bool:
        """Whether no earlier run of this router was registered."""
        return self._registry.is_first_run

    @property
    def is_synced_with_store(self) -> bool:
        """Whether this router is registered and has listed every kind."""
        return self._is_registered and all(w.is_listed for w in self._watches)

    def start(
        self,
        tasks: green.Tasks,
        is_outage_suspected: ty.Callable[[], bool],
        on_change: ty.Callable[[], None],
    ) -> None:
        """Start to watch the store, and register this router there.

        Parameters
        ----------
        is_outage_suspected : callable
            Returns whether missing entries may be due to a store outage.
        on_change : callable
            Called after changes from the store were applied.
        """
        # The store may refuse exactly the routers chosen as watchers.
        self.watchers.is_outage_suspected = is_outage_suspected
        for kind, receiver in (
            (names.CONFIG_KIND, self.config),
            (config_feed.KIND, self.config),
            (names.UPSTREAM_KIND, self._upstreams),
        ):
            watch = kind_watch.KindWatch(
                self.store,
                kind,
                receiver,
                self._clock,
                is_outage_suspected,
                on_change,
                functools.partial(self._must_watch, kind),
                on_start=self._probe_beside_watch,
            )
            self._watches.append(watch)
            if kind == names.UPSTREAM_KIND:
                self._upstream_watch = watch
            tasks.supervise(f'watch_{kind}', watch.run)
        if self._has_rollouts:
            self._watch_rollouts(tasks)
        self._spawn, self._supervise = tasks.spawn, tasks.supervise
        # Changes during an outage are lost on connections that stay open: a
        # watch waiting on one of them would receive nothing for 25 s.
        self.outage.on_recovery = self._restart_watches
        self.store.era.on_return = self._on_return
        tasks.supervise('register', self._register)
        check = store_prober.StoreProber(
            self.store, self.outage, self.watchers.is_prober
        )
        tasks.run_every('check_store', _STORE_CHECK_MS, check.tick)

    def is_watching(self, part: str) -> bool:
        """Return whether this router watches a part of the state itself.

        Parameters
        ----------
        part : str
            ``config`` or ``upstreams``.
        """
        return all(map(self.watchers.should_watch, _KINDS_OF_PART[part]))

    def restart_outdated_watches(self, part: str) -> None:
        """Restart the watches that missed a change which a peer has.

        Watches of kinds that the change does not concern continue.

        Parameters
        ----------
        part : str
            ``config`` or ``upstreams``.
        """
        for watch in self._watches:
            if watch.kind in _KINDS_OF_PART[part]:
                watch.on_peer_ahead()

    def check_store(self) -> None:
        """Check whether the store answers this router, as it fails a peer.

        Calls that already wait for the store may neither fail nor be answered.
        """
        self._restart_watches()
        if any(
            self.watchers.should_watch(watch.kind) for watch in self._watches
        ):
            self._probe()

    def note_peer_era(self, era: int) -> None:
        """Call the store if it has named a later era to a peer.

        The era counts once the store itself names it to this router.
        """
        is_due = self._clock.now() - self._probed_at >= _STORE_CHECK_MS
        if era > self.store.era.number and is_due:
            self._probe()

    def tick(self) -> None:
        """Expire lapsed upstreams and remove the ones that are gone."""
        self._upstreams.tick()
        self.upstream_table.remove_gone()

    def _watch_rollouts(self, tasks: green.Tasks) -> None:
        """Watch the orders of roll-outs while they are needed here."""
        watch = kind_watch.KindWatch(
            self.store,
            names.ROLLOUT_KIND,
            self.rollout_orders,
            self._clock,
            should_watch=lambda: self.needs_rollouts(),
            is_lazy=True,
            on_start=self._probe_beside_watch,
        )
        self._rollout_watch = watch
        tasks.supervise(f'watch_{names.ROLLOUT_KIND}', watch.run)

    def _read_upstream_changes(self) -> bool:
        watch = self._upstream_watch
        return watch is not None and watch.read_changes(
            self.upstream_table.revision
        )

    def _probe_beside_watch(self) -> None:
        """Probe the store at the moment at which a watch is started.

        If the store receives neither, the failure of the probe reveals it.
        """
        if self._clock.now() - self._probed_at >= _SHARED_PROBE_MS:
            self._probe()

    def _probe(self) -> None:
        self._probed_at = self._clock.now()
        self._spawn('probe_store', self.store.probe)

    def _must_watch(self, kind: str) -> bool:
        """Return whether this router must watch a kind.

        A router that knows no peers yet does not watch: when a whole fleet
        starts, each router would otherwise conclude that the fleet is small.
        """
        is_waiting = (
            self._clock.now() - self._created_at < _UNREGISTERED_WAIT_MS
        )
        if is_waiting and not self._is_registered:
            return False
        return self.watchers.should_watch(kind)

    def _restart_watches(self) -> None:
        """Restart watches that may have missed changes in an outage."""
        for watch in self._all_watches():
            watch.on_outage()

    def _on_return(self) -> None:
        """Read everything again: the store has come back from a copy."""
        self.outage.record_return()
        for watch in self._all_watches():
            watch.on_return()
            if watch.kind == names.UPSTREAM_KIND:
                # By then upstreams that live have renewed their entries.
                green.call_after_ms(self._lapse_ms, watch.list_again)
        self._supervise('write_again', self._write_again)

    def _write_again(self) -> None:
        """Write again what the store has lost of this router's entries.

        The routers begin one after another, so that usually the first one
        alone writes the product document.
        """
        green.sleep_ms(self._random.uniform(0, _WRITE_AGAIN_SPREAD_MS))
        if self._is_registered:
            self._register()
        if self.watchers.should_watch(config_feed.KIND):
            while not self.config.restore_product():
                green.sleep_ms(_REGISTER_RETRY_MS)

    def _all_watches(self) -> list[kind_watch.KindWatch]:
        if self._rollout_watch is None:
            return self._watches
        return [*self._watches, self._rollout_watch]

    def _register(self) -> None:
        while not self._registry.register():
            green.sleep_ms(_REGISTER_RETRY_MS)
        self._is_registered = True
