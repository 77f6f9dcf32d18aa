"""The duty that carries out the operators' orders of roll-outs."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import green
from peridotmast import logs
from peridotmast.rollout import rollout_inputs
from peridotmast.rollout import rollout_run
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import rollout_view
from peridotmast.serving import upstreams as upstreams_
from peridotmast.serving import version_gate

Phase = pb.RolloutPhase
RouterRun = rollout_run.RouterRun

_REPEAT_MS = 5000
"""Time for which the end of a roll-out is sent to all routers, in ms. Their
beacons spread it from then on."""

_WRITE_PAUSE_MS = 500
"""Pause after an outcome that could not be written, in ms."""


class OrderBook(ty.Protocol):
    """The stored orders."""

    @property
    def orders(self) -> list[pb.RolloutOrder]:
        """All orders that can be carried out."""

    def write_outcome(
        self, order: pb.RolloutOrder, outcome: pb.RolloutPhase
    ) -> ty.Optional[failures.Failure]:
        """Write the outcome of an order that has not changed since."""

    def read_again(self, service: str) -> ty.Optional[failures.Failure]:
        """Read one order again, after a write without an answer."""


Send = ty.Callable[[RouterRun, list[pb.RolloutState]], None]


class RolloutDuty:
    """Carries out all orders while this router holds the lease.

    It runs in a task of its own: calls of other duties to the platform may
    take longer than routers continue without word from the holder.

    Parameters
    ----------
    orders : OrderBook
        The stored orders.
    table : upstreams.UpstreamTable
        Upstreams of all versions.
    gate : version_gate.VersionGate
        What this router knows of the roll-outs.
    limits : rollout_inputs.RolloutLimits
        Bounds of exposure and time.
    clock : clock.Clock
        Times the roll-outs.
    fleet_now : callable
        Returns ms since 1970 by the fleet's clock.
    may_act : callable
        Returns whether this router holds the lease.
    routers : callable
        Returns the runs of the routers that are alive.
    send : callable
        Sends states to a router.
    spawn : callable
        Runs a function in a task.
    """

    def __init__(
        self,
        orders: OrderBook,
        table: upstreams_.UpstreamTable,
        gate: version_gate.VersionGate,
        limits: rollout_inputs.RolloutLimits,
        clock: clock_.Clock,
        fleet_now: ty.Callable[[], int],
        may_act: ty.Callable[[], bool],
        routers: ty.Callable[[], ty.Collection[RouterRun]],
        send: Send,
        spawn: ty.Callable[..., None],
    ) -> None:
        self._orders = orders
        self._table = table
        self._gate = gate
        self._limits = limits
        self._clock = clock
        self._fleet_now = fleet_now
        self._may_act = may_act
        self._routers = routers
        self._send = send
        self._spawn = spawn
        self._runs: dict[str, rollout_run.RolloutRun] = {}
        self._left: dict[str, pb.RolloutLeft] = {}
        self._ended_at: dict[str, int] = {}
        self._writing: set[str] = set()
        self._fencing = 0
        self._base_version = 0
        self._log = logs.get('rollouts')

    @property
    def state_version(self) -> int:
        """Incremented at each state change that the next holder must know."""
        return self._base_version + sum(r.version for r in self._runs.values())

    def start(self, state: ty.Optional[pb.DutiesLeft]) -> None:
        """Take over the roll-outs of the previous holder."""
        self._fencing = 0
        if state is not None:
            self._runs.clear()
            self._left = {r.state.service: r for r in state.rollouts}

    def run(self, fencing: int) -> None:
        """Take note of the lease; `tick` does the work."""
        if fencing != self._fencing:
            self._fencing = fencing
            for run in self._runs.values():
                run.state.fencing = fencing

    def save(self, state: pb.DutiesLeft) -> None:
        """Write the roll-outs for the next holder."""
        now = self._fleet_now()
        state.rollouts.extend(run.save(now) for run in self._runs.values())
        state.rollouts.extend(
            left
            for service, left in self._left.items()
            if service not in self._runs
        )

    def on_saved(self) -> None:
        """Record that the state last saved is stored."""
        for run in self._runs.values():
            run.on_saved()

    def receive(self, router: RouterRun, report: pb.RolloutReport) -> None:
        """Add a router's report."""
        run = self._runs.get(report.service)
        if run is not None:
            run.receive(router, report)

    def show(self, service: str) -> ty.Optional[rollout_run.RolloutRun]:
        """Return the roll-out of a service, if this router leads it."""
        return self._runs.get(service)

    def tick(self) -> None:
        """Do the next step of each roll-out, and send its state."""
        if not self._fencing or not self._may_act():
            return
        self._follow_orders()
        for service, run in self._runs.items():
            self._step(service, run)
        active = [r for s, r in self._runs.items() if self._must_send(s, r)]
        if active:
            for router in self._routers():
                self._send(router, [r.message_for(router) for r in active])

    def _follow_orders(self) -> None:
        """Begin new roll-outs, and end those whose orders are withdrawn."""
        orders = {order.service: order for order in self._orders.orders}
        for service, run in list(self._runs.items()):
            order = orders.get(service)
            if order is None:
                run.withdraw('withdrawn')
            elif order.target != run.order.target:
                run.withdraw('replaced')
            else:
                run.order.revision = order.revision
                run.order.duration_ms = order.duration_ms
                run.order.outcome = order.outcome
        for service, order in orders.items():
            known = self._runs.get(service)
            if known is None or self._is_new(known, order):
                self._begin(order)

    def _is_new(
        self, known: rollout_run.RolloutRun, order: pb.RolloutOrder
    ) -> bool:
        is_withdrawn = known.phase == Phase.ROLLOUT_PHASE_WITHDRAWN
        is_changed = order.revision > known.state.order
        return order.target != known.order.target or (
            is_withdrawn and is_changed
        )

    def _begin(self, order: pb.RolloutOrder) -> None:
        """Begin an order, or go on with one of the previous holder."""
        copy = pb.RolloutOrder()
        copy.CopyFrom(order)
        left = self._left.pop(order.service, None)
        if left is not None and left.state.target != order.target:
            left = None
        elapsed_ms = self._elapsed_ms(order, left)
        run = rollout_run.RolloutRun(
            self._clock, copy, self._limits, self._fencing, left, elapsed_ms
        )
        if order.outcome in rollout_view.FINAL_PHASES:
            run.state.phase = order.outcome
        else:
            self._adopt_known_end(run)
        replaced = self._runs.get(order.service)
        # The sum must grow, although the new roll-out counts from zero.
        self._base_version += 1 + (replaced.version if replaced else 0)
        self._runs[order.service] = run
        self._log.info(
            'rollout_order',
            service=order.service,
            target=order.target,
            revision=order.revision,
            duration_ms=order.duration_ms,
            phase=pb.RolloutPhase.Name(run.phase),
            continued=left is not None,
        )

    def _elapsed_ms(
        self, order: pb.RolloutOrder, left: ty.Optional[pb.RolloutLeft]
    ) -> int:
        """Return the time since an order was first read, in ms."""
        if left is not None:
            return max(0, self._fleet_now() - left.ordered_at_ms)
        known = self._gate.rollout(order.service)
        if known is not None and known.state.target == order.target:
            return self._clock.now() - known.started_at
        return 0

    def _adopt_known_end(self, run: rollout_run.RolloutRun) -> None:
        """Adopt an end that routers know of but that is not stored yet."""
        known = self._gate.rollout(run.order.service)
        if known is None or known.state.target != run.order.target:
            return
        if known.state.phase == Phase.ROLLOUT_PHASE_ROLLED_BACK:
            run.adopt(known.state)

    def _step(self, service: str, run: rollout_run.RolloutRun) -> None:
        if not run.is_final:
            rolled_back = self._gate.rolled_back(service)
            run.step(self._fleet_of(service, run), rolled_back)
        run.state.rolled_back[:] = sorted(self._gate.rolled_back(service))
        outcome = self._outcome_to_write(run)
        if outcome is not None and service not in self._writing:
            self._writing.add(service)
            self._spawn('write_rollout', self._write, service, run, outcome)

    def _fleet_of(
        self, service: str, run: rollout_run.RolloutRun
    ) -> rollout_inputs.Fleet:
        available = [
            view
            for view in self._table.all()
            if view.service == service and view.is_available
        ]
        target = run.order.target
        return rollout_inputs.Fleet(
            [
                (view.failure_domain, view.name)
                for view in available
                if view.version == target
            ],
            sum(view.version != target for view in available),
            self._routers(),
        )

    def _outcome_to_write(
        self, run: rollout_run.RolloutRun
    ) -> ty.Optional[pb.RolloutPhase]:
        """Return the outcome that must be stored; None if none is due."""
        stored = run.order.outcome
        if stored in rollout_view.FINAL_PHASES:
            return None
        if run.phase == Phase.ROLLOUT_PHASE_ROLLED_BACK:
            return Phase.ROLLOUT_PHASE_ROLLED_BACK
        if run.may_commit:
            return Phase.ROLLOUT_PHASE_COMPLETED
        is_running = run.phase in (
            Phase.ROLLOUT_PHASE_TRIAL,
            Phase.ROLLOUT_PHASE_SHIFT,
        )
        if is_running and stored != Phase.ROLLOUT_PHASE_TRIAL:
            return Phase.ROLLOUT_PHASE_TRIAL
        return None

    def _write(
        self,
        service: str,
        run: rollout_run.RolloutRun,
        outcome: pb.RolloutPhase,
    ) -> None:
        """Write an outcome; if the reply is lost, read what is stored."""
        try:
            failure = self._orders.write_outcome(run.order, outcome)
            self._log.info(
                'rollout_written',
                service=service,
                target=run.order.target,
                outcome=pb.RolloutPhase.Name(outcome),
                revision=run.order.revision,
                failure=failure.reason if failure is not None else '',
            )
            if failure is not None:
                green.sleep_ms(_WRITE_PAUSE_MS)
                self._orders.read_again(service)
        finally:
            self._writing.discard(service)
        self._adopt_stored(service, run)

    def _adopt_stored(self, service: str, run: rollout_run.RolloutRun) -> None:
        """Adopt the end that is stored for an order."""
        for order in self._orders.orders:
            is_own = order.target == run.order.target
            if order.service == service and is_own:
                run.order.revision = order.revision
                run.order.outcome = order.outcome
        if run.order.outcome in rollout_view.FINAL_PHASES:
            if run.phase != run.order.outcome:
                run.adopt(
                    pb.RolloutState(
                        phase=run.order.outcome, reason=run.state.reason
                    )
                )

    def _must_send(self, service: str, run: rollout_run.RolloutRun) -> bool:
        """Return whether a roll-out's state is sent to all routers now."""
        now = self._clock.now()
        if not run.is_final:
            self._ended_at.pop(service, None)
            return True
        return now - self._ended_at.setdefault(service, now) <= _REPEAT_MS
