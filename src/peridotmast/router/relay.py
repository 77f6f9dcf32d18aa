"""One chat request on its way through upstreams to its answer's end."""

from __future__ import annotations

import dataclasses
import enum
import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import green
from peridotmast import http_client
from peridotmast import invariants as invariants_
from peridotmast.router import admission as admission_
from peridotmast.router import call as call_
from peridotmast.router import frames
from peridotmast.router import ledger as ledger_
from peridotmast.router import prefix_record
from peridotmast.router import retry
from peridotmast.router import router_metrics
from peridotmast.router import upstreams as upstreams_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast import tracing

_REATTACHES = 3
_MOVE_WAIT_MS = 2500
_FOLLOW_MS = 10
_TAKEOVER_MS = 500
_Promise = invariants_.Promise


class Broken(enum.Enum):
    """Why an attempt ended before the answer did."""

    NOT_SENT = 'not_sent'
    """Nothing was sent; any upstream may be tried."""

    BROKE_OFF = 'broke_off'
    """The connection ended or went silent; the stream may go on."""

    NO_STREAM = 'no_stream'
    """The upstream has no such stream (any more)."""

    STOPPED = 'stopped'
    """The upstream stopped the stream at a known position."""

    REFUSED = 'refused'
    """The upstream said that it did not run it."""

    SUPERSEDED = 'superseded'
    """Another connection of the caller's reads the stream now."""

    HANDED_OVER = 'handed_over'
    """A peer goes on with it."""


@dataclasses.dataclass
class Moved:
    """Last item of a stream that goes on at another router."""

    address: str


Item = ty.Union[list[str], Moved, failures.Failure]
"""Next tokens, or how the stream ends early."""


