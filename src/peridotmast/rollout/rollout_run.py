"""Decisions of the holder of the duties on one roll-out."""

from __future__ import annotations

import collections
import typing as ty

from peridotmast import clock as clock_
from peridotmast import logs
from peridotmast.rollout import exposure_ledger
from peridotmast.rollout import report_book
from peridotmast.rollout import rollout_inputs
from peridotmast.rollout import trial_plan
from peridotmast.rollout import verdict as verdict_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import evidence
from peridotmast.serving import rollout_view

Phase = pb.RolloutPhase
RouterRun = exposure_ledger.RouterRun

_MIN_ANSWERS = 20
"""Answers of the target without which it is not accepted."""

_MAX_BAD_ANSWERS = 40
"""Bad answers after which a suspect target is rolled back: the platform counts
time from the 50th one."""

_MIN_TRIAL_MS = 2000
"""Shortest trial that can be judged, in ms. An order with less time is rolled
back at once."""

_LAST_SHIFT_MS = 1500
"""Time before the time limit at which a shift begins at the latest, in ms; a
trial that has not proved the target good by then has failed."""

_COMMIT_MS = 700
"""Time before the time limit at which the completion is stored, in ms: until
then the target carries the whole load while its answers are still judged, and
later the store might not answer in time."""

_MIN_TARGET_SHARE = 0.6
"""Upstreams of the target that must be live at a shift, relative to those of
the other versions, which carry the whole load before it."""

_REACTION_MS = 1200
"""Time in which a target that turns bad just before a shift is rolled back. As
many requests of the bound as arrive in it are not used for trials."""

_MIN_TRIAL_SHARE = 0.6
"""Share of the bound that is used for trials at least."""

_LOT_MS = 2000
"""Time for which a raised ceiling lasts, so that it is stored once a second
or two."""

_MIN_LOT = 8
_RATE_MS = 2000
"""Time over which the routers' traffic is averaged, in ms."""


