"""Schedules of faults, and their injection into an embedded fleet."""

from __future__ import annotations

import collections
import enum
import itertools
import random
import typing as ty

from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import link_proxy
from peridotmast.embedded import links as links_
from peridotmast.embedded import shape as shape_
from peridotmast.embedded import upstream_instance
from peridotmast import failures
from peridotmast import green
from peridotmast.load import oracle as oracle_
from peridotmast.load import rollout_fault
from peridotmast.load import unreadable_values
from peridotmast.platform import names
from peridotmast.platform import upstream_codec
from peridotmast import rpc
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.schema import peridotmast_pb2_grpc as pb_grpc


class FaultKind(enum.Enum):
    """Kinds of faults that can be injected."""

    RECLAIM_DOMAIN = 'reclaim_domain'
    RECLAIM_VM = 'reclaim_vm'
    KILL_VM = 'kill_vm'
    RESTART_VM = 'restart_vm'
    FOREIGN_ENTRY = 'foreign_entry'
    KILL_ROUTER = 'kill_router'
    DRAIN_ROUTER = 'drain_router'
    ROLL_ROUTERS = 'roll_routers'
    MUTE_CONNECTIONS = 'mute_connections'
    HANG_ENGINE = 'hang_engine'
    CUT_ANSWERS = 'cut_answers'
    LOSE_ANSWERS = 'lose_answers'
    PLATFORM_OUTAGE = 'platform_outage'
    PLATFORM_SLOW = 'platform_slow'
    LOST_REPLIES = 'lost_replies'
    CLOUD_OUTAGE = 'cloud_outage'
    OPERATOR_RACE = 'operator_race'
    FREEZE_ROUTER = 'freeze_router'
    KILL_ALL_ROUTERS = 'kill_all_routers'
    LINK_SLOW = 'link_slow'
    LINK_RESET = 'link_reset'
    LINK_ONE_WAY = 'link_one_way'
    LINK_SILENT = 'link_silent'
    HEALTH_SAYS_DOWN = 'health_says_down'
    HEALTH_SAYS_UP = 'health_says_up'
    FLAP_VM = 'flap_vm'
    CRASHING_REQUEST = 'crashing_request'
    LIMIT_VM = 'limit_vm'
    ROLL_OUT = 'roll_out'
    STORE_RETURN = 'store_return'
    ENDLESS_ANSWERS = 'endless_answers'
    RESUME_ERRORS = 'resume_errors'


PROCESS_FAULT_KINDS = tuple(FaultKind)
"""Kinds that can be injected if each router is a process."""
EMBEDDED_FAULT_KINDS = tuple(
    kind
    for kind in FaultKind
    if kind not in (FaultKind.FREEZE_ROUTER, FaultKind.KILL_ALL_ROUTERS)
)
"""Kinds that can be injected if all routers share one process."""

LINK_MODES = {FaultKind(f'link_{m.value}'): m for m in link_proxy.FaultMode}
"""Kinds that need link proxies. A fault's target, modulo 3, selects the
`LinkKind`."""
_ROLL_INTERVAL_MS = 500
"""Time between the signals to two routers that are stopped in series."""

_FLAP_RESTARTS = 3
"""Number of times that one fault stops an upstream; two stops could be
unrelated, three count as flapping."""

CRASH_PROMPT = 'crash the engine'
"""Prompt of requests that crash every engine that runs them."""
_CRASHING_REQUEST_SENDS = 24
"""Number of times that one fault sends the crashing request."""
_CRASHING_REQUEST_INTERVAL_MS = 200
"""Interval between these sends, and the deadline of each."""

_LIMIT_RATE = 0.2
"""Rate limit that an engine advertises, in requests per second."""
_LIMIT_DURATION_MS = 8000
"""Time for which the engine advertises the limit: longer than the time until
all routers must enforce it plus the window in which the oracle counts
requests."""

_ENDLESS_SHARE = 0.7
"""Share of the requests that upstreams answer without end."""
_ENDLESS_DURATION_MS = 3000
"""Time for which they do so: routers send them few requests once two have
failed."""

_STREAM_FAULTS = {
    'cut': 0.03,
    'error_in_stream': 0.01,
    'resume_404': 0.2,
    'resume_json': 0.2,
    'resume_empty': 0.3,
}
"""Faults of all engines while they answer requests to resume streams with
errors: shares of the events, and of these requests."""
_RESUME_ERRORS_DURATION_MS = 4000

_COPY_AGE_MS = 500, 6000
"""Shortest and longest age of the copy that the store returns from, when it
does, in ms."""

