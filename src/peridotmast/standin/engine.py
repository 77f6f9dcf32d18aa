"""Stand-in for a model engine with continuous batching in real time."""

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
from peridotmast.standin import listening
from peridotmast.standin import upstream_app
from peridotmast import web
from peridotmast.wire import http_client
from peridotmast.wire import strict_protocol

_COPY_KEPT_MS = 5000
_FOR_GOOD_MS = 600_000
_DEFAULT_OUT = 20


@dataclasses.dataclass
class EngineTimes:
    """How fast an engine works."""

    step_ms: float = 8
    batch: int = 32
    read_per_step: int = 512
    """Tokens of prompts that are read in one step."""
    stride: int = 2
    """Tokens in one event."""
    move_tokens_per_ms: float = 200
    cache_parts: int = 4096
    boot_ms: int = 300


@dataclasses.dataclass
class Run:
    """One request that the engine works on, or has in memory."""

    request_id: str
    size: int
    """Tokens of its prompt."""
    unread: int
    """Tokens of it that are still to be read."""
    wanted: int
    """Tokens of its answer."""
    seed: int
    made: int = 0
    """Tokens generated so far."""
    priority: int = 5
    stopped: bool = False
    stopped_at: int = 0
    changed: ty.Any = dataclasses.field(default_factory=green.Event)

    @property
    def ended(self) -> bool:
        """Whether its answer is complete."""
        return self.made >= self.wanted

    def wake(self) -> None:
        """Let its reader look again."""
        changed, self.changed = self.changed, green.Event()
        changed.send()


class Engine(listening.Listening['_EngineApp']):
    """One run of one engine.

    Parameters
    ----------
    name : str
        Id of this run.
    address : str
        ``IP:port`` to listen on; port 0 takes a free one.
    times : EngineTimes
        How fast it works.
    """

    def __init__(
        self,
        name: str,
        address: str = '127.0.0.1:0',
        times: ty.Optional[EngineTimes] = None,
        seed: int = 0,
    ) -> None:
        self.name = name
        self.times = times or EngineTimes()
        self._seed = seed
        super().__init__(_EngineApp(self, seed), address)

    @property
    def totals(self) -> collections.Counter[str]:
        """Tokens ``generated``, ``read``, ``recomputed`` and ``moved``."""
        return self.app.totals

    def stop(self) -> None:
        """Die at once, as a reclaimed VM does."""
        self.app.loop.kill()
        super().stop()

    def again(self) -> Engine:
        """Return the next run under its id and address, once it is dead."""
        return Engine(self.name, self.address, self.times, self._seed)

    def mute(self, ms: int = _FOR_GOOD_MS) -> None:
        """Let the open streams go silent while new ones work.

        Parameters
        ----------
        ms : int
            How long; for good by default.
        """
        self.app.mute(ms)


