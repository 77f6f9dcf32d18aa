"""Moves running streams off upstreams that leave, by what is lost."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import green
from peridotmast import logs
from peridotmast.serving import decisions as decisions_
from peridotmast.serving import placement
from peridotmast.serving import stream_relay
from peridotmast.serving import upstream_view
from peridotmast.serving import upstreams as upstreams_

_LAST_MS = 800
"""How long before an upstream is taken its streams are moved. Most end by
themselves until then, and what is moved is paid for by its memory; a move
takes tens of ms, and some time is left for a second try."""

_REPORT_LAG_MS = 400
"""Time after which an engine's report shows that it leaves: reports are a
few hundred ms old."""

_SPARE_MS = 250
"""Time that a stream must have left beyond its own end to be left alone."""


@dataclasses.dataclass(frozen=True)
class KvCopy:
    """A stopped run's memory."""

    location: str
    """Where it lies, as engines name it."""
    is_at_target: bool
    """Whether the target has it; else it is still at the source."""


class EngineControl(ty.Protocol):
    """What engines do for routers beside running requests."""

    def leaves_ms(
        self, address: str, born: int
    ) -> ty.Union[int, failures.Failure]:
        """Return how long an engine will be there; 0 where it can't say.

        Parameters
        ----------
        born : int
            When the run that is meant began; 0 where that is not known.
        """

    def move(
        self, address: str, request_id: str, target: str
    ) -> ty.Union[KvCopy, failures.Failure]:
        """Stop a run and copy its memory to another engine."""


class StreamMigrator:
    """Sees to the streams of this router at upstreams that leave.

    A stream that will end in time is left; the others go on elsewhere from
    where they are, with their memory, so nothing is read or run again.

    Parameters
    ----------
    clock : clock.Clock
        Times the leaving.
    relay : stream_relay.StreamRelay
        Knows the streams.
    places : placement.Placement
        Chooses where they go on.
    control : EngineControl
        Moves them.
    decisions : decisions.Decisions
        Notes it for each request.
    spawn : callable
        Runs a task.
    drain_ms : int
        How long an upstream stays that does not say how long.
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
        self._places = places
        self._control = control
        self._decisions = decisions
        self._spawn = spawn
        self._drain_ms = drain_ms
        self._leaving: set[str] = set()
        self._log = logs.get('mover')

    def on_change(self, view: upstream_view.UpstreamView) -> None:
        """Take note of an upstream whose state has changed."""
        leaves = view.record.state in (upstreams_.LEAVING, upstreams_.GONE)
        if not leaves or view.run in self._leaving:
            return
        if any(s.service.moves for s in self._relay.streams_at(view)):
            self._leaving.add(view.run)
            self._spawn('move_off', self._move_off, view)

    def _move_off(self, view: upstream_view.UpstreamView) -> None:
        began = self._clock.now()
        green.sleep_ms(_REPORT_LAG_MS)
        left = self._control.leaves_ms(view.address, view.born)
        told = not isinstance(left, failures.Failure) and left > 0
        ends = began + self._drain_ms
        if not isinstance(left, failures.Failure) and left:
            ends = self._clock.now() + left
        self._log.info(
            'upstream_leaves',
            upstream=view.name,
            left_ms=ends - self._clock.now(),
            told=told,
            streams=len(self._relay.streams_at(view)),
        )
        green.sleep_ms(max(0, ends - _LAST_MS - self._clock.now()))
        for stream in self._relay.streams_at(view):
            if self._ends_in_time(stream, ends):
                self._note(stream, 'left_alone', view)
            else:
                self._spawn('move', self.move, stream, view)

    def move(
        self, stream: stream_relay.Stream, view: upstream_view.UpstreamView
    ) -> None:
        """Move one stream to where it fits best."""
        exchange = stream.exchange
        place = self._places.choose(exchange, stream.service, {view.name})
        if place is None:
            self._note(stream, 'nowhere_to_move', view)
            return
        stream.move_begins()
        copy: ty.Union[KvCopy, failures.Failure] = failures.unknown('cut_off')
        try:
            copy = self._control.move(
                view.address, exchange.id, place.view.address
            )
        finally:
            if not isinstance(copy, KvCopy):
                place.release()
                stream.move_ends(None)
        if isinstance(copy, failures.Failure):
            self._note(stream, 'not_moved', view, copy.reason)
            return
        if not copy.is_at_target:
            place.release()
            place = placement.Reservation(view, exchange)
        self._note(stream, 'moved', view, place.view.name)
        stream.move_ends(stream_relay.Moved(place, copy.location))

    def _ends_in_time(self, stream: stream_relay.Stream, ends: int) -> bool:
        expected = stream.expected_end(self._clock.now())
        return expected is not None and expected <= ends - _SPARE_MS

    def _note(
        self,
        stream: stream_relay.Stream,
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
