"""Another attempt of a request beside one that brings nothing."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast.serving.attempts import request_state
from peridotmast.serving import placement
from peridotmast.serving import reply as reply_
from peridotmast.serving import second_attempts
from peridotmast.serving import sender as sender_
from peridotmast.serving import standby as standby_
from peridotmast.wire import event_reader

_FIRST_BYTES_SHARE = 0.5
"""Fraction of the remaining time that an attempt may take to send its first
bytes before another one is made beside it."""

_CONNECT_WAIT_MS = 50
"""Interval at which an attempt is checked that is not connected yet, in
ms."""

CheckPlace = ty.Callable[
    [request_state.RequestState, placement.Reservation], None
]
"""Checks invariants before a request is sent to a place."""


class StandbySearch:
    """Makes another attempt of a request while the current one is silent.

    Parameters
    ----------
    clock : clock.Clock
        Clock for deadlines and time-outs.
    sender : sender.Sender
        Discards attempts that are not needed.
    attempts : second_attempts.SecondAttempts
        Makes attempts beside silent ones.
    check_place : callable
        Checks invariants before a request is sent.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        sender: sender_.Sender,
        attempts: second_attempts.SecondAttempts,
        check_place: CheckPlace,
    ) -> None:
        self._clock = clock
        self._sender = sender
        self._second_attempts = attempts
        self._check_place = check_place

    def start(
        self,
        state: request_state.RequestState,
        reservation: placement.Reservation,
    ) -> None:
        """Search for another attempt while this one brings nothing.

        A peer does so itself.
        """
        state.heard_at = self._clock.now()
        if reservation.view.is_peer or not _may_search(state):
            return
        patience_ms = self._patience_ms(state)

        def wait_ms() -> int:
            if reservation.conn is None:
                return _CONNECT_WAIT_MS
            return state.heard_at + patience_ms - self._clock.now()

        def replace() -> None:
            if reservation.conn is not None:
                reservation.conn.cancel(standby_.SILENT)

        state.standby = standby_.Standby(
            wait_ms,
            lambda: self._search(state, patience_ms),
            replace,
            lambda sent: self._sender.discard(state.exchange, sent),
        )

    def end(
        self,
        state: request_state.RequestState,
        result: ty.Union[reply_.Reply, failures.Failure, None],
    ) -> None:
        """Take the attempt that replaces one that has failed."""
        standby, state.standby = state.standby, None
        if standby is None:
            return
        if isinstance(result, failures.Failure):
            state.replacement = standby.take()
        else:
            standby.stop()

    def _search(
        self, state: request_state.RequestState, patience_ms: int
    ) -> ty.Optional[sender_.Sent]:
        """Make another attempt while the current one is silent."""
        if not _may_search(state):
            return None
        silence = second_attempts.Silence(
            state.exchange,
            state.service,
            state.tried,
            state.heard_at,
            patience_ms,
            state.resume_point,
            event_reader.EventReader(state.exchange.position),
        )
        reservation = self._second_attempts.reserve(
            silence, may_ask_peer=False
        )
        if reservation is None:
            return None
        state.tried.add(reservation.view.name)
        self._check_place(state, reservation)
        state.runs += 1
        result = self._second_attempts.send(silence, reservation)
        if result.sent is not None or not result.has_run:
            # An attempt that replaces the current one is counted with it.
            state.runs -= 1
        return result.sent

    def _patience_ms(self, state: request_state.RequestState) -> int:
        """Return how long an attempt is silent before another one is made."""
        exchange = state.exchange
        left_ms = exchange.deadline - self._clock.now()
        limit = 2 * exchange.route.target_ms
        return max(1, min(limit, int(left_ms * _FIRST_BYTES_SHARE)))


def _may_search(state: request_state.RequestState) -> bool:
    """Return whether an attempt may be made beside the current one."""
    exchange = state.exchange
    return exchange.may_repeat and state.runs + 1 < exchange.route.attempts
