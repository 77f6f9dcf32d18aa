"""Stand-in for a model engine; does continuous batching in real time."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import json
import typing as ty

from peridotmast import failures
from peridotmast import green
from peridotmast.platform import names
from peridotmast.standin import answers
from peridotmast.standin import http_standin
from peridotmast.standin import stream_errors
from peridotmast.standin import upstream_app
from peridotmast import web
from peridotmast.wire import http_client
from peridotmast.wire import strict_protocol

_COPY_RETENTION_MS = 5000
_UNLIMITED_MS = 600_000
_DEFAULT_ANSWER_TOKENS = 20


@dataclasses.dataclass
class EngineProfile:
    """Speed and capacity of an engine."""

    step_ms: float = 8
    """Duration of a step, which generates one token per running request."""
    batch_size: int = 32
    """Requests that are processed in one step."""
    prefill_tokens_per_step: int = 512
    """Prompt tokens that one step prefills, over all requests."""
    tokens_per_event: int = 2
    """Tokens in one event of a stream."""
    move_tokens_per_ms: float = 200
    """Rate at which a run is copied to another engine."""
    cache_parts: int = 4096
    """Prompt parts that the prefix cache holds."""
    boot_ms: int = 300
    """Time from an order to the start of the engine."""


@dataclasses.dataclass
class Run:
    """One request that the engine processes or holds in its memory."""

    request_id: str
    prompt_tokens: int
    """Tokens of the prompt."""
    prefill_left: int
    """Tokens that are still to be prefilled."""
    answer_tokens: int
    """Tokens of the complete answer."""
    seed: int
    generated: int = 0
    """Tokens generated so far."""
    priority: int = 5
    stopped: bool = False
    stopped_at: int = 0
    changed: ty.Any = dataclasses.field(default_factory=green.Event)

    @property
    def ended(self) -> bool:
        """Whether the answer is complete."""
        return self.generated >= self.answer_tokens

    def wake(self) -> None:
        """Wake the stream that waits for new events."""
        changed, self.changed = self.changed, green.Event()
        changed.send()


class Engine(http_standin.HttpStandin['_EngineApp']):
    """One incarnation of a stand-in engine.

    Parameters
    ----------
    name : str
        Id of the engine; a restarted one keeps it.
    address : str
        ``IP:port`` to listen on; port 0 selects a free one.
    profile : EngineProfile
        Its speed and capacity.
    seed : int
        Seed of the injected faults.
    """

    def __init__(
        self,
        name: str,
        address: str = '127.0.0.1:0',
        profile: ty.Optional[EngineProfile] = None,
        seed: int = 0,
    ) -> None:
        self.name = name
        self.profile = profile or EngineProfile()
        self._seed = seed
        super().__init__(_EngineApp(self, seed), address)

    @property
    def totals(self) -> collections.Counter[str]:
        """Numbers of tokens, by kind.

        ``generated``; ``read``, which counts prefilled tokens;
        ``recomputed``, those of them prefilled to resume a stream; ``moved``.
        """
        return self.app.totals

    def stop(self) -> None:
        """Stop abruptly, as when its VM is reclaimed."""
        self.app.step_task.kill()
        super().stop()

    def restarted(self) -> Engine:
        """Return a new engine with the same id and address, after `stop`."""
        return Engine(self.name, self.address, self.profile, self._seed)

    def stall_streams(self, ms: int = _UNLIMITED_MS) -> None:
        """Stall the streams that are open now; later ones are not affected.

        Parameters
        ----------
        ms : int
            Duration; in effect unlimited by default.
        """
        self.app.stall_streams(ms)


class _EngineApp(upstream_app.UpstreamApp):
    def __init__(self, engine: Engine, seed: int) -> None:
        slots = 4 * engine.profile.batch_size
        super().__init__(engine.name, slots, seed)
        self._engine = engine
        self._profile = engine.profile
        self._running: list[Run] = []
        self._waiting: list[tuple[int, int, Run]] = []
        self._copies: dict[str, Run] = {}
        self._by_id: dict[str, Run] = {}
        self._cache: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._work_available = green.Event()
        self.numbers = itertools.count(1)
        """Numbers streams, queued runs and handles, in order."""
        self._stalled_below = 0
        self._stalled_until = 0
        self.totals: collections.Counter[str] = collections.Counter()
        self.ended_early: set[str] = set()
        """Ids of the requests that were answered with an early end. Engines
        may share it: a stream has ended once two of them state its end."""
        self.moves_refused = False
        """Whether it refuses copies of runs from other engines."""
        self.leaves_at = 0
        """Time at which its VM is reclaimed, in ms; 0 if none is announced."""
        self.route('GET', names.REPORT_PATH, self._report)
        self.route('POST', names.MOVE_PATH, self._move)
        self.route('POST', '/standin/copy', self._take_copy)
        self.step_task = green.spawn(self._run_steps)

    def stall_streams(self, ms: int) -> None:
        """Stall the streams that are open now, for `ms`."""
        self._stalled_below = next(self.numbers)
        self._stalled_until = self._clock.now() + ms

    def answer(
        self,
        request_id: str,
        environ: dict[str, ty.Any],
        body: bytes,
        start: ty.Callable[..., ty.Any],
    ) -> ty.Iterable[bytes]:
        """Stream the events after the last one that the request names."""
        run = self._start_run(request_id, environ, body)
        if run is None:
            headers = [(names.NOT_RUN, '1'), (names.REQUEST_ID, request_id)]
            start('503 Service Unavailable', headers)
            return
        headers = self.answer_headers(request_id)
        last = upstream_app.header(environ, names.LAST_EVENT)
        error = self._draw_resume_error(request_id) if last else None
        if error is not None:
            run.stopped = True
            length = str(len(error.body))
            headers.append(('Content-Type', error.media_type))
            start(error.status, [*headers, ('Content-Length', length)])
            yield error.body
            return
        start('200 OK', [*headers, ('Content-Type', 'text/event-stream')])
        environ['eventlet.minimum_write_chunk_size'] = 1
        yield from self._events(run, int(last or 0), environ)

    def _draw_resume_error(
        self, request_id: str
    ) -> ty.Optional[stream_errors.ResumeError]:
        for name, error in stream_errors.RESUME_ERRORS.items():
            is_end = name == stream_errors.EARLY_END
            if is_end and request_id in self.ended_early:
                continue
            if self.fault_occurs(name):
                self.ended_early.update([request_id] if is_end else ())
                return error
        return None

    def _events(
        self, run: Run, sent: int, environ: dict[str, ty.Any]
    ) -> ty.Iterator[bytes]:
        stream_number = next(self.numbers)
        conn = environ[strict_protocol.CONNECTION]
        step_ms = self._profile.step_ms * self._profile.tokens_per_event
        pause_ms = step_ms * (self.delay_factor(environ) - 1)
        try:
            while True:
                ended, ready = run.ended, self._events_ready(run)
                for event in range(sent + 1, ready + 1):
                    data = self._event(run, event)
                    if stream_number < self._stalled_below:
                        remaining = self._stalled_until - self._clock.now()
                        green.sleep_ms(max(0, remaining))
                    if pause_ms:
                        green.sleep_ms(pause_ms)
                    if self.fault_occurs('cut'):
                        conn.reset()
                        yield data[: len(data) // 2]
                        raise ConnectionResetError(
                            'injected fault: stream cut within an event'
                        )
                    if self.fault_occurs('error_in_stream'):
                        yield stream_errors.IN_STREAM
                        conn.reset()
                        raise ConnectionResetError(
                            'injected fault: error inside a stream'
                        )
                    yield data
                    sent = event
                if ended:
                    return
                if run.stopped:
                    conn.reset()
                    raise ConnectionResetError(
                        'the run moved to another engine'
                    )
                if not run.ended:
                    run.changed.wait()
        finally:
            if not run.ended and not run.stopped:
                # The sender disconnected before the answer ended.
                run.stopped = True

    def _events_ready(self, run: Run) -> int:
        full, rest = divmod(run.generated, self._profile.tokens_per_event)
        return full + (1 if rest and run.ended else 0)

    def _event(self, run: Run, number: int) -> bytes:
        first = (number - 1) * self._profile.tokens_per_event
        last = min(run.answer_tokens, first + self._profile.tokens_per_event)
        text = ''.join(
            answers.token(run.seed, position)
            for position in range(first, last)
        )
        data = json.dumps({'text': text})
        return f'id: {number}\ndata: {data}\n\n'.encode()

    def _start_run(
        self, request_id: str, environ: dict[str, ty.Any], body: bytes
    ) -> ty.Optional[Run]:
        copy_id = upstream_app.header(environ, names.COPY_FROM)
        if copy_id:
            run = self._copies.pop(copy_id, None)
            if run is None:
                return None
            # A moved run was counted at the engine where it began.
            self.runs[request_id] -= 1
        else:
            run = self._new_run(request_id, environ, body)
        run.stopped = False
        run.priority = int(
            upstream_app.header(environ, names.PRIORITY) or run.priority
        )
        self._by_id[request_id] = run
        entry = (run.priority, next(self.numbers), run)
        heapq.heappush(self._waiting, entry)
        if not self._work_available.ready():
            self._work_available.send()
        return run

    def _new_run(
        self, request_id: str, environ: dict[str, ty.Any], body: bytes
    ) -> Run:
        counts = upstream_app.header(environ, names.TOKEN_COUNTS).split(',')
        prompt_tokens = int(counts[0] or 1)
        answer_tokens = (
            int(counts[1]) if len(counts) > 1 else _DEFAULT_ANSWER_TOKENS
        )
        last = upstream_app.header(environ, names.LAST_EVENT)
        generated = int(last or 0) * self._profile.tokens_per_event
        cached = self._take_prefix(environ)
        prefill_left = max(1, prompt_tokens + generated - cached)
        self.totals['read'] += prefill_left
        if last:
            self.totals['recomputed'] += prefill_left
        seed = answers.answer_seed('', '', body.decode('latin-1'))
        return Run(
            request_id,
            prompt_tokens,
            prefill_left,
            max(1, answer_tokens),
            seed,
            generated,
        )

    def _take_prefix(self, environ: dict[str, ty.Any]) -> int:
        """Return the size of the cached prefix, and cache the whole prompt."""
        cached, is_prefix = 0, True
        for part in upstream_app.header(environ, names.PROMPT_PARTS).split(
            ','
        ):
            name, _, size = part.partition(':')
            if not name:
                continue
            if name in self._cache and is_prefix:
                cached += int(size)
                self._cache.move_to_end(name)
            else:
                is_prefix = False
                self._cache[name] = int(size)
        while len(self._cache) > self._profile.cache_parts:
            self._cache.popitem(last=False)
        return cached

    def _run_steps(self) -> None:
        due = float(self._clock.now())
        while True:
            self._admit()
            if not self._running:
                self._work_available = green.Event()
                self._work_available.wait()
                due = float(self._clock.now())
                continue
            due += self._profile.step_ms
            green.sleep_ms(max(0, due - self._clock.now()))
            self._step()

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._profile.batch_size:
            run = heapq.heappop(self._waiting)[2]
            if not run.stopped:
                self._running.append(run)

    def _step(self) -> None:
        budget = self._profile.prefill_tokens_per_step
        for run in self._running:
            if run.stopped:
                continue
            if run.prefill_left > 0:
                prefilled = min(budget, run.prefill_left)
                run.prefill_left -= prefilled
                budget -= prefilled
                continue
            run.generated += 1
            self.totals['generated'] += 1
            run.wake()
        self._running = [
            run for run in self._running if not (run.ended or run.stopped)
        ]

    def _report(self, req: web.Request) -> web.Response:
        report: dict[str, ty.Any] = {
            'phase': 'colocated',
            'queued-reqs': len(self._waiting),
            'active-reqs': len(self._running),
            'kv-used': sum(
                r.prompt_tokens + r.generated for r in self._running
            ),
            'state': 'draining' if self.draining else 'ready',
            names.RUNS: [
                [
                    r.request_id,
                    r.prompt_tokens + r.generated,
                    r.generated,
                    r.priority,
                ]
                for r in self._running
            ],
        }
        if self.leaves_at:
            remaining = max(0, self.leaves_at - self._clock.now())
            report[names.LEAVES_MS] = remaining
        return web.json_response(report)

    def _move(self, req: web.Request) -> web.Response:
        """Copy a run to another engine; with ``last``, stop it here first."""
        body = req.json()
        run = self._by_id.get(body['id'])
        if run is None or run.ended or run.stopped:
            return web.error_response(404, 'no_run', body['id'])
        if body.get(names.LAST):
            run.stopped = True
        size = run.prompt_tokens + run.generated
        green.sleep_ms(size / self._profile.move_tokens_per_ms)
        handle = f'h{next(self.numbers)}'
        # Two engines may issue the same handle, so a copy is identified by
        # the address of the engine that issued it and the handle.
        copy_id = f'{req.header("Host")}/{handle}'
        reply = http_client.HttpClient(2000).request(
            'POST',
            body[names.TARGET],
            '/standin/copy',
            {
                'name': copy_id,
                'id': run.request_id,
                'size': run.prompt_tokens,
                'unread': run.prefill_left,
                'wanted': run.answer_tokens,
                'seed': run.seed,
                'made': run.generated,
            },
        )
        self.totals['moved'] += size
        answer = {
            names.HANDLE: handle,
            names.CREATED: self._events_ready(run),
        }
        if run.stopped:
            self._copies[copy_id] = run
            run.stopped_at = self._clock.now()
            run.wake()
        if isinstance(reply, failures.Failure) or reply.status != 200:
            return web.json_response(answer, 503)
        return web.json_response(answer)

    def _take_copy(self, req: web.Request) -> web.Response:
        if self.moves_refused:
            return web.error_response(503, 'no_room', self.name)
        body = req.json()
        self._copies[body['name']] = Run(
            body['id'],
            body['size'],
            body['unread'],
            body['wanted'],
            body['seed'],
            body['made'],
        )
        return web.json_response({})
