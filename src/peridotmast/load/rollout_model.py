"""Simulated roll-outs: the real decisions in a model of fleet and platform."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
import types
import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast.load import rollout_result
from peridotmast.load import rollout_scenario as scenario_
from peridotmast.rollout import rollout_duty
from peridotmast.rollout import rollout_inputs
from peridotmast.rollout import rollout_run
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import version_gate

Badness = scenario_.Badness
Trouble = scenario_.Trouble
Result = rollout_result.Result
SHARE, SLACK = rollout_result.SHARE, rollout_result.SLACK

SERVICE = 'pool'

_TICK_MS = 250
_DELAY_MS = (5, 60)
_LOSS = 0.02
_LEASE_MS = 4000
_TAKE_OVER_MS = (1500, 4000)
_FIRST_MS = 120.0
_GAP_MS = 30.0
_EVENTS = 8
_GREY_SHARE = 0.15
_GREY_FAILING = 0.45
_USUAL_RUNNING_MS = _FIRST_MS + _EVENTS * _GAP_MS


@dataclasses.dataclass(eq=False)
class _View:
    """The attributes of an upstream that the decisions read."""

    name: str
    version: str
    domain: int
    is_grey: bool
    service: str = SERVICE
    is_available: bool = True
    running: int = 0

    @property
    def failure_domain(self) -> str:
        """Failure domain of its VM."""
        return f'fd-{self.domain}'


class _Orders:
    """The stored order, which the platform may be unable to write."""

    def __init__(self, model: RolloutModel) -> None:
        self._model = model
        self.order: ty.Optional[pb.RolloutOrder] = None

    @property
    def orders(self) -> list[pb.RolloutOrder]:
        """The order, as it is stored."""
        return [self.order] if self.order else []

    def write_outcome(
        self, order: pb.RolloutOrder, outcome: pb.RolloutPhase
    ) -> ty.Optional[failures.Failure]:
        """Store an outcome, unless the store is down."""
        if self._model.is_store_down:
            return failures.unknown('silent')
        stored = self.order
        if stored is None or stored.revision != order.revision:
            return failures.conflict('changed')
        stored.revision += 1
        stored.outcome = outcome
        self._model.on_outcome(outcome)
        return None

    def read_again(self, service: str) -> ty.Optional[failures.Failure]:
        """Do nothing: the order is always current here."""
        return None


class _Router:
    """A router's part of the decisions."""

    def __init__(self, model: RolloutModel, name: str) -> None:
        self.run = name, 1
        self.gate = version_gate.VersionGate(model.clock, name, True)
        self.in_flight = 0
        self.is_cut = False
        self.is_alive = True
        self.duty = rollout_duty.RolloutDuty(
            model.orders,
            ty.cast(ty.Any, types.SimpleNamespace(all=model.live_views)),
            self.gate,
            rollout_inputs.RolloutLimits(SHARE, SLACK, model.shift_ms),
            model.clock,
            model.clock.now,
            lambda: model.holder is self and model.is_lease_valid(),
            model.live_runs,
            lambda run, states: model.send(self, run, states),
            lambda name, func, *args: func(*args),
        )


