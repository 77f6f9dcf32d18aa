"""Log lines and counters of single attempts."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast.serving.attempts import request_state
from peridotmast.serving import decisions as decisions_
from peridotmast.serving import metrics as metrics_
from peridotmast.serving import placement


class AttemptLog:
    """Records the outcome of each attempt.

    Parameters
    ----------
    clock : clock.Clock
        Times the attempts.
    metrics : metrics.ServingMetrics
        Counts the attempts.
    decisions : decisions.Decisions
        Logs the attempts.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        metrics: metrics_.ServingMetrics,
        decisions: decisions_.Decisions,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._decisions = decisions

    def note(
        self,
        state: request_state.RequestState,
        reservation: placement.Reservation,
        result: ty.Any,
        began_at: int,
    ) -> None:
        """Record what became of an attempt.

        Parameters
        ----------
        result : Reply or Failure or None
            None if the caller has left.
        began_at : int
            Time at which the attempt began, in ms.
        """
        failed = isinstance(result, failures.Failure)
        outcome = 'caller_left'
        if result is not None:
            outcome = result.reason if failed else str(result.head.status)
        if reservation.view.is_peer:
            self._note_forward(state, reservation, outcome, result)
            return
        self._metrics.attempts.labels(state.service.name, outcome).inc()
        self._decisions.note(
            state.exchange.id,
            'attempt',
            route=state.exchange.route.name,
            fingerprint=state.exchange.fingerprint,
            upstream=reservation.view.name,
            born=reservation.view.born,
            version=reservation.view.version,
            number=len(state.tried),
            revision=reservation.view.record.revision,
            among=reservation.selection.compared,
            home=reservation.selection.is_home,
            tokens=state.exchange.prompt.tokens_in,
            shared=sum(p.tokens for p in state.exchange.prompt.shared),
            running=reservation.selection.running,
            unread=reservation.selection.unread,
            slots=reservation.view.slots,
            outcome=outcome,
            framing='' if failed or not result else result.head.framing.value,
            detail=result.detail if failed else '',
            ms=self._clock.now() - began_at,
            left_ms=state.exchange.deadline - self._clock.now(),
        )

    def _note_forward(
        self,
        state: request_state.RequestState,
        reservation: placement.Reservation,
        outcome: str,
        result: ty.Any,
    ) -> None:
        failed = isinstance(result, failures.Failure)
        self._metrics.forwarded.labels(state.service.name, outcome).inc()
        self._decisions.note(
            state.exchange.id,
            'forwarded',
            route=state.exchange.route.name,
            service=state.service.name,
            peer=reservation.view.name,
            number=len(state.tried),
            among=reservation.selection.compared,
            connect_failures=state.connect_failures,
            outcome=outcome,
            detail=result.detail if failed else '',
        )
