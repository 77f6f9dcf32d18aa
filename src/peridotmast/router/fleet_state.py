"""What one router knows of platform and fleet, and how it stays up to date."""

from __future__ import annotations

import functools
import typing as ty

from peridotmast import clock as clock_
from peridotmast.coordination import config_feed
from peridotmast.coordination import fleet_clock
from peridotmast.coordination import groups as groups_
from peridotmast.coordination import kind_watch
from peridotmast.coordination import members as members_
from peridotmast.coordination import outage as outage_
from peridotmast.coordination import registry as registry_
from peridotmast.coordination import store_prober
from peridotmast.coordination import upstream_feed
from peridotmast.coordination import watchers as watchers_
from peridotmast import green
from peridotmast import invariants as invariants_
from peridotmast.platform import config_codec
from peridotmast.platform import names
from peridotmast.platform import store as store_
from peridotmast.platform import upstream_codec
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import upstreams as upstreams_

_KINDS = {
    'config': (names.CONFIG_KIND, config_feed.KIND),
    'upstreams': (names.UPSTREAM_KIND,),
}
"""Kinds of objects that what routers know is made from."""

_SILENT_BEACONS = 5
"""Beacons missed after which callers are not sent to a peer any more: a few
may be lost in a row, and a dead one costs a caller a connection."""

_LATE_BEACONS = 2
"""Beacons' time within which a router that runs reads its clock. What goes
beyond that it stood still for; then the last beacons that it has read may be
three old, and the ones after them come before they count as missed."""

_LATE_MS = 500
"""The same where beacons are more frequent than the 250 ms at which a router
looks at its peers in any case: twice that."""

_REGISTER_MS = 1000

_ALONE_MS = 1500
"""Time after which a router that could not enter the store goes by whom it
hears, and watches for itself where that is nobody."""

_CHECK_MS = 500
"""Time between two looks at a store that has failed: it is asked where nothing
has asked it since the last look, so half a second to a second after the call
that failed. With the 2 s in which entries come back, a doubt ends in the 3 s
in which an upstream that leaves may still get work."""


class FleetState:
    """The platform's store, and what is known from it.

    Parameters
    ----------
    file : pb.RouterFile
        Checked settings.
    clock : clock.Clock
        Times everything.
    checks : invariants.Invariants
        Promises that are checked on the way.
    """

    def __init__(
        self,
        file: pb.RouterFile,
        clock: clock_.Clock,
        checks: invariants_.Invariants,
    ) -> None:
        cfg, platform, bounds = file.router, file.platform, file.bounds
        lapse_ms = int(bounds.lapse_s * 1000)
        self._clock = clock
        self.outage = outage_.OutageTracker(clock, lapse_ms)
        """Whether the store answers."""
        self.store = store_.PlatformStore(
            platform.objects, platform.timeout_ms, self.outage
        )
        """The platform's store."""
        me = pb.Member(
            name=cfg.name,
            incarnation=clock.wall(),
            failure_domain=cfg.failure_domain,
            region=cfg.region,
            state=members_.ALIVE,
        )
        self.members = members_.Members(
            me,
            clock_.StallTolerantClock(
                clock, max(_LATE_MS, _LATE_BEACONS * cfg.beacon_ms)
            ),
            _SILENT_BEACONS * cfg.beacon_ms,
            groups_.FULL_MESH_LIMIT,
        )
        """The routers, this one too."""
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
        """True time, as far as the fleet can tell."""
        self.watchers = watchers_.Watchers(self.members)
        """Which routers watch the store."""
        self._upstreams = upstream_feed.UpstreamFeed(
            self.upstream_table, upstream_codec.read_upstream
        )
        self._registry = registry_.Registry(self.store, self.members)
        self._watches: list[kind_watch.KindWatch] = []
        self._is_entered = False
        self._began = clock.now()
        self._spawn: ty.Callable[..., None] = lambda name, func: None

    @property
    def has_config_and_upstreams(self) -> bool:
        """Whether it is known what to do with callers."""
        return bool(self.config.routes.version and self.upstream_table.all())

    @property
    def is_synced_with_store(self) -> bool:
        """Whether the store has told of platform and fleet, all of it."""
        return self._is_entered and all(w.is_listed for w in self._watches)

    def start(
        self,
        tasks: green.Tasks,
        is_outage_felt: ty.Callable[[], bool],
        tell: ty.Callable[[], None],
    ) -> None:
        """Begin to follow the store, and enter this router there.

        Parameters
        ----------
        is_outage_felt : callable
            Says whether what is missing may be missing due to an outage.
        tell : callable
            Called once news was taken in.
        """
        # Those that watch may be just the ones that the store turns away.
        self.watchers.is_outage_suspected = is_outage_felt
        for kind, follower in (
            (names.CONFIG_KIND, self.config),
            (config_feed.KIND, self.config),
            (names.UPSTREAM_KIND, self._upstreams),
        ):
            watch = kind_watch.KindWatch(
                self.store,
                kind,
                follower,
                self._clock,
                is_outage_felt,
                tell,
                functools.partial(self._is_due, kind),
            )
            self._watches.append(watch)
            tasks.spawn(f'watch_{kind}', watch.run)
        self._spawn = tasks.spawn
        # What the store had to say meanwhile is lost on connections that may
        # live on: a watch that waits there hears nothing for 25 s.
        self.outage.on_recovery = self._watch_anew
        tasks.spawn('register', self._register)
        check = store_prober.StoreProber(self.store, self.outage)
        tasks.every('check_store', _CHECK_MS, check.tick)

    def is_watching(self, what: str) -> bool:
        """Return whether this router hears of `what` from the store itself.

        Parameters
        ----------
        what : str
            ``config`` or ``upstreams``.
        """
        return all(map(self.watchers.should_watch, _KINDS[what]))

    def refresh(self, what: str) -> None:
        """Ask the store anew: a peer had news that no watch has brought.

        Watches of other kinds go on: it was not theirs to bring.

        Parameters
        ----------
        what : str
            ``config`` or ``upstreams``.
        """
        for watch in self._watches:
            if watch.kind in _KINDS[what]:
                watch.on_peer_ahead()

    def check_store(self) -> None:
        """Find out whether the store answers here: a peer gets no answer.

        Nothing that waits here need ever fail, or be answered.
        """
        self._watch_anew()
        if any(
            self.watchers.should_watch(watch.kind) for watch in self._watches
        ):
            self._spawn('probe_store', self.store.probe)

    def tick(self) -> None:
        """Give up and forget the upstreams whose time is over."""
        self._upstreams.tick()
        self.upstream_table.remove_gone()

    def _is_due(self, kind: str) -> bool:
        """Return whether this router is to watch a kind.

        Not before it knows of the others: in a fleet that starts as a whole
        each would take itself for one of few.
        """
        waits = self._clock.now() - self._began < _ALONE_MS
        if waits and not self._is_entered:
            return False
        return self.watchers.should_watch(kind)

    def _watch_anew(self) -> None:
        """Ask for what may have waited through an outage of the store."""
        for watch in self._watches:
            watch.on_outage()

    def _register(self) -> None:
        while not self._registry.register():
            green.sleep_ms(_REGISTER_MS)
        self._is_entered = True