class RolloutModel:
    """One simulated roll-out, in virtual time.

    Parameters
    ----------
    scenario : scenario_.Scenario
        What happens.
    shift_ms : int
        Time from the begin of a shift to the time limit, in ms.
    is_swapped : bool
        Whether each outcome is recorded for the other version: a deliberate
        fault, which the checks of the results must find.
    """

    def __init__(
        self,
        scenario: scenario_.Scenario,
        shift_ms: int = rollout_inputs.RolloutLimits(SHARE, SLACK).shift_ms,
        is_swapped: bool = False,
    ) -> None:
        self.clock = clock_.ManualClock()
        self.shift_ms = shift_ms
        self._scenario = scenario
        self._is_swapped = is_swapped
        self._rng = random.Random(scenario.seed)
        self._order = itertools.count()
        self._queue: list[tuple[int, int, ty.Callable[[], None]]] = []
        self.is_store_down = False
        self.orders = _Orders(self)
        self._views = [
            self._make_view(f'{version}-{n}', n, version)
            for version in ('v1', scenario_.TARGET)
            for n in range(scenario_.UPSTREAMS)
        ]
        self._routers = [
            _Router(self, f'r-{n}') for n in range(scenario_.ROUTERS)
        ]
        self.holder: ty.Optional[_Router] = self._routers[0]
        self._renewed_at = self.clock.now()
        self._saved = pb.DutiesLeft()
        self._saved_version = -1
        self._fencing = 1
        self._start = self.clock.now()
        self.result = Result(scenario)

    def run(self) -> Result:
        """Simulate the roll-out until some seconds after its time limit."""
        scenario = self._scenario
        end_ms = scenario.duration_ms + 4000
        self.holder_begins()
        self.orders.order = pb.RolloutOrder(
            service=SERVICE,
            target=scenario_.TARGET,
            duration_ms=scenario.duration_ms,
            revision=7,
        )
        self._schedule_arrival()
        self._after(scenario.trouble_at_ms, self._begin_trouble)
        for at in range(0, end_ms, _TICK_MS):
            self._after(at, self._tick)
        while self._queue and self._queue[0][0] <= self._start + end_ms:
            at, _, act = heapq.heappop(self._queue)
            self.clock.advance(max(0, at - self.clock.now()))
            act()
        return self.result

    def live_views(self) -> list[_View]:
        """Return the upstreams that are up."""
        elapsed = self.clock.now() - self._start
        return [
            view
            for view in self._views
            if (view.version == 'v1') or elapsed >= self._scenario.boot_ms
        ]

    def live_runs(self) -> list[rollout_run.RouterRun]:
        """Return the routers that the holder considers alive."""
        return [r.run for r in self._routers if r.is_alive and not r.is_cut]

    def is_lease_valid(self) -> bool:
        """Return whether the lease has not expired."""
        return self.clock.now() - self._renewed_at < _LEASE_MS

    def send(
        self,
        sender: _Router,
        run: rollout_run.RouterRun,
        states: list[pb.RolloutState],
    ) -> None:
        """Deliver the holder's states to a router, unless they are lost."""
        router = next(r for r in self._routers if r.run == run)

        def receive() -> None:
            for state in states:
                router.gate.receive(state)

        self._deliver(sender, router, receive)

    def on_outcome(self, outcome: pb.RolloutPhase) -> None:
        """Record an outcome that is stored."""
        if outcome != pb.ROLLOUT_PHASE_TRIAL:
            name = pb.RolloutPhase.Name(outcome).removeprefix('ROLLOUT_PHASE_')
            self.result.outcome = name.lower()
            self.result.ended_ms = self._elapsed()

    def holder_begins(self) -> None:
        """Let the holder take over the duties."""
        if self.holder is not None:
            self._renewed_at = self.clock.now()
            self.holder.duty.start(self._saved)
            self.holder.duty.run(self._fencing)

    def _tick(self) -> None:
        self._renew()
        for router in self._routers:
            if not router.is_alive:
                continue
            router.gate.tick()
            if self.holder is not None:
                self._report(router, self.holder)
        if self.holder is not None:
            self.holder.duty.tick()
            run = self.holder.duty.show(SERVICE)
            if run is not None:
                strongest = run.verdict.strongest
                evidence = strongest.log_evidence if strongest else 0.0
                self.result.curve.append(
                    (self._elapsed(), self.result.exposed, evidence)
                )

    def _report(self, router: _Router, holder: _Router) -> None:
        """Send what a router has seen to the holder."""
        reports = router.gate.reports(lambda service, t: router.in_flight)

        def receive() -> None:
            for report in reports:
                holder.duty.receive(router.run, report)

        self._deliver(router, holder, receive)

    def _renew(self) -> None:
        """Renew the lease, and save the state of the duty with it."""
        if self.holder is None or self.is_store_down or self.holder.is_cut:
            return
        self._renewed_at = self.clock.now()
        duty = self.holder.duty
        if duty.state_version != self._saved_version:
            self._saved_version = duty.state_version
            self._saved = pb.DutiesLeft(at_ms=self.clock.now())
            duty.save(self._saved)
            duty.on_saved()

    def _schedule_arrival(self) -> None:
        rate = self._scenario.rate
        if self._is_troubled(Trouble.BURST):
            rate *= 3
        self._after(int(self._rng.expovariate(rate) * 1000), self._arrive)

    def _arrive(self) -> None:
        """Place one request, as a router's placement does."""
        self._schedule_arrival()
        router = self._rng.choice([r for r in self._routers if r.is_alive])
        [route] = self._rng.choices(
            list(scenario_.ROUTES), list(scenario_.ROUTES.values())
        )
        view = self._place(router, route)
        router.gate.note_placed(ty.cast(ty.Any, view), True)
        is_target = view.version == scenario_.TARGET
        self._count(is_target)
        view.running += 1
        router.in_flight += not is_target
        failed, first_ms, gap_ms = self._draw_answer(view, route)
        sent_at = self.clock.now()
        observed = self._observed(view)

        def first() -> None:
            router.gate.note_first(
                route, ty.cast(ty.Any, observed), sent_at, first_ms, 0
            )

        def end() -> None:
            view.running -= 1
            router.in_flight -= not is_target
            router.gate.note_end(
                route, ty.cast(ty.Any, observed), sent_at, failed
            )
            if not failed:
                router.gate.note_gap(
                    route, ty.cast(ty.Any, observed), sent_at, gap_ms
                )

        if failed:
            self._after(int(first_ms), end)
        else:
            self._after(int(first_ms), first)
            self._after(int(first_ms + _EVENTS * gap_ms), end)
        self._count_bad(view, failed, first_ms, gap_ms)

    def _place(self, router: _Router, route: str) -> _View:
        live = self.live_views()
        names = router.gate.trial_upstreams(SERVICE, route)
        trial = [view for view in live if view.name in names]
        if trial:
            return min(trial, key=lambda view: view.running)
        versions = {view.version: int(view.version[1:]) for view in live}
        used = router.gate.select(SERVICE, versions)
        found = [view for view in live if view.version in used]
        return min(self._rng.sample(found, 2), key=lambda view: view.running)

    def _draw_answer(
        self, view: _View, route: str
    ) -> tuple[bool, float, float]:
        """Return whether a request fails, and its times in ms."""
        scenario = self._scenario
        failing, factor = 0.004, 1.0
        if self._is_troubled(Trouble.BURST):
            factor *= 2.5
            failing += 0.03
        if self._is_troubled(Trouble.GREY) and view.is_grey:
            failing += _GREY_FAILING
        if self._is_troubled(Trouble.DOMAIN_SLOW) and view.domain == 0:
            factor *= 4
        if self._is_bad(view, route):
            failing += scenario.failing
            if self._rng.random() < scenario.slowing:
                factor *= scenario.slow_factor
        noise = self._rng.lognormvariate(0, 0.5)
        return (
            self._rng.random() < failing,
            max(1.0, _FIRST_MS * factor * noise),
            max(1.0, _GAP_MS * factor * self._rng.lognormvariate(0, 0.25)),
        )

    def _is_bad(self, view: _View, route: str) -> bool:
        """Return whether the target is bad for a request now."""
        scenario = self._scenario
        if view.version == 'v1' or scenario.badness is Badness.GOOD:
            return False
        if self._elapsed() < scenario.bad_from_ms:
            return False
        if scenario.badness is Badness.ONE_ROUTE:
            return route == scenario_.BAD_ROUTE
        if scenario.badness is Badness.UNDER_LOAD:
            usual = scenario.rate * _USUAL_RUNNING_MS / 1000
            return view.running > 0.5 * usual / scenario_.UPSTREAMS
        return True

    def _observed(self, view: _View) -> _View:
        """Return the upstream that an outcome is recorded for."""
        if not self._is_swapped:
            return view
        other = 'v1' if view.version == scenario_.TARGET else scenario_.TARGET
        return self._make_view(view.name, view.domain, other)

    def _begin_trouble(self) -> None:
        scenario = self._scenario
        if scenario.trouble is Trouble.HOLDER_LOST and self.holder:
            self.holder.is_alive = False
            self.holder = None
            self._after(self._rng.randint(*_TAKE_OVER_MS), self._take_over)
        elif scenario.trouble is Trouble.CUT:
            cut = self._rng.choice(self._routers)
            cut.is_cut = True
            if cut is self.holder:
                self._after(self._rng.randint(*_TAKE_OVER_MS), self._take_over)
            self._after(
                scenario.trouble_ms, lambda: setattr(cut, 'is_cut', False)
            )
        elif scenario.trouble is Trouble.STORE_DOWN:
            self.is_store_down = True
            self._after(
                scenario.trouble_ms,
                lambda: setattr(self, 'is_store_down', False),
            )

    def _take_over(self) -> None:
        """Make another router the holder."""
        candidates = [r for r in self._routers if r.is_alive and not r.is_cut]
        self.holder = candidates[0]
        self._fencing += 1
        self.holder_begins()

    def _deliver(
        self, sender: _Router, receiver: _Router, act: ty.Callable[[], ty.Any]
    ) -> None:
        """Deliver a message after a delay, unless it is lost."""
        if sender is receiver:
            act()
            return
        is_cut = sender.is_cut or receiver.is_cut
        if is_cut or self._rng.random() < _LOSS:
            return

        def arrive() -> None:
            if receiver.is_alive and not receiver.is_cut:
                act()

        self._after(self._rng.randint(*_DELAY_MS), arrive)

    def _is_troubled(self, trouble: Trouble) -> bool:
        scenario = self._scenario
        since = self._elapsed() - scenario.trouble_at_ms
        is_now = 0 <= since < scenario.trouble_ms
        return scenario.trouble is trouble and is_now

    def _count(self, is_target: bool) -> None:
        elapsed = self._elapsed()
        result = self.result
        if elapsed <= self._scenario.duration_ms:
            result.requests += 1
            result.exposed += is_target
        if is_target:
            result.last_exposed_ms = elapsed
        run = self.holder.duty.show(SERVICE) if self.holder else None
        is_shifted = run is not None and run.phase in (
            pb.ROLLOUT_PHASE_SHIFT,
            pb.ROLLOUT_PHASE_COMMIT,
        )
        if is_shifted and not result.shifted_ms:
            result.shifted_ms = elapsed

    def _count_bad(
        self, view: _View, failed: bool, first_ms: float, gap_ms: float
    ) -> None:
        """Count an answer of the target that is bad, at its end."""
        if view.version == 'v1' or self._scenario.badness is Badness.GOOD:
            return
        is_slow = first_ms > 3 * _FIRST_MS or gap_ms > 3 * _GAP_MS
        if not failed and not is_slow:
            return

        def count() -> None:
            self.result.bad_answers += 1
            if self.result.bad_answers == 50:
                self.result.fiftieth_bad_ms = self._elapsed()

        self._after(int(first_ms), count)

    def _make_view(self, name: str, number: int, version: str) -> _View:
        is_grey = self._rng.random() < _GREY_SHARE
        return _View(name, version, number % scenario_.DOMAINS, is_grey)

    def _elapsed(self) -> int:
        return self.clock.now() - self._start

    def _after(self, ms: int, act: ty.Callable[[], None]) -> None:
        at = self.clock.now() + max(0, ms)
        heapq.heappush(self._queue, (at, next(self._order), act))