_NO_END = 1 << 62
"""End of a stop that is still in progress, in ms."""

_OPERATOR_TIMEOUT_MS = 5000
"""Time-out of one call by an operator."""

_DRAWN_APART = {
    FaultKind.STORE_RETURN: ('returns', 'r'),
    FaultKind.ENDLESS_ANSWERS: ('endless', 'e'),
    FaultKind.RESUME_ERRORS: ('resumes', 'u'),
}
"""Kinds that are drawn apart, so that they do not change the schedule of the
other kinds for a seed: the word in the seed of each, and the first letter of
its names."""

_WEIGHTS = {FaultKind.RECLAIM_DOMAIN: 2, FaultKind.RECLAIM_VM: 2}
"""Minimum number of faults of a kind in a schedule; 1 for all others."""


def draw(
    seconds: float,
    seed: int,
    share: float = 0.85,
    fault_kinds: ty.Sequence[FaultKind] = EMBEDDED_FAULT_KINDS,
) -> list[pb.Fault]:
    """Return a random schedule with at least one fault of each kind.

    Parameters
    ----------
    share : float
        Part of the run, from its start, in which faults begin; the rest is
        for recovery.
    fault_kinds : sequence of FaultKind
        Kinds to draw from.
    """
    rng = random.Random(f'faults|{seed}')
    others = [k for k in fault_kinds if k not in _DRAWN_APART]
    kinds = [kind for kind in others for _ in range(_WEIGHTS.get(kind, 1))]
    extra = rng.choices(others, k=int(seconds // 8))
    schedule = _draw_faults([*kinds, *extra], seconds * share, rng, 'f')
    for kind, (word, letter) in _DRAWN_APART.items():
        if kind in fault_kinds:
            rng = random.Random(f'{word}|{seed}')
            faults = [kind] * rng.choice((1, 2))
            schedule += _draw_faults(faults, seconds * share, rng, letter)
    return sorted(schedule, key=lambda fault: fault.at)


def _draw_faults(
    kinds: ty.Iterable[FaultKind],
    latest_s: float,
    rng: random.Random,
    prefix: str,
) -> list[pb.Fault]:
    return [
        pb.Fault(
            name=f'{prefix}{number}',
            kind=kind.value,
            at=round(rng.uniform(1.0, latest_s), 3),
            for_ms=rng.randint(600, 2000),
            target=rng.randrange(64),
        )
        for number, kind in enumerate(kinds)
    ]


class FaultDriver:
    """Injects faults and replaces the VMs and routers that they stop.

    All times are on the fleet's clock.

    Parameters
    ----------
    fleet : fleet.Fleet
        The fleet to inject faults into.
    replace_ms : int
        Time from the loss of a VM or router to its replacement.
    """

    def __init__(self, fleet: fleet_.Fleet, replace_ms: int) -> None:
        self._fleet = fleet
        self._replace_ms = replace_ms
        self._names = itertools.count(len(fleet.routers) + 1)
        self._tasks: list[ty.Any] = []
        self.counts: collections.Counter[str] = collections.Counter()
        """Number of injected faults by kind."""
        self.notice_times: dict[str, int] = {}
        """Time at which each upstream was given notice, in ms."""
        self.drain_spans: dict[str, oracle_.Span] = {}
        """Planned stop of each router by its chat address, in ms."""
        self._kill_times: dict[str, int] = {}
        self.thaw_times: list[int] = []
        """Times at which frozen routers resumed, in ms."""
        self._operators = rpc.RpcClient(pb_grpc.OperatorsStub)
        self.link_counts: collections.Counter[str] = collections.Counter()
        """Number of link faults by kind of fault and kind of link."""
        self.operator_conflicts = 0
        """Number of configuration changes that were rejected as conflicts."""
        self.crash_times: list[int] = []
        """Times of engine crashes caused by requests, in ms."""
        self.resume_times: list[int] = []
        """Times at which routers started or were thawed, in ms."""
        self.limited_engines: list[oracle_.LimitedEngine] = []
        """Engines that advertised rate limits, with the periods."""
        self.kill_all_times: list[int] = []
        """Times at which all routers were killed, in ms."""
        fleet.on_crash = self._replace_crashed
        self.rollouts = rollout_fault.RolloutFault(fleet)
        """Roll-outs of the engines."""

    def run(self, schedule: ty.Iterable[pb.Fault]) -> None:
        """Inject all faults, each at its time after the call."""
        began = self._fleet.clock.now()
        for fault in schedule:
            wait = began + fault.at * 1000 - self._fleet.clock.now()
            green.sleep_ms(max(0, wait))
            self._tasks.append(green.spawn(self.inject, fault))

    def wait(self) -> None:
        """Wait until all faults have ended and all losses are replaced."""
        for task in self._tasks:
            task.wait()

    def inject(self, fault: pb.Fault) -> None:
        """Inject one fault and wait until it has ended."""
        kind = FaultKind(fault.kind)
        self.counts[kind.value] += 1
        if kind in LINK_MODES:
            self._inject_link_fault(fault, LINK_MODES[kind])
        else:
            getattr(self, '_' + kind.value)(fault)

    def _inject_link_fault(
        self, fault: pb.Fault, mode: link_proxy.FaultMode
    ) -> None:
        kinds = list(links_.LinkKind)
        kind = kinds[fault.target % len(kinds)]
        self.link_counts[f'{fault.kind} {kind.value}'] += 1
        rng = random.Random(fault.target)
        trouble = link_proxy.LinkFault(
            mode,
            affects_requests=rng.random() < 0.5,
            share=rng.choice((0.4, 1.0)),
            affects_new=rng.random() < 0.5,
        )
        self._fleet.links.inject_fault(kind, trouble, fault.for_ms, rng)

    def _reclaim_domain(self, fault: pb.Fault) -> None:
        domains = self._fleet.domains
        domain = domains[fault.target % len(domains)]
        engines = self._fleet.running_upstreams(shape_.ENGINE_SERVICE)
        self._reclaim(
            [g for g in engines if g.record.upstream.failure_domain == domain],
            fault.for_ms,
        )

    def _reclaim_vm(self, fault: pb.Fault) -> None:
        guest = self._pick_engine(fault.target)
        if guest is not None:
            self._reclaim([guest], fault.for_ms)

    def _reclaim(
        self, guests: list[upstream_instance.UpstreamInstance], notice_ms: int
    ) -> None:
        now = self._fleet.clock.now()
        for guest in guests:
            self.notice_times[guest.name] = now
            guest.upstream.app.leaves_at = now + notice_ms
            self._fleet.announce_leaving(guest)
            green.spawn_after_ms(notice_ms, self._fleet.kill_upstream, guest)
        self._replace(guests)

    def _kill_vm(self, fault: pb.Fault) -> None:
        guest = self._pick_engine(fault.target)
        if guest is not None:
            # No notice is given: the store entry stays until it expires.
            self._fleet.kill_upstream(guest, keep_entry=True)
            self._replace([guest])
            self._fleet.remove_entry(guest)

    def _restart_vm(self, fault: pb.Fault) -> None:
        guest = self._pick_engine(fault.target)
        if guest is not None:
            self._fleet.restart_upstream(guest)

    def _flap_vm(self, fault: pb.Fault) -> None:
        guest = self._pick_engine(fault.target)
        pause_ms = fault.for_ms / (2 * _FLAP_RESTARTS)
        for _ in range(_FLAP_RESTARTS):
            if guest is None or not _is_live(guest):
                # Another fault has stopped it or given it notice, and
                # replaces it.
                return
            self._fleet.kill_upstream(guest, keep_entry=True)
            green.sleep_ms(pause_ms)
            guest = self._fleet.restart_upstream(guest)
            green.sleep_ms(pause_ms)

    def _foreign_entry(self, fault: pb.Fault) -> None:
        """Write an entry of another system among those of the upstreams."""
        rng = random.Random(fault.target)
        name = f'foreign-{fault.name}'
        foreign = upstream_codec.foreign_entries(shape_.ENGINE_SERVICE)
        values = unreadable_values.make_values(self._fleet.store, rng)
        spec = rng.choice([*foreign, *values])
        self._fleet.store.put(names.UPSTREAM_KIND, name, spec)
        green.sleep_ms(fault.for_ms)
        self._fleet.store.delete(names.UPSTREAM_KIND, name)

    def _crashing_request(self, fault: pb.Fault) -> None:
        """Send one request repeatedly, each time with a new request id."""
        caller = self._fleet.caller('kalnins', fault.target)
        for _ in range(_CRASHING_REQUEST_SENDS):
            green.spawn(
                caller.chat,
                oracle_.MODEL,
                CRASH_PROMPT,
                max_tokens=20,
                idempotent=False,
                deadline_ms=_CRASHING_REQUEST_INTERVAL_MS,
            )
            green.sleep_ms(_CRASHING_REQUEST_INTERVAL_MS)

    def _limit_vm(self, fault: pb.Fault) -> None:
        """Let an engine advertise a rate limit in its responses."""
        guest = self._pick_engine(fault.target)
        if guest is not None and not guest.upstream.app.limit:
            began = self._fleet.clock.now()
            guest.upstream.app.limit = str(_LIMIT_RATE)
            green.sleep_ms(_LIMIT_DURATION_MS)
            guest.upstream.app.limit = ''
            span = began, self._fleet.clock.now()
            self.limited_engines.append(
                oracle_.LimitedEngine(guest, _LIMIT_RATE, span)
            )

    def _roll_out(self, fault: pb.Fault) -> None:
        """Roll the engines out to a good version, or to a bad one."""
        self.rollouts.run(is_bad=bool(fault.target % 2))

    def _replace_crashed(
        self, guest: upstream_instance.UpstreamInstance
    ) -> None:
        """Stop an engine that a request has crashed, and replace it."""
        if not guest.ended_ms:
            self.crash_times.append(self._fleet.clock.now())
            self._fleet.kill_upstream(guest, keep_entry=True)
            self._replace([guest])
            self._fleet.remove_entry(guest)

    def _mute_connections(self, fault: pb.Fault) -> None:
        guest = self._pick_engine(fault.target)
        if guest is not None:
            guest.upstream.stall_streams()

    def _hang_engine(self, fault: pb.Fault) -> None:
        self._set_engine_faults(fault, hang=0.7)

    def _cut_answers(self, fault: pb.Fault) -> None:
        self._set_engine_faults(fault, cut=0.05)

    def _lose_answers(self, fault: pb.Fault) -> None:
        self._set_engine_faults(fault, lose=0.5)

    def _endless_answers(self, fault: pb.Fault) -> None:
        """Let an engine and a plain service answer without end."""
        plain = self._fleet.running_upstreams(shape_.PLAIN_SERVICE)
        guests = [plain[fault.target % len(plain)]]
        engine = self._pick_engine(fault.target)
        if engine is not None:
            guests.append(engine)
        for guest in guests:
            guest.upstream.app.faults = {'endless': _ENDLESS_SHARE}
        green.sleep_ms(_ENDLESS_DURATION_MS)
        for guest in guests:
            guest.upstream.app.faults = {}

    def _resume_errors(self, fault: pb.Fault) -> None:
        """Let streams break off, and requests to resume them get errors."""
        engines = self._fleet.running_upstreams(shape_.ENGINE_SERVICE)
        apps = [guest.upstream.app for guest in engines]
        if not apps or any(app.stream_faults for app in apps):
            return
        ended_early: set[str] = set()
        for app in apps:
            app.stream_faults = dict(_STREAM_FAULTS)
            app.ended_early = ended_early
        green.sleep_ms(_RESUME_ERRORS_DURATION_MS)
        for app in apps:
            app.stream_faults = {}

    def _health_says_up(self, fault: pb.Fault) -> None:
        self._set_engine_faults(fault, error=0.7)

    def _health_says_down(self, fault: pb.Fault) -> None:
        """Let an engine report that it is draining while it goes on."""
        guest = self._pick_engine(fault.target)
        if guest is not None:
            guest.upstream.app.draining = True
            green.sleep_ms(fault.for_ms)
            guest.upstream.app.draining = not _is_live(guest)

    def _set_engine_faults(self, fault: pb.Fault, **faults: float) -> None:
        guest = self._pick_engine(fault.target)
        if guest is not None:
            guest.upstream.app.faults = faults
            green.sleep_ms(fault.for_ms)
            guest.upstream.app.faults = {}

    def _pick_engine(
        self, target: int
    ) -> ty.Optional[upstream_instance.UpstreamInstance]:
        live = [
            guest
            for guest in self._fleet.running_upstreams(shape_.ENGINE_SERVICE)
            if _is_live(guest)
        ]
        return live[target % len(live)] if len(live) > 1 else None

    def _replace(
        self, guests: ty.Iterable[upstream_instance.UpstreamInstance]
    ) -> None:
        green.sleep_ms(self._replace_ms)
        for guest in guests:
            self._fleet.add_engine(guest.record.upstream.failure_domain)

    def _kill_router(self, fault: pb.Fault) -> None:
        router = self._pick_router(fault.target)
        if router is not None:
            router.stop()
            self._replace_router(router.cfg.failure_domain)

    def _drain_router(self, fault: pb.Fault) -> None:
        router = self._pick_router(fault.target)
        if router is not None:
            self._drain_and_replace(router)

    def _roll_routers(self, fault: pb.Fault) -> None:
        """Drain and replace routers in series, until two of them are left."""
        tasks = []
        for _ in self._fleet.running_routers()[1:]:
            router = self._pick_router(fault.target)
            if router is not None:
                tasks.append(green.spawn(self._drain_and_replace, router))
                green.sleep_ms(_ROLL_INTERVAL_MS)
        for task in tasks:
            task.wait()

    def _drain_and_replace(self, router: ty.Any) -> None:
        self._drain(router)
        self._replace_router(router.cfg.failure_domain)

    def _drain(self, router: ty.Any) -> None:
        """Stop a router as planned, and record the period of its stop."""
        began = self._fleet.clock.now()
        self.drain_spans[router.chat_address] = began, _NO_END
        router.drain()
        router.stop()
        ended: int = self._fleet.clock.now()
        killed = self._kill_times.get(router.chat_address, 0)
        if killed >= began:
            # Connections that the kill closed were not cut by the stop.
            ended = killed - 1 - oracle_.DISCONNECT_WINDOW_MS
        self.drain_spans[router.chat_address] = began, ended

    def _freeze_router(self, fault: pb.Fault) -> None:
        router = self._pick_router(fault.target)
        if router is not None:
            router.freeze()
            green.sleep_ms(fault.for_ms)
            router.thaw()
            self.thaw_times.append(self._fleet.clock.now())
            self.resume_times.append(self.thaw_times[-1])

    def _kill_all_routers(self, fault: pb.Fault) -> None:
        killed = self._fleet.running_routers()
        self.kill_all_times.append(self._fleet.clock.now())
        for router in killed:
            self._kill_times[router.chat_address] = self._fleet.clock.now()
            router.stop()
        green.sleep_ms(self._replace_ms)
        for router in killed:
            self._fleet.restart_router(router)
            self.resume_times.append(self._fleet.clock.now())

    def _pick_router(self, target: int) -> ty.Any:
        live = [
            router
            for router in self._fleet.running_routers()
            if router.chat_address not in self.drain_spans
        ]
        return live[target % len(live)] if len(live) > 2 else None

    def _replace_router(self, domain: str) -> None:
        green.sleep_ms(self._replace_ms)
        self._fleet.add_router(
            f'router-{next(self._names)}', failure_domain=domain
        )
        self.resume_times.append(self._fleet.clock.now())

    def _platform_outage(self, fault: pb.Fault) -> None:
        self._set_store_faults(fault, outage=1.0)

    def _platform_slow(self, fault: pb.Fault) -> None:
        self._set_store_faults(fault, slow_ms=400)

    def _lost_replies(self, fault: pb.Fault) -> None:
        self._set_store_faults(fault, lose_reply=0.5)

    def _store_return(self, fault: pb.Fault) -> None:
        """Let the store be away, and return from a copy some seconds old."""
        rng = random.Random(fault.target)
        age_ms = rng.randint(*_COPY_AGE_MS)
        self._set_store_faults(fault, outage=1.0)
        self._fleet.store.come_back(age_ms)

    def _set_store_faults(self, fault: pb.Fault, **faults: float) -> None:
        self._fleet.store.app.set_faults(fault.for_ms, **faults)
        green.sleep_ms(fault.for_ms)

    def _cloud_outage(self, fault: pb.Fault) -> None:
        self._fleet.cloud.app.set_faults(fault.for_ms, outage=1.0)
        green.sleep_ms(fault.for_ms)

    def _operator_race(self, fault: pb.Fault) -> None:
        """Apply two configurations with the same base version at once.

        One of the two calls must return a conflict.
        """
        live = self._fleet.running_routers()
        if not live:
            return
        addresses = live[0].peer_address, live[-1].peer_address
        status = self._call_operators(
            addresses[0], 'ConfigStatus', pb.ConfigStatusRequest()
        )
        if isinstance(status, failures.Failure):
            return
        tasks = [
            green.spawn(
                self._call_operators,
                address,
                'ConfigApply',
                pb.ConfigApplyRequest(
                    document=f'{self._fleet.shape.document}\n# by {number}\n',
                    base_version=status.document_version,
                    comment=fault.name,
                ),
            )
            for number, address in enumerate(addresses)
        ]
        replies = [task.wait() for task in tasks]
        self.operator_conflicts += sum(
            not isinstance(reply, failures.Failure) and reply.conflict
            for reply in replies
        )

    def _call_operators(
        self, address: str, method: str, request: ty.Any
    ) -> ty.Any:
        return self._operators.call(
            address, method, request, _OPERATOR_TIMEOUT_MS
        )


def _is_live(guest: upstream_instance.UpstreamInstance) -> bool:
    """Return whether an upstream runs and has not been given notice."""
    return not guest.ended_ms and (
        guest.record.state == pb.UPSTREAM_STATE_LIVE
    )
