"""What one router knows of one roll-out, and what it has sent to it."""

from __future__ import annotations

from peridotmast import clock as clock_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import evidence as evidence_

Phase = pb.RolloutPhase

FINAL_PHASES = frozenset(
    (
        Phase.ROLLOUT_PHASE_COMPLETED,
        Phase.ROLLOUT_PHASE_ROLLED_BACK,
        Phase.ROLLOUT_PHASE_WITHDRAWN,
    )
)
"""Phases in which a roll-out has ended."""

_TRIAL_SHARE = 0.2
_SHIFT_SHARE = 0.4
"""Part of the time within which no request may reach a version that has proved
bad, for which a router sends trial requests, or keeps to a shift, after the
holder's last message. A router that is cut off from the holder would not learn
of a roll-back. The time of a shift is longer, since each change between the
versions moves streams."""


_TRIALS_AHEAD = 3
"""Trials that a route may have more than the one with the fewest."""


class RolloutView:
    """State of one roll-out on this router.

    Parameters
    ----------
    clock : clock.Clock
        Times the holder's messages.
    state : pb.RolloutState
        The state that this router has learnt first.
    rollback_ms : int
        Time within which no request may reach a version that has proved bad,
        in ms.
    """

    def __init__(
        self, clock: clock_.Clock, state: pb.RolloutState, rollback_ms: int
    ) -> None:
        self._clock = clock
        self.state = state
        """The newest state."""
        self.started_at = clock.now() - state.elapsed_ms
        """Time of the order, in ms."""
        self.requests = 0
        """Number of requests that this router has sent to the service."""
        self.exposed = 0
        """Number of requests that it has sent to the target."""
        self.allowance = 0
        """Number of requests that it may send to the target on trial."""
        self._trial_word_ms = rollback_ms * _TRIAL_SHARE
        self._shift_word_ms = rollback_ms * _SHIFT_SHARE
        self._confirmed_at = clock.now() - rollback_ms
        self.evidence = evidence_.Evidence(self.started_at, state.window_ms)
        """Outcomes of the requests since the order."""

    @property
    def is_final(self) -> bool:
        """Whether the roll-out has ended."""
        return self.state.phase in FINAL_PHASES

    @property
    def phase(self) -> pb.RolloutPhase:
        """The phase that this router applies.

        Without word from the holder a shift is taken back, until its
        completion may have been stored.
        """
        phase = self.state.phase
        is_lost = self._silent_ms() > self._shift_word_ms
        if phase == Phase.ROLLOUT_PHASE_SHIFT and is_lost:
            return Phase.ROLLOUT_PHASE_TRIAL
        return phase

    @property
    def may_try(self) -> bool:
        """Whether the next request may be sent to the target on trial."""
        return (
            self.state.phase == Phase.ROLLOUT_PHASE_TRIAL
            and self.exposed < self.allowance
            and self._silent_ms() <= self._trial_word_ms
        )

    def has_enough_trials(self, route: str) -> bool:
        """Return whether a route has more trials than another one."""
        trials = self.state.trials
        if route not in trials:
            return False
        return trials[route] > min(trials.values()) + _TRIALS_AHEAD

    def is_replaced_by(self, state: pb.RolloutState) -> bool:
        """Return whether `state` is newer than the state known here."""
        known = self.state
        if state.target != known.target:
            return state.order > known.order
        is_final = state.phase in FINAL_PHASES
        if self.is_final != is_final:
            return is_final or state.order > known.order
        age = state.fencing, state.number
        return age > (known.fencing, known.number)

    def is_same_order(self, state: pb.RolloutState) -> bool:
        """Return whether `state` is of the order known here.

        Each holder of the duties may know the order by another revision.
        """
        is_same_target = state.target == self.state.target
        is_reordered = self.is_final and state.order > self.state.order
        return is_same_target and not is_reordered

    def update(self, state: pb.RolloutState) -> None:
        """Adopt a newer state of the same order."""
        if state.fencing and not self.state.fencing:
            # The order was read here before the holder's first message.
            self.started_at = self._clock.now() - state.elapsed_ms
            self.evidence = evidence_.Evidence(
                self.started_at, state.window_ms
            )
        self.state = state

    def confirm(self, state: pb.RolloutState) -> None:
        """Take the allowance in a message of the present holder."""
        if state.fencing < self.state.fencing:
            return
        self._confirmed_at = self._clock.now()
        self.allowance = max(self.allowance, state.allowance)

    def report(self, others_in_flight: int) -> pb.RolloutReport:
        """Return what this router has seen, for the holder."""
        return pb.RolloutReport(
            service=self.state.service,
            order=self.state.order,
            phase=self.phase,
            fencing=self.state.fencing,
            number=self.state.number,
            requests=self.requests,
            exposed=self.exposed,
            allowance=self.allowance,
            others_in_flight=others_in_flight,
            cells=self.evidence.cells(),
        )

    def _silent_ms(self) -> int:
        return self._clock.now() - self._confirmed_at
