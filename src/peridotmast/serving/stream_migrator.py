"""Migrates running streams away from upstreams that are leaving."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import green
from peridotmast import logs
from peridotmast.serving import crash_tracker
from peridotmast.serving import decisions as decisions_
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import placement
from peridotmast.serving import stream as stream_
from peridotmast.serving import stream_relay
from peridotmast.serving import upstream_view
from peridotmast.serving import upstreams as upstreams_

_MIGRATE_BEFORE_MS = 800
"""Time before an upstream disappears at which its streams are migrated, in ms.
Most streams end by themselves before, and a migration costs a copy of the KV
cache. A migration takes tens of ms, which leaves time for a second attempt."""

_REPORT_LAG_MS = 400
"""Time until the status report of a leaving engine shows that it leaves, in
ms: an engine's report is a few hundred ms old when it is read."""

_END_MARGIN_MS = 250
"""A stream is not migrated if it is expected to end at least this long before
its upstream disappears, in ms."""


@dataclasses.dataclass(frozen=True)
class KvCopy:
    """KV cache of a stopped run."""

    location: str
    """Location of the KV cache, as engines name it."""
    is_at_target: bool
    """Whether the target engine holds the KV cache; if not, the source engine
    still holds it."""


class EngineControl(ty.Protocol):
    """Control calls that engines offer beside running requests."""

    def remaining_ms(
        self, address: str, born: int
    ) -> ty.Union[int, failures.Failure]:
        """Return the time until an engine disappears, in ms; 0 if unknown.

        Parameters
        ----------
        born : int
            Start time of the run of the upstream; 0 if unknown.
        """

    def move(
        self, address: str, request_id: str, target: str
    ) -> ty.Union[KvCopy, failures.Failure]:
        """Stop a run and copy its KV cache to another engine."""


class StreamMigrator:
    """Migrates the streams of this router when an upstream leaves.

    A stream that is expected to end before its upstream disappears is not
    migrated. All other streams resume at another engine with a copy of their
    KV cache, so that neither prefill nor generated tokens are recomputed.

    Parameters
    ----------
    clock : clock.Clock
        Clock for the notice period.
    relay : stream_relay.StreamRelay
        Lists the open streams of an upstream.
    places : placement.Placement
        Selects the target upstream.
    control : EngineControl
        Control calls to engines.
    decisions : decisions.Decisions
        Records the result for each request.
    spawn : callable
        Starts a named task.
    drain_ms : int
        Time from the notice that an upstream is leaving until it disappears,
        in ms; used if the upstream does not state this time.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        relay: stream_relay.StreamRelay,
        places: placement.Placement,
        control: EngineControl,
        decisions: decisions_.Decisions,
        spawn: ty.Callable[..., None],
        drain_ms: int,
    ) -> None:
        self._clock = clock
        self._relay = relay
        self._placement = places
        self._control = control
        self._decisions = decisions
        self._spawn = spawn
        self._drain_ms = drain_ms
        self._leaving: set[str] = set()
        self.is_blocked: ty.Callable[[exchange_.Exchange], bool] = (
            lambda exchange: False
        )
        """Returns whether a request must not be sent to another upstream."""
        self._log = logs.get('mover')

    def on_change(self, view: upstream_view.UpstreamView) -> None:
        """Start migrations if an upstream with streams is now leaving."""
        is_leaving = view.record.state in (upstreams_.LEAVING, upstreams_.GONE)
        if not is_leaving or view.run in self._leaving:
            return
        if any(s.service.moves for s in self._relay.streams_at(view)):
            self._leaving.add(view.run)
            self._spawn('move_off', self._migrate_streams, view)

    def _migrate_streams(self, view: upstream_view.UpstreamView) -> None:
        noticed_at = self._clock.now()
        green.sleep_ms(_REPORT_LAG_MS)
        left_ms = self._control.remaining_ms(view.address, view.born)
        is_stated = not isinstance(left_ms, failures.Failure) and left_ms > 0
        gone_at = noticed_at + self._drain_ms
        if not isinstance(left_ms, failures.Failure) and left_ms:
            gone_at = self._clock.now() + left_ms
        self._log.info(
            'upstream_leaving',
            upstream=view.name,
            left_ms=gone_at - self._clock.now(),
            told=is_stated,
            streams=len(self._relay.streams_at(view)),
        )
        green.sleep_ms(
            max(0, gone_at - _MIGRATE_BEFORE_MS - self._clock.now())
        )
        self._move_streams(view, gone_at)

    def _move_streams(
        self, view: upstream_view.UpstreamView, gone_at: int
    ) -> None:
        for stream in self._relay.streams_at(view):
            if not stream.service.moves or stream.is_migrating:
                continue
            if self.is_blocked(stream.exchange):
                self._note(
                    stream, 'left_alone', view, crash_tracker.BLOCK_REASON
                )
            elif not stream.has_position:
                self._note(stream, 'left_alone', view, stream_.NO_POSITION)
            elif self._ends_in_time(stream, gone_at):
                self._note(stream, 'left_alone', view)
            else:
                self._spawn('move', self.move, stream, view)

    def move(
        self, stream: stream_.Stream, view: upstream_view.UpstreamView
    ) -> None:
        """Migrate one stream to the upstream that placement selects."""
        exchange = stream.exchange
        reservation = self._placement.choose(
            exchange, stream.service, {view.name}
        )
        if reservation is None:
            self._note(stream, 'nowhere_to_move', view)
            return
        stream.begin_migration()
        copy: ty.Union[KvCopy, failures.Failure] = failures.unknown('cut_off')
        try:
            copy = self._control.move(
                view.address, exchange.id, reservation.view.address
            )
        finally:
            if not isinstance(copy, KvCopy):
                reservation.release()
                stream.end_migration(None)
        if isinstance(copy, failures.Failure):
            self._note(stream, 'not_moved', view, copy.reason)
            return
        if not copy.is_at_target:
            reservation.release()
            reservation = placement.Reservation(view, exchange)
        self._note(stream, 'moved', view, reservation.view.name)
        stream.end_migration(stream_.MigratedRun(reservation, copy.location))

    def _ends_in_time(self, stream: stream_.Stream, gone_at: int) -> bool:
        expected = stream.expected_end(self._clock.now())
        return expected is not None and expected <= gone_at - _END_MARGIN_MS

    def _note(
        self,
        stream: stream_.Stream,
        event: str,
        view: upstream_view.UpstreamView,
        detail: str = '',
    ) -> None:
        self._decisions.note(
            stream.exchange.id,
            event,
            upstream=view.name,
            last_event=stream.reader.last_id,
            detail=detail,
        )