class _EngineApp(upstream_app.UpstreamApp):
    def __init__(self, engine: Engine, seed: int) -> None:
        slots = 4 * engine.times.batch
        super().__init__(engine.name, slots, seed)
        self._engine = engine
        self._times = engine.times
        self._running: list[Run] = []
        self._waiting: list[tuple[int, int, Run]] = []
        self._copies: dict[str, Run] = {}
        self._by_id: dict[str, Run] = {}
        self._cache: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._work = green.Event()
        self.numbers = itertools.count(1)
        self._mute_before = 0
        self._mute_until = 0
        self.totals: collections.Counter[str] = collections.Counter()
        self.moves_refused = False
        """Whether it takes no copies."""
        self.leaves_at = 0
        """Moment at which its VM is taken, in ms; 0 unless it was told."""
        self.route('GET', names.REPORT_PATH, self._report)
        self.route('POST', names.MOVE_PATH, self._move)
        self.route('POST', '/standin/copy', self._take_copy)
        self.loop = green.spawn(self._run_steps)

    def mute(self, ms: int) -> None:
        """Send nothing on the streams that are open for so long."""
        self._mute_before = next(self.numbers)
        self._mute_until = self._clock.now() + ms

    def answer(
        self,
        request_id: str,
        environ: dict[str, ty.Any],
        body: bytes,
        start: ty.Callable[..., ty.Any],
    ) -> ty.Iterable[bytes]:
        """Stream events, from where the request asks to go on."""
        run = self._begin(request_id, environ, body)
        if run is None:
            headers = [(names.NOT_RUN, '1'), (names.REQUEST_ID, request_id)]
            start('503 Service Unavailable', headers)
            return
        headers = [
            *self.seal(request_id),
            ('Content-Type', 'text/event-stream'),
        ]
        start('200 OK', headers)
        environ['eventlet.minimum_write_chunk_size'] = 1
        last = upstream_app.header(environ, names.LAST_EVENT)
        yield from self._events(run, int(last or 0), environ)

    def _events(
        self, run: Run, sent: int, environ: dict[str, ty.Any]
    ) -> ty.Iterator[bytes]:
        number = next(self.numbers)
        conn = environ[strict_protocol.CONNECTION]
        try:
            while True:
                ended, ready = run.ended, self._events_ready(run)
                for event in range(sent + 1, ready + 1):
                    data = self._event(run, event)
                    if number < self._mute_before:
                        left = self._mute_until - self._clock.now()
                        green.sleep_ms(max(0, left))
                    if self.hits('cut'):
                        conn.reset()
                        yield data[: len(data) // 2]
                        raise ConnectionResetError('cut in an event')
                    yield data
                    sent = event
                if ended:
                    return
                if run.stopped:
                    conn.reset()
                    raise ConnectionResetError('moved away')
                if not run.ended:
                    run.changed.wait()
        finally:
            if not run.ended and not run.stopped:
                # Whoever asked is gone.
                run.stopped = True

    def _events_ready(self, run: Run) -> int:
        whole, rest = divmod(run.made, self._times.stride)
        return whole + (1 if rest and run.ended else 0)

    def _event(self, run: Run, number: int) -> bytes:
        first = (number - 1) * self._times.stride
        last = min(run.wanted, first + self._times.stride)
        text = ''.join(
            answers.token(run.seed, position)
            for position in range(first, last)
        )
        data = json.dumps({'text': text})
        return f'id: {number}\ndata: {data}\n\n'.encode()

    def _begin(
        self, request_id: str, environ: dict[str, ty.Any], body: bytes
    ) -> ty.Optional[Run]:
        copy = upstream_app.header(environ, names.COPY_FROM)
        if copy:
            run = self._copies.pop(copy, None)
            if run is None:
                return None
            # The same run goes on, whichever engine it was begun at.
            self.runs[request_id] -= 1
        else:
            run = self._read_request(request_id, environ, body)
        run.stopped = False
        run.priority = int(
            upstream_app.header(environ, names.PRIORITY) or run.priority
        )
        self._by_id[request_id] = run
        entry = (run.priority, next(self.numbers), run)
        heapq.heappush(self._waiting, entry)
        if not self._work.ready():
            self._work.send()
        return run

    def _read_request(
        self, request_id: str, environ: dict[str, ty.Any], body: bytes
    ) -> Run:
        counts = upstream_app.header(environ, names.TOKEN_COUNTS).split(',')
        size = int(counts[0] or 1)
        wanted = int(counts[1]) if len(counts) > 1 else _DEFAULT_OUT
        last = upstream_app.header(environ, names.LAST_EVENT)
        made = int(last or 0) * self._times.stride
        held = self._held(environ)
        unread = max(1, size + made - held)
        self.totals['read'] += unread
        if last:
            self.totals['recomputed'] += unread
        seed = answers.answer_seed('', '', body.decode('latin-1'))
        return Run(request_id, size, unread, max(1, wanted), seed, made)

    def _held(self, environ: dict[str, ty.Any]) -> int:
        """Return how many tokens of the prompt are in the cache."""
        held, unbroken = 0, True
        for part in upstream_app.header(environ, names.PROMPT_PARTS).split(
            ','
        ):
            name, _, size = part.partition(':')
            if not name:
                continue
            if name in self._cache and unbroken:
                held += int(size)
                self._cache.move_to_end(name)
            else:
                unbroken = False
                self._cache[name] = int(size)
        while len(self._cache) > self._times.cache_parts:
            self._cache.popitem(last=False)
        return held

    def _run_steps(self) -> None:
        due = float(self._clock.now())
        while True:
            self._admit()
            if not self._running:
                self._work = green.Event()
                self._work.wait()
                due = float(self._clock.now())
                continue
            due += self._times.step_ms
            green.sleep_ms(max(0, due - self._clock.now()))
            self._step()

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._times.batch:
            run = heapq.heappop(self._waiting)[2]
            if not run.stopped:
                self._running.append(run)

    def _step(self) -> None:
        budget = self._times.read_per_step
        for run in self._running:
            if run.stopped:
                continue
            if run.unread > 0:
                spent = min(budget, run.unread)
                run.unread -= spent
                budget -= spent
                continue
            run.made += 1
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
            'kv-used': sum(r.size + r.made for r in self._running),
            'state': 'draining' if self.draining else 'ready',
            names.RUNS: [
                [r.request_id, r.size + r.made, r.made, r.priority]
                for r in self._running
            ],
        }
        if self.leaves_at:
            left = max(0, self.leaves_at - self._clock.now())
            report[names.LEAVES_MS] = left
        return web.json_response(report)

    def _move(self, req: web.Request) -> web.Response:
        """Copy a run to another engine; with ``last`` it stops here first."""
        body = req.json()
        run = self._by_id.get(body['id'])
        if run is None or run.ended or run.stopped:
            return web.error_response(404, 'no_run', body['id'])
        if body.get(names.LAST):
            run.stopped = True
        size = run.size + run.made
        green.sleep_ms(size / self._times.move_tokens_per_ms)
        handle = f'h{next(self.numbers)}'
        # Two engines may give copies the same handle: the address that they
        # are asked at is part of what names one.
        name = f'{req.header("Host")}/{handle}'
        moved = http_client.HttpClient(2000).request(
            'POST',
            body[names.TARGET],
            '/standin/copy',
            {
                'name': name,
                'id': run.request_id,
                'size': run.size,
                'unread': run.unread,
                'wanted': run.wanted,
                'seed': run.seed,
                'made': run.made,
            },
        )
        self.totals['moved'] += size
        answer = {
            names.HANDLE: handle,
            names.CREATED: self._events_ready(run),
        }
        if run.stopped:
            self._copies[name] = run
            run.stopped_at = self._clock.now()
            run.wake()
        if isinstance(moved, failures.Failure) or moved.status != 200:
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
