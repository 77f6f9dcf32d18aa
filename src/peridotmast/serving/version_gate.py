"""Which versions of a service's upstreams may run a request."""

from __future__ import annotations

import collections
import random
import typing as ty

from peridotmast import clock as clock_
from peridotmast import ids
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import evidence
from peridotmast.serving import rollout_view
from peridotmast.serving import upstream_view

Phase = pb.RolloutPhase
View = upstream_view.UpstreamView
VersionAges = ty.Mapping[str, int]
"""Lowest revision of an available upstream's entry, by version."""

_TARGET_PHASES = frozenset(
    (
        Phase.ROLLOUT_PHASE_SHIFT,
        Phase.ROLLOUT_PHASE_COMMIT,
        Phase.ROLLOUT_PHASE_COMPLETED,
    )
)
"""Phases in which the target runs all requests."""

_SKIPPED_SHARE = 0.6
"""Share of a route's requests that are not tried while it has more trials than
another route."""

_MAX_ROLLOUTS = 256
"""Maximum number of services with a known roll-out."""


class VersionGate:
    """Decides which versions run requests, and records their outcomes.

    A version that no order has named is not used while upstreams of the
    versions in use exist. The target of an order gets only the trial requests
    that the holder of the duties has allowed, until the holder shifts all
    requests to it. A version that was rolled back is never used again.

    Parameters
    ----------
    clock : clock.Clock
        Times the holder's messages.
    router : str
        Name of this router, for the log.
    is_enabled : bool
        Whether the platform has roll-outs; if not, all versions are used.
    rollback_ms : int
        Time within which no request may reach a version that has proved bad,
        in ms.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        router: str,
        is_enabled: bool,
        rollback_ms: int = 5000,
    ) -> None:
        self._clock = clock
        self._is_enabled = is_enabled
        self._rollback_ms = rollback_ms
        self._log = logs.get('versions', router=router)
        self._random = random.Random(router)
        self._rollouts: dict[str, rollout_view.RolloutView] = {}
        self._rolled_back: dict[str, set[str]] = collections.defaultdict(set)
        self._established: dict[str, set[str]] = {}
        self._applied: dict[str, tuple[ty.Any, ...]] = {}
        self._are_orders_read = False
        self.must_read_orders = False
        """Whether the stored orders are needed to decide."""
        self.on_change: ty.Callable[[], None] = lambda: None
        """Called when other versions may be in use than before."""
        self.on_rolled_back: ty.Callable[[pb.RolloutState], None] = (
            lambda state: None
        )
        """Called with the state when this router learns of a roll-back."""

    def select(self, service: str, ages: VersionAges) -> ty.Container[str]:
        """Return the versions of a service that are in use.

        Parameters
        ----------
        ages : mapping
            Versions of the available upstreams.
        """
        if not self._is_enabled:
            return ages
        rollout = self._rollouts.get(service)
        rolled_back = self._rolled_back.get(service, set())
        allowed = ages.keys() - rolled_back
        if rollout is None:
            return self._established_of(service, allowed, ages)
        target = rollout.state.target
        is_target_used = rollout.phase in _TARGET_PHASES
        if is_target_used and target in allowed:
            return {target}
        if not allowed - {target}:
            # The orders may have ended without word from the holder.
            self.must_read_orders = True
        return allowed - {target}

    def is_in_use(self, view: View) -> bool:
        """Return whether an upstream's version runs requests without limit."""
        rollout = self._rollouts.get(view.service)
        if rollout is None:
            return True
        is_target = view.version == rollout.state.target
        return is_target == (rollout.phase in _TARGET_PHASES)

    def may_go_on(self, service: str, version: ids.SoftwareVersion) -> bool:
        """Return whether streams that a version began may go on at it.

        A version that is replaced takes up its streams until its upstreams
        have stopped; one on trial does so while it may be tried.
        """
        if version in self._rolled_back.get(service, ()):
            return False
        rollout = self._rollouts.get(service)
        if rollout is None or version != rollout.state.target:
            return True
        return rollout.phase in _TARGET_PHASES or rollout.may_try

    def trial_upstreams(self, service: str, route: str) -> ty.Collection[str]:
        """Return the upstreams that may get the next request on trial.

        Requests of a route with more trials than the others are only sometimes
        tried, so that a fault on a rare route is noticed too.
        """
        rollout = self._rollouts.get(service)
        if rollout is None or not rollout.may_try:
            return ()
        if rollout.has_enough_trials(route):
            if self._random.random() < _SKIPPED_SHARE:
                return ()
        return rollout.state.trial_upstreams

    def is_rolled_out(self, service: str) -> bool:
        """Return whether a roll-out of the service has not ended."""
        rollout = self._rollouts.get(service)
        return rollout is not None and not rollout.is_final

    def tick(self) -> None:
        """Apply the phases that have changed, also by the holder's silence."""
        for service, rollout in self._rollouts.items():
            state = rollout.state
            applied = state.order, rollout.phase
            if self._applied.get(service) == applied:
                continue
            self._applied[service] = applied
            self._log.info(
                'rollout_phase',
                service=service,
                target=state.target,
                order=state.order,
                phase=pb.RolloutPhase.Name(rollout.phase),
                told=pb.RolloutPhase.Name(state.phase),
                fencing=state.fencing,
                reason=state.reason,
                requests=rollout.requests,
                exposed=rollout.exposed,
            )
            self.on_change()

    def receive(self, state: pb.RolloutState) -> None:
        """Merge the state of a roll-out, from the holder or any router."""
        if not self._is_enabled:
            return
        rolled_back = self._rolled_back[state.service]
        rolled_back.update(state.rolled_back)
        if state.phase == Phase.ROLLOUT_PHASE_ROLLED_BACK:
            rolled_back.add(state.target)
        rollout = self._rollouts.get(state.service)
        if rollout is None and len(self._rollouts) >= _MAX_ROLLOUTS:
            return
        if rollout is None or rollout.is_replaced_by(state):
            rollout = self._adopt(rollout, state)
        is_same = (
            state.target == rollout.state.target
            and state.order == rollout.state.order
        )
        if state.HasField('allowance') and is_same:
            rollout.confirm(state)
        self.tick()

    def read_orders(self, orders: ty.Iterable[pb.RolloutOrder]) -> None:
        """Merge the stored orders, as far as no newer state is known."""
        self._are_orders_read = True
        self.must_read_orders = False
        for order in orders:
            rollout = self._rollouts.get(order.service)
            is_known = rollout and rollout.state.target == order.target
            if is_known and order.outcome not in rollout_view.FINAL_PHASES:
                continue
            self.receive(
                pb.RolloutState(
                    service=order.service,
                    target=order.target,
                    order=order.revision,
                    phase=order.outcome or Phase.ROLLOUT_PHASE_TRIAL,
                    window_ms=evidence.window_ms_for(order.duration_ms),
                )
            )
        self.on_change()

    def states(self) -> list[pb.RolloutState]:
        """Return the known roll-outs, without allowances, for peers."""
        states = []
        for rollout in self._rollouts.values():
            state = pb.RolloutState()
            state.CopyFrom(rollout.state)
            state.elapsed_ms = self._clock.now() - rollout.started_at
            states.append(state)
        return states

    def reports(
        self, in_flight: ty.Callable[[str, str], int]
    ) -> list[pb.RolloutReport]:
        """Return what this router has seen of the roll-outs in progress.

        Parameters
        ----------
        in_flight : callable
            Returns this router's requests in flight at a service's upstreams
            of other versions than the given one.
        """
        return [
            rollout.report(in_flight(service, rollout.state.target))
            for service, rollout in self._rollouts.items()
            if not rollout.is_final
        ]

    def rolled_back(self, service: str) -> frozenset[str]:
        """Return the versions of a service that were rolled back."""
        return frozenset(self._rolled_back.get(service, ()))

    def rollout(self, service: str) -> ty.Optional[rollout_view.RolloutView]:
        """Return the latest roll-out of a service, if there is one."""
        return self._rollouts.get(service)

    def note_placed(self, view: View, is_first: bool) -> None:
        """Count a request that is about to be sent to an upstream.

        Parameters
        ----------
        is_first : bool
            Whether it is the request's first attempt.
        """
        rollout = self._rollouts.get(view.service)
        if rollout is None or rollout.is_final:
            return
        rollout.requests += is_first
        rollout.exposed += view.version == rollout.state.target

    def note_end(
        self, route: str, view: View, sent_at: int, failed: bool
    ) -> None:
        """Record that an attempt has ended."""
        rollout = self._observed(view, sent_at)
        if rollout is not None:
            upstream = _evidence_name(rollout, view)
            rollout.evidence.note_end(route, upstream, sent_at, failed)

    def note_first(
        self,
        route: str,
        view: View,
        sent_at: int,
        took_ms: float,
        tokens: int,
    ) -> None:
        """Record the time to the first event of an answer."""
        rollout = self._observed(view, sent_at)
        if rollout is not None:
            upstream = _evidence_name(rollout, view)
            rollout.evidence.note_first(
                route, upstream, sent_at, took_ms, tokens
            )

    def note_gap(
        self, route: str, view: View, sent_at: int, gap_ms: float
    ) -> None:
        """Record the mean time between two events of an answer."""
        rollout = self._observed(view, sent_at)
        if rollout is not None:
            upstream = _evidence_name(rollout, view)
            rollout.evidence.note_gap(route, upstream, sent_at, gap_ms)

    def _observed(
        self, view: View, sent_at: int
    ) -> ty.Optional[rollout_view.RolloutView]:
        """Return the roll-out that an attempt is evidence for, if any."""
        rollout = self._rollouts.get(view.service)
        if rollout is None or rollout.is_final:
            return None
        return rollout if sent_at >= rollout.started_at else None

    def _adopt(
        self,
        known: ty.Optional[rollout_view.RolloutView],
        state: pb.RolloutState,
    ) -> rollout_view.RolloutView:
        """Adopt a newer state; a new order begins with new counts."""
        adopted = pb.RolloutState()
        adopted.CopyFrom(state)
        adopted.ClearField('allowance')
        if known is not None and known.is_same_order(state):
            known.update(adopted)
            return self._announce(known)
        rollout = rollout_view.RolloutView(
            self._clock, adopted, self._rollback_ms
        )
        self._rollouts[state.service] = rollout
        return self._announce(rollout)

    def _announce(
        self, rollout: rollout_view.RolloutView
    ) -> rollout_view.RolloutView:
        state = rollout.state
        applied = self._applied.get(state.service)
        is_rolled_back = state.phase == Phase.ROLLOUT_PHASE_ROLLED_BACK
        if is_rolled_back and applied != (state.order, state.phase):
            self.on_rolled_back(state)
        return rollout

    def _established_of(
        self, service: str, allowed: ty.Set[str], ages: VersionAges
    ) -> ty.Container[str]:
        """Return the versions in use of a service without a known order."""
        known = self._established.get(service)
        if known is None:
            if len(allowed) > 1 and not self._are_orders_read:
                # A target may be among them whose order is not known here.
                self.must_read_orders = True
                return {_oldest(allowed, ages)}
            chosen = {_oldest(allowed, ages)} if allowed else set()
            known = self._established[service] = chosen
        if known & allowed or not allowed:
            return known
        # The operators have replaced all upstreams without an order.
        self._established[service] = set(allowed)
        return allowed


def _oldest(allowed: ty.Set[str], ages: VersionAges) -> str:
    """Return the version whose upstreams were there first.

    The number of upstreams does not tell: a target starts with as many, and
    those of the other version may be reclaimed.
    """
    return min(allowed, key=lambda version: (ages[version], version))


def _evidence_name(rollout: rollout_view.RolloutView, view: View) -> str:
    """Return an upstream's name in evidence: only the target's have one."""
    return view.name if view.version == rollout.state.target else ''