class RolloutRun:
    """State machine of one roll-out.

    After the trial, a target without evidence against it gets all requests.
    The completion is stored once no request is in flight at the other
    versions, since their upstreams then stop at once. Until the completion may
    have been stored, a target that proves bad is rolled back.

    Parameters
    ----------
    clock : clock.Clock
        Times the phases.
    order : pb.RolloutOrder
        The operators' order.
    limits : rollout_inputs.RolloutLimits
        Bounds of exposure and time.
    fencing : int
        Fencing number of the holder.
    left : pb.RolloutLeft, optional
        State that the previous holder has stored.
    elapsed_ms : int
        Time since the order was first read, in ms.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        order: pb.RolloutOrder,
        limits: rollout_inputs.RolloutLimits,
        fencing: int,
        left: ty.Optional[pb.RolloutLeft] = None,
        elapsed_ms: int = 0,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self.order = order
        """The operators' order."""
        self._ordered_at = clock.now() - elapsed_ms
        self._ledger = exposure_ledger.ExposureLedger(
            limits.share, limits.slack, left.ceiling if left else 0
        )
        self.book = report_book.ReportBook()
        """Reports of all routers."""
        self.verdict = verdict_.Verdict((), {}, 0)
        """Latest verdict on the target."""
        self._distribution = trial_plan.Distribution(order.target)
        self._request_counts: collections.deque[
            tuple[int, dict[RouterRun, int]]
        ] = collections.deque()
        self._given_at = clock.now()
        self.version = 0
        """Number of changes that must be stored."""
        self._stored_version = 0
        self._written_version = 0
        self.waiting_for: list[str] = []
        """Routers that have not confirmed the phase, or are not done."""
        self.state = pb.RolloutState(
            service=order.service,
            target=order.target,
            order=order.revision,
            phase=Phase.ROLLOUT_PHASE_TRIAL,
        )
        """State that is sent to the routers."""
        if left is not None:
            self.state.CopyFrom(left.state)
        self.state.fencing = fencing
        self.state.number += 1
        self.state.window_ms = evidence.window_ms_for(order.duration_ms)
        self._log = logs.get('rollout', service=order.service)

    @property
    def phase(self) -> pb.RolloutPhase:
        """The phase that routers are to apply."""
        return self.state.phase

    @property
    def is_final(self) -> bool:
        """Whether the roll-out has ended."""
        return self.phase in rollout_view.FINAL_PHASES

    @property
    def left_ms(self) -> int:
        """Time until the time limit of the order, in ms."""
        return self._ordered_at + self.order.duration_ms - self._clock.now()

    @property
    def may_commit(self) -> bool:
        """Whether the completion may be written to the order now.

        The next holder must know that it may have been written.
        """
        is_stored = self._stored_version >= self.version
        return self.phase == Phase.ROLLOUT_PHASE_COMMIT and is_stored

    def receive(self, run: RouterRun, report: pb.RolloutReport) -> None:
        """Add a router's report."""
        if report.order != self.state.order:
            return
        self.book.receive(run, report)
        self._ledger.report(run, report.allowance)

    def step(
        self, fleet: rollout_inputs.Fleet, rolled_back: ty.Collection[str]
    ) -> None:
        """Decide on the phase, and give out trial requests.

        Parameters
        ----------
        rolled_back : collection of str
            Versions of the service that were rolled back before.
        """
        self.verdict = verdict_.judge(self.book.cells, len(fleet.targets))
        if self.phase == Phase.ROLLOUT_PHASE_TRIAL:
            self._step_trial(fleet, rolled_back)
        elif self.phase == Phase.ROLLOUT_PHASE_SHIFT:
            self._step_shift(fleet)
        elif self.phase == Phase.ROLLOUT_PHASE_COMMIT:
            self._step_commit()
        if self.phase == Phase.ROLLOUT_PHASE_TRIAL:
            for route, count in self.verdict.answers_by_route.items():
                self.state.trials[route] = count
        self.state.left_ms = self.left_ms
        self.state.elapsed_ms = self._clock.now() - self._ordered_at
        self.state.exposed = self.book.exposed
        self.state.bound = self._ledger.bound(self.book.requests)

    def message_for(self, run: RouterRun) -> pb.RolloutState:
        """Return the state with a router's allowance."""
        message = pb.RolloutState()
        message.CopyFrom(self.state)
        message.allowance = self._ledger.allowance(run)
        return message

    def withdraw(self, reason: str) -> None:
        """End the roll-out: its order is withdrawn or replaced."""
        if not self.is_final:
            self._set_phase(Phase.ROLLOUT_PHASE_WITHDRAWN, reason)

    def adopt(self, state: pb.RolloutState) -> None:
        """Adopt the end of the roll-out that another router knows of."""
        self._set_phase(state.phase, state.reason)

    def save(self, now_ms: int) -> pb.RolloutLeft:
        """Return the state for the next holder.

        Parameters
        ----------
        now_ms : int
            Time of the fleet clock, in ms since 1970.
        """
        self._written_version = self.version
        return pb.RolloutLeft(
            state=self.state,
            ordered_at_ms=now_ms - (self._clock.now() - self._ordered_at),
            duration_ms=self.order.duration_ms,
            ceiling=self._ledger.write(),
        )

    def on_saved(self) -> None:
        """Record that the state last returned by `save` is stored."""
        self._stored_version = self._written_version
        self._ledger.confirm()

    def _step_trial(
        self, fleet: rollout_inputs.Fleet, rolled_back: ty.Collection[str]
    ) -> None:
        trial_ms = self.order.duration_ms - self._limits.shift_ms
        if self.order.target in rolled_back:
            self._roll_back('rolled_back_before')
        elif self._is_bad():
            self._roll_back(self._describe_verdict())
        elif trial_ms < _MIN_TRIAL_MS:
            self._roll_back('duration_too_short')
        elif fleet.targets and not fleet.others:
            self._set_phase(Phase.ROLLOUT_PHASE_COMMIT, 'already_in_use')
        elif self.left_ms <= self._limits.shift_ms:
            self._end_trial(fleet)
        else:
            self._give_trials(fleet)

    def _is_bad(self) -> bool:
        """Return whether the target has proved bad, or fails too often."""
        verdict = self.verdict
        is_failing = verdict.bad_answers >= _MAX_BAD_ANSWERS
        return verdict.is_bad or (verdict.is_suspect and is_failing)

    def _end_trial(self, fleet: rollout_inputs.Fleet) -> None:
        objection = self._objection(fleet)
        if not objection:
            self._set_phase(Phase.ROLLOUT_PHASE_SHIFT, 'proved')
        elif self.left_ms <= _LAST_SHIFT_MS:
            self._roll_back(objection)
        else:
            self._give_trials(fleet)

    def _objection(self, fleet: rollout_inputs.Fleet) -> str:
        """Return why the target is not accepted; empty if it is."""
        if not fleet.targets:
            return 'no_upstreams'
        if len(fleet.targets) < _MIN_TARGET_SHARE * fleet.others:
            return 'too_few_upstreams'
        if self.verdict.answers < _MIN_ANSWERS:
            return 'too_few_answers'
        if self.verdict.is_suspect:
            return self._describe_verdict()
        return ''

    def _give_trials(self, fleet: rollout_inputs.Fleet) -> None:
        """Give out the trial requests that are due."""
        now = self._clock.now()
        elapsed_ms, self._given_at = now - self._given_at, now
        rates = self._rates(fleet)
        pace = self._pace(fleet, sum(rates.values()))
        names = trial_plan.choose_upstreams(
            fleet.targets, pace.upstreams, now - self._ordered_at
        )
        if names != list(self.state.trial_upstreams):
            self.state.trial_upstreams[:] = names
            self.state.number += 1
        if not names:
            return
        lot = max(_MIN_LOT, int(pace.per_second * _LOT_MS / 1000))
        if self._ledger.available < lot / 2 and self._ledger.raise_ceiling(
            lot, self.book.requests
        ):
            self.version += 1
        self._distribution.distribute(
            self._ledger,
            rates,
            {run: self._unused(run) for run in rates},
            pace.per_second * elapsed_ms / 1000,
        )

    def _pace(
        self, fleet: rollout_inputs.Fleet, rate: float
    ) -> trial_plan.Pace:
        trial_left_ms = max(0, self.left_ms - self._limits.shift_ms)
        expected = self.book.requests + rate * self.left_ms / 1000
        bound = self._ledger.bound(int(expected))
        reserved = bound - rate * _REACTION_MS / 1000
        usable = max(
            _MIN_TRIAL_SHARE * bound,
            min(exposure_ledger.USED_SHARE * bound, reserved),
        )
        return trial_plan.plan_pace(
            usable - self._ledger.given,
            trial_left_ms,
            rate,
            fleet.others,
            len(fleet.targets),
        )

    def _rates(self, fleet: rollout_inputs.Fleet) -> dict[RouterRun, float]:
        """Return the recent requests per second of each router."""
        now = self._clock.now()
        counts = {
            run: report.requests
            for run in fleet.routers
            if (report := self.book.latest(run)) is not None
        }
        history = self._request_counts
        history.append((now, counts))
        while now - history[0][0] > _RATE_MS:
            history.popleft()
        since, before = history[0]
        seconds = max(0.25, (now - since) / 1000)
        return {
            run: (count - before.get(run, count)) / seconds
            for run, count in counts.items()
        }

    def _unused(self, run: RouterRun) -> int:
        report = self.book.latest(run)
        used = report.exposed if report is not None else 0
        return self._ledger.allowance(run) - used

    def _step_shift(self, fleet: rollout_inputs.Fleet) -> None:
        if self._is_bad():
            self._roll_back(self._describe_verdict())
            return
        self.waiting_for = [
            run[0] for run in fleet.routers if not self._has_shifted(run)
        ]
        is_due = self.left_ms <= _COMMIT_MS
        if is_due and not self.waiting_for:
            self._set_phase(Phase.ROLLOUT_PHASE_COMMIT, self.state.reason)

    def _step_commit(self) -> None:
        # Once the completion may have been stored, the other upstreams stop,
        # and only the target is left.
        if self._is_bad() and not self.may_commit:
            self._roll_back(self._describe_verdict())

    def _has_shifted(self, run: RouterRun) -> bool:
        """Return whether a router uses only the target."""
        report = self.book.latest(run)
        return (
            report is not None
            and report.phase == Phase.ROLLOUT_PHASE_SHIFT
            and report.fencing == self.state.fencing
            and not report.others_in_flight
        )

    def _roll_back(self, reason: str) -> None:
        self._set_phase(Phase.ROLLOUT_PHASE_ROLLED_BACK, reason)

    def _set_phase(self, phase: pb.RolloutPhase, reason: str) -> None:
        strongest = self.verdict.strongest
        self._log.info(
            'rollout_decided',
            target=self.order.target,
            order=self.state.order,
            phase=pb.RolloutPhase.Name(phase),
            reason=reason,
            answers=self.verdict.answers,
            upstreams=self.verdict.upstreams,
            log_evidence=round(strongest.log_evidence, 2) if strongest else 0,
            exposed=self.book.exposed,
            given=self._ledger.given,
            requests=self.book.requests,
            left_ms=self.left_ms,
            fencing=self.state.fencing,
        )
        self.state.phase = phase
        self.state.reason = reason
        self.state.number += 1
        self.version += 1
        self.waiting_for = []

    def _describe_verdict(self) -> str:
        """Return the test that has the most evidence, as one word."""
        strongest = self.verdict.strongest
        if strongest is None:
            return ''
        measure = strongest.measure.name.lower()
        route = strongest.route or 'all_routes'
        return f'{measure}:{route}'