class ChatRelay:
    """Runs chat requests; one object serves all of a router's.

    Parameters
    ----------
    cfg : pb.RouterSettings
        Time limits and the way to resume.
    clock : clock.Clock
        Times deadlines.
    admission : admission.Admission
        Gives places.
    table : upstreams.UpstreamTable
        Is told how upstreams do.
    ledger : ledger.Ledger
        Keeps the answers.
    pacer : retry.RetryPacer
        Paces further attempts.
    checks : invariants.Invariants
        Where broken promises are reported.
    metrics : router_metrics.RouterMetrics
        Counts.
    tracer : tracing.Tracing
        Spans, one for each attempt.
    """

    def __init__(
        self,
        cfg: pb.RouterSettings,
        clock: clock_.Clock,
        admission: admission_.Admission,
        table: upstreams_.UpstreamTable,
        ledger: ledger_.Ledger,
        pacer: retry.RetryPacer,
        checks: invariants_.Invariants,
        metrics: router_metrics.RouterMetrics,
        tracer: tracing.Tracing,
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._admission = admission
        self._table = table
        self._ledger = ledger
        self._pacer = pacer
        self._checks = checks
        self._metrics = metrics
        self._tracer = tracer
        self.active = 0
        """Streams being relayed."""

    def stream(
        self,
        call: call_.Call,
        entry: ledger_.Entry,
        place: ty.Optional[admission_.Place],
        position: int,
    ) -> ty.Iterator[Item]:
        """Yield the answer's tokens from `position` on.

        Parameters
        ----------
        place : admission.Place or None
            Where to begin; None to go on where the entry says.
        """
        journey = _Journey(call, entry, position)
        self.active += 1
        entry.connections += 1
        try:
            yield from self._run(journey, place)
        finally:
            self.active -= 1
            entry.connections -= 1
            if entry.reader is journey:
                entry.reader = None
            entry.since = self._clock.now()

    def _run(
        self, journey: _Journey, place: ty.Optional[admission_.Place]
    ) -> ty.Iterator[Item]:
        while True:
            if tokens := journey.new_tokens():
                yield tokens
            ending = self._ending(journey)
            if ending is not None:
                if place is not None:
                    place.release()
                yield from ending
                return
            if not self._may_read(journey):
                if place is not None:
                    place.release()
                    place = None
                green.sleep_ms(_FOLLOW_MS)
                continue
            if place is None:
                found = self._next_place(journey)
                if isinstance(found, failures.Failure):
                    self._give_up(journey, found)
                    yield found
                    return
                place = found
            try:
                journey.broken = yield from self._attempt(journey, place)
            finally:
                place.release()
            place = None

    def _ending(self, journey: _Journey) -> ty.Optional[list[Item]]:
        """Return what ends the stream now, or None to go on."""
        entry = journey.entry
        if len(entry.tokens) >= entry.max_tokens:
            if not entry.ended:
                self._ledger.end(entry, ledger_.DONE)
            return []
        if entry.handed_to:
            return [Moved(entry.handed_to)]
        if entry.state == ledger_.UNKNOWN:
            return [failures.unknown('outcome_unknown')]
        return None

    def _may_read(self, journey: _Journey) -> bool:
        """Return whether this connection reads the upstream.

        One of a request's connections does, and the others follow the
        tokens that it takes in. Where it stands still for longer than an
        upstream may, its caller is gone, and another takes its place.
        """
        entry = journey.entry
        stands_still = self._clock.now() - entry.progress_at
        patience = self._cfg.first_byte_timeout_ms + _TAKEOVER_MS
        if entry.reader is None or stands_still > patience:
            entry.reader = journey
        if entry.reader is not journey:
            return False
        entry.progress_at = self._clock.now()
        return True

    # ------------------------------------------------------------- attempts

    def _attempt(
        self, journey: _Journey, place: admission_.Place
    ) -> ty.Generator[Item, None, Broken]:
        """Yield what one upstream gives; return why it ended."""
        view = place.view
        span = self._tracer.start(
            'router.upstream',
            journey.call.traceparent,
            upstream=view.name,
            position=len(journey.entry.tokens),
        )
        stream = http_client.Stream(
            view.address,
            self._cfg.connect_timeout_ms,
            self._cfg.first_byte_timeout_ms,
        )
        try:
            broken = self._open(journey, view, stream, span)
            if broken is None:
                broken = yield from self._read(journey, view, stream)
            span.set_attribute('ended', broken.value)
        finally:
            stream.close()
            span.end()
        self._judge(view, broken)
        return broken

    def _open(
        self,
        journey: _Journey,
        view: upstreams_.UpstreamView,
        stream: http_client.Stream,
        span: ty.Any,
    ) -> ty.Optional[Broken]:
        if stream.connect() is not None:
            return Broken.NOT_SENT
        headers = {'traceparent': tracing.traceparent_of(span)}
        if journey.attach_to == view.name:
            path = (
                f'/v1/streams/{journey.call.stream_id}'
                f'?position={len(journey.entry.tokens)}'
            )
            status = stream.send('GET', path, headers=headers)
        else:
            if not self._may_start(journey, view):
                return Broken.NOT_SENT
            body = self._start_body(journey)
            status = stream.send('POST', '/v1/streams', body, headers)
        if status == 200:
            return None
        if status == 404:
            return self._not_there(journey, view)
        if status == 503 and journey.attach_to != view.name:
            return Broken.REFUSED
        return Broken.BROKE_OFF

    def _not_there(
        self, journey: _Journey, view: upstreams_.UpstreamView
    ) -> Broken:
        if journey.attach_to == view.name:
            return Broken.NO_STREAM
        view.models_missing[journey.call.model] = self._clock.now()
        return Broken.REFUSED

    def _may_start(
        self, journey: _Journey, view: upstreams_.UpstreamView
    ) -> bool:
        """Check, with nothing between this and sending, that it may be."""
        entry = journey.entry
        if view.record.state != upstreams_.LIVE:
            return False
        if journey.superseded or entry.handed_to:
            return False
        if self._ledger.closed and not entry.idempotent:
            return False
        first = entry.state == ledger_.ACCEPTED or entry.frozen
        self._checks.check(
            _Promise.ONE_DISPATCH, entry.idempotent or first, entry.key
        )
        self._checks.check(
            _Promise.NO_WORK_TO_LEAVING, view.left_at == 0, view.name
        )
        if not entry.idempotent and not first:
            return False
        entry.attempts += 1
        entry.upstream, entry.target = view.name, ''
        entry.frozen = False
        if entry.state == ledger_.ACCEPTED:
            entry.set_state(ledger_.SENT)
        journey.attach_to = view.name
        blocks = prefix_record.prefix_blocks(journey.call.prompt)
        view.prefixes.sent(blocks)
        return True

    def _start_body(self, journey: _Journey) -> dict[str, ty.Any]:
        call, entry = journey.call, journey.entry
        tokens = entry.tokens if self._cfg.resume else []
        return {
            'stream_id': call.stream_id,
            'model': call.model,
            'adapter': call.adapter,
            'prompt': call.prompt,
            'max_tokens': call.max_tokens,
            'priority': call.work,
            'tokens': tokens,
            'position': len(tokens),
            'attempt': entry.attempts + (journey.resumed and not tokens),
            'done': max(len(entry.tokens), journey.position),
        }

    def _read(
        self,
        journey: _Journey,
        view: upstreams_.UpstreamView,
        stream: http_client.Stream,
    ) -> ty.Generator[Item, None, Broken]:
        reader = frames.FrameReader()
        # Each connection has a first token of its own to wait for.
        journey.started_at = 0
        while True:
            data = stream.read_some()
            if journey.superseded:
                return Broken.SUPERSEDED
            if journey.entry.handed_to:
                return Broken.HANDED_OVER
            if isinstance(data, failures.Failure) or not data:
                return Broken.BROKE_OFF
            try:
                ended = self._take(journey, view, reader.feed(data))
            except (ValueError, KeyError, TypeError):
                return Broken.BROKE_OFF
            if tokens := journey.new_tokens():
                journey.tries = 0
                first = journey.started_at == 0
                yield tokens
                if first:
                    journey.started_at = self._clock.now()
                    stream.set_silence(self._cfg.token_timeout_ms)
                elif not ended:
                    self._coalesce(journey, len(tokens))
            if ended is not None:
                return ended

    def _take(
        self,
        journey: _Journey,
        view: upstreams_.UpstreamView,
        items: list[dict[str, ty.Any]],
    ) -> ty.Optional[Broken]:
        """Take frames in; return why the stream ends, if it does."""
        entry = journey.entry
        entry.progress_at = self._clock.now()
        own = journey.call.stream_id
        for frame in items:
            if frame['s'] != own:
                self._metrics.foreign_frames.inc()
                return Broken.BROKE_OFF
            if 't' in frame:
                position = frame['p']
                if position == len(entry.tokens):
                    self._append(journey, frame)
                elif position > len(entry.tokens):
                    return Broken.BROKE_OFF
                continue
            if load := frame.get('load'):
                self._table.report(view, load['running'], load['waiting'])
            if start := frame.get('start'):
                self._metrics.recomputed.inc(start.get('recomputed', 0))
            if 'end' in frame:
                return self._ended(entry, frame)
        return None

    def _append(self, journey: _Journey, frame: dict[str, ty.Any]) -> None:
        """Take one token in, and check what must hold whenever one is."""
        entry, check = journey.entry, self._checks.check
        grows = frame['p'] == len(entry.tokens) < entry.max_tokens
        check(_Promise.POSITION_GROWS, grows, entry.key)
        own = frame['s'] == journey.call.stream_id
        check(_Promise.OWN_ANSWER, own, entry.key)
        check(_Promise.ONE_OWNER, not journey.superseded, entry.key)
        entry.tokens.append(frame['t'])

    def _ended(self, entry: ledger_.Entry, frame: dict[str, ty.Any]) -> Broken:
        if frame['n'] != len(entry.tokens):
            return Broken.BROKE_OFF
        if frame['end']:
            entry.max_tokens = len(entry.tokens)
        else:
            # The upstream itself says that it stopped right here.
            entry.frozen = True
        return Broken.STOPPED

    def _coalesce(self, journey: _Journey, count: int) -> None:
        """Under load, let the next tokens gather and share one write.

        Tokens that come further apart than that have nothing to share.
        """
        now = self._clock.now()
        gap = now - journey.read_at
        journey.read_at = now
        window = self._cfg.coalesce_ms
        fast = count > 1 or gap < window
        if fast and self.active >= self._cfg.coalesce_streams:
            green.sleep_ms(window)

    def _judge(self, view: upstreams_.UpstreamView, broken: Broken) -> None:
        if broken in (Broken.NOT_SENT, Broken.BROKE_OFF):
            self._table.failed(view)
        elif broken is Broken.STOPPED:
            self._table.succeeded(view)

    # ------------------------------------------------------- between attempts

    def _next_place(
        self, journey: _Journey
    ) -> ty.Union[admission_.Place, failures.Failure]:
        """Decide where the request goes on, and wait for a place there."""
        entry, call = journey.entry, journey.call
        if call.deadline <= self._clock.now():
            return failures.unknown('deadline', 'not answered in time')
        if journey.broken is Broken.STOPPED:
            self._await_move(journey)
        if place := self._same_upstream(journey):
            return place
        journey.attach_to = ''
        if self._ledger.closed and entry.state == ledger_.ACCEPTED:
            return failures.not_run('leaving', '', 200)
        if not self._may_run_elsewhere(entry, journey.broken):
            return failures.unknown(
                'outcome_unknown', 'the upstream was lost; it may have run'
            )
        journey.tries += 1
        if journey.tries > self._cfg.attempts:
            return failures.unknown('attempts', 'no upstream held out')
        if journey.broken is not Broken.STOPPED:
            self._metrics.retries.inc()
            green.sleep_ms(self._pacer.delay_ms(journey.tries))
        if place := self._moved_to(entry):
            return place
        avoid = [entry.upstream] if entry.upstream else []
        return self._admission.place(call, avoid)

    def _same_upstream(
        self, journey: _Journey
    ) -> ty.Optional[admission_.Place]:
        """Return the upstream again where its stream may still be going."""
        entry = journey.entry
        view = self._table.get(entry.upstream)
        lost = journey.broken in (
            Broken.NO_STREAM,
            Broken.STOPPED,
            Broken.REFUSED,
        )
        if (
            view is None
            or lost
            or entry.frozen
            or entry.state == ledger_.ACCEPTED
            or view.record.state == upstreams_.GONE
            or journey.reattaches >= _REATTACHES
        ):
            return None
        journey.reattaches += 1
        journey.attach_to = view.name
        if journey.reattaches > 1:
            green.sleep_ms(self._pacer.delay_ms(journey.reattaches))
        return self._admission.take(view)

    def _moved_to(self, entry: ledger_.Entry) -> ty.Optional[admission_.Place]:
        view = self._table.get(entry.target) if entry.target else None
        if view is None or view.record.state != upstreams_.LIVE:
            return None
        return self._admission.take(view)

    def _await_move(self, journey: _Journey) -> None:
        """Wait until the move that stopped the stream has its result."""
        deadline = self._clock.now() + _MOVE_WAIT_MS
        while journey.entry.moving and self._clock.now() < deadline:
            green.sleep_ms(2)

    def _may_run_elsewhere(
        self, entry: ledger_.Entry, broken: ty.Optional[Broken]
    ) -> bool:
        if entry.idempotent or entry.frozen:
            return True
        if broken is Broken.REFUSED and not entry.tokens:
            entry.set_state(ledger_.ACCEPTED)
        return entry.state == ledger_.ACCEPTED

    def _give_up(self, journey: _Journey, failure: failures.Failure) -> None:
        entry = journey.entry
        if not entry.ended and not journey.superseded:
            self._ledger.give_up(entry)


class _Journey:
    """One connection's way through the attempts."""

    def __init__(
        self,
        call: call_.Call,
        entry: ledger_.Entry,
        position: int,
    ) -> None:
        self.call = call
        self.entry = entry
        self.position = position
        self.resumed = position > 0
        self.tries = 0
        self.reattaches = 0
        self.attach_to = ''
        self.started_at = 0
        self.read_at = 0
        self.broken: ty.Optional[Broken] = None

    @property
    def superseded(self) -> bool:
        return self.entry.reader is not self

    def new_tokens(self) -> list[str]:
        """Return tokens that the caller does not have yet."""
        tokens = self.entry.tokens[self.position :]
        self.position += len(tokens)
        return tokens
