"""Stand-in for a model engine with continuous batching in real time."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import json
import typing as ty

from peridotmast import clock as clock_
from peridotmast import green
from peridotmast import http_client
from peridotmast import http_server
from peridotmast.router import prefix_record
from peridotmast.standin import answers
from peridotmast.standin import faulty_app
from peridotmast import web

DETACHED_MS = 8000
_EVENT_LAG_MS = 300
_EVENT_GAP = 7


@dataclasses.dataclass
class EngineTimes:
    """How fast an engine works."""

    step_ms: float = 8
    batch: int = 32
    prefill_per_step: int = 512
    load_lag_ms: int = 200
    kv_tokens_per_ms: float = 200
    cache_blocks: int = 4096


@dataclasses.dataclass
class _Stream:
    stream_id: str
    prompt: list[str]
    max_tokens: int
    seed: int
    tokens: list[str]
    to_prefill: int
    done_before: int
    recomputed: int
    cached: int
    detached_at: int = 0
    frozen: bool = False
    readers: list[green.Queue] = dataclasses.field(default_factory=list)

    def wake(self) -> None:
        for reader in self.readers:
            if reader.empty():
                reader.put_nowait(None)

    @property
    def ended(self) -> bool:
        return len(self.tokens) >= self.max_tokens


class Engine:
    """One engine.

    Parameters
    ----------
    name : str
        Name of its VM.
    address : str
        ``IP:port`` to listen on.
    times : EngineTimes
        How fast it works.
    checks_fencing : bool
        Whether it refuses orders with an old fencing number.
    """

    def __init__(
        self,
        name: str,
        address: str = '127.0.0.1:0',
        times: ty.Optional[EngineTimes] = None,
        checks_fencing: bool = True,
        weights: str = '',
        models: ty.Iterable[str] = ('*',),
        seed: int = 0,
    ) -> None:
        self.name = name
        self.times = times or EngineTimes()
        self._clock = clock_.SystemClock()
        self._checks_fencing = checks_fencing
        self._weights = weights
        self.models = set(models)
        """Models loaded; ``*`` stands for any."""
        self._streams: dict[str, _Stream] = {}
        self._waiting: list[tuple[int, int, _Stream]] = []
        self._running: list[_Stream] = []
        self._order = itertools.count()
        self._kv: dict[str, int] = {}
        self._cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: list[tuple[int, int, str, str]] = []
        self._loads: collections.deque[tuple[int, dict[str, int]]] = (
            collections.deque(maxlen=256)
        )
        self._work = green.Event()
        self._mute_before = 0
        self._connections = itertools.count(1)
        self._fencing = 0
        self.orders: list[dict[str, ty.Any]] = []
        """Orders carried out."""
        self.totals = collections.Counter[str]()
        """Tokens generated, prefilled and recomputed, streams begun."""
        self.begun = collections.Counter[str]()
        """Times that each stream was begun here from its prompt alone."""
        self.on_import: ty.Callable[[], bool] = lambda: True
        """Called when a KV cache arrives; says whether it is taken."""
        self.last_begun_ms = 0
        """When the last stream was begun, on the machine's clock."""
        self.app = self._routes(seed)
        self.server = http_server.HttpServer(address, self.app)
        """The listening server."""
        self.server.start()
        self._loop = green.spawn(self._run)

    @property
    def address(self) -> str:
        """Address that the engine listens on."""
        return self.server.address

    def stop(self) -> None:
        """Die at once, as a reclaimed VM does."""
        self._loop.kill()
        self.server.stop()

    def mute(self) -> None:
        """Let the open connections go silent while new ones work."""
        self._mute_before = next(self._connections)

    def _routes(self, seed: int) -> faulty_app.FaultyApp:
        app = faulty_app.FaultyApp(f'engine-{self.name}', seed)
        app.route('POST', '/v1/streams', self._start)
        app.route('GET', '/v1/streams/([^/]+)', self._attach)
        app.route('DELETE', '/v1/streams/([^/]+)', self._cancel)
        app.route('POST', '/v1/streams/([^/]+)/export', self._export)
        app.route('POST', '/v1/kv', self._import)
        app.route('GET', '/v1/load', self._load)
        app.route('GET', '/v1/cache/events', self._cache_events)
        app.route('POST', '/v1/orders', self._take_order)
        app.route('GET', '/v1/totals', self._show_totals)
        app.route('POST', '/mute', self._mute)
        return app

    # ------------------------------------------------------------ handlers

    def _start(self, req: web.Request) -> web.Response:
        body = req.json()
        if '*' not in self.models and body['model'] not in self.models:
            return web.error_response(404, 'model_not_loaded', body['model'])
        stream = self._streams.get(body['stream_id'])
        if stream is None or stream.frozen:
            stream = self._begin(body)
        return self._reply(stream, int(body.get('position', 0)))

    def _attach(self, req: web.Request, stream_id: str) -> web.Response:
        stream = self._streams.get(stream_id)
        if stream is None or stream.frozen:
            return web.error_response(404, 'no_stream', stream_id)
        return self._reply(stream, int(req.query.get('position', 0)))

    def _cancel(self, req: web.Request, stream_id: str) -> web.Response:
        stream = self._streams.pop(stream_id, None)
        if stream is not None:
            self._freeze(stream)
        return web.json_response({'cancelled': stream is not None})

    def _export(self, req: web.Request, stream_id: str) -> web.Response:
        stream = self._streams.get(stream_id)
        if stream is None or stream.frozen:
            return web.error_response(404, 'no_stream', stream_id)
        self._freeze(stream)
        size = len(stream.prompt) + len(stream.tokens)
        green.sleep_ms(size / self.times.kv_tokens_per_ms)
        moved = http_client.HttpClient(2000).call(
            'POST',
            req.json()['target'],
            '/v1/kv',
            {'stream_id': stream_id, 'kv_tokens': size},
        )
        return web.json_response(
            {
                'tokens': stream.tokens,
                'moved': _is_ok(moved),
            }
        )

    def _import(self, req: web.Request) -> web.Response:
        if not self.on_import():
            return web.error_response(503, 'no_memory', self.name)
        body = req.json()
        self._kv[body['stream_id']] = body['kv_tokens']
        return web.json_response({})

    def _load(self, req: web.Request) -> web.Response:
        return web.json_response(self._lagged_load())

    def _cache_events(self, req: web.Request) -> web.Response:
        after = int(req.query.get('after', 0))
        now = self._clock.now()
        events = [
            {'seq': seq, 'kind': kind, 'block': block}
            for seq, at, kind, block in self._events
            if seq > after and now - at >= _EVENT_LAG_MS and seq % _EVENT_GAP
        ]
        return web.json_response({'events': events})

    def _take_order(self, req: web.Request) -> web.Response:
        order = req.json()
        fencing = int(order.get('fencing', 0))
        if self._checks_fencing and fencing < self._fencing:
            return web.error_response(412, 'old_fencing', str(fencing))
        self._fencing = max(self._fencing, fencing)
        self.orders.append(order)
        if order.get('action') == 'load_model':
            self._load_model(order)
        return web.json_response({'models': sorted(self.models)})

    def _load_model(self, order: dict[str, ty.Any]) -> None:
        if order['model'] in self.models:
            return
        if self._weights:
            http_client.HttpClient(600_000).call(
                'POST',
                self._weights,
                '/v1/fetch',
                {'model': order['model'], 'bytes': order.get('bytes', 0)},
            )
        self.models.add(order['model'])

    def _show_totals(self, req: web.Request) -> web.Response:
        return web.json_response(
            {**self.totals, 'last_begun_ms': self.last_begun_ms}
        )

    def _mute(self, req: web.Request) -> web.Response:
        self.mute()
        return web.json_response({})

    # ----------------------------------------------------------- a stream

    def _begin(self, body: dict[str, ty.Any]) -> _Stream:
        prompt = body['prompt'].split()
        given = list(body.get('tokens', ()))
        seed = answers.answer_seed(
            body['model'], body.get('adapter', ''), body['prompt']
        )
        size = len(prompt) + len(given)
        held = self._kv.pop(body['stream_id'], 0)
        cached = min(size, max(held, self._cached(body['prompt'])))
        again = body.get('attempt', 1) > 1
        stream = _Stream(
            body['stream_id'],
            prompt,
            int(body['max_tokens']),
            seed,
            given,
            size - cached,
            int(body.get('done', 0)),
            size - cached if again else 0,
            cached,
        )
        self.totals['recomputed'] += stream.recomputed
        self.totals['prefilled'] += stream.to_prefill
        self.totals['streams'] += 1
        if not given and not held:
            self.begun[stream.stream_id] += 1
        self.last_begun_ms = self._clock.now()
        self._streams[stream.stream_id] = stream
        entry = (int(body.get('priority', 2)), next(self._order), stream)
        heapq.heappush(self._waiting, entry)
        if not self._work.ready():
            self._work.send()
        return stream

    def _reply(self, stream: _Stream, position: int) -> web.Response:
        number = next(self._connections)
        return web.Response(
            200, self._frames(stream, position, number), 'text/event-stream'
        )

    def _frames(
        self, stream: _Stream, position: int, number: int
    ) -> ty.Iterator[bytes]:
        reader = green.Queue()
        stream.readers.append(reader)
        sid = stream.stream_id
        start = {'recomputed': stream.recomputed, 'cached': stream.cached}
        try:
            yield _frame({'s': sid, 'start': start, 'load': self._load_now()})
            while True:
                for at in range(position, len(stream.tokens)):
                    yield _frame({'s': sid, 'p': at, 't': stream.tokens[at]})
                    position = at + 1
                if number < self._mute_before:
                    green.sleep_ms(600_000)
                if stream.ended or stream.frozen:
                    break
                reader.get()
            end = {'s': sid, 'end': stream.ended, 'n': position}
            yield _frame({**end, 'load': self._load_now()})
        finally:
            stream.readers.remove(reader)
            stream.detached_at = self._clock.now()

    def _freeze(self, stream: _Stream) -> None:
        stream.frozen = True
        stream.wake()

    # ------------------------------------------------------------ batching

    def _run(self) -> None:
        due = float(self._clock.now())
        while True:
            self._admit()
            if not self._running:
                self._work = green.Event()
                self._work.wait()
                due = float(self._clock.now())
                continue
            due += self.times.step_ms
            green.sleep_ms(max(0, due - self._clock.now()))
            self._step()

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self.times.batch:
            stream = heapq.heappop(self._waiting)[2]
            if not stream.frozen:
                self._running.append(stream)

    def _step(self) -> None:
        budget = self.times.prefill_per_step
        for stream in self._running:
            if stream.to_prefill > 0:
                spent = min(budget, stream.to_prefill)
                stream.to_prefill -= spent
                budget -= spent
                continue
            if not stream.frozen:
                self._generate(stream)
        self._running = [s for s in self._running if self._goes_on(s)]
        self._forget_ended()
        self._loads.append((self._clock.now(), self._load_now()))

    def _generate(self, stream: _Stream) -> None:
        position = len(stream.tokens)
        stream.tokens.append(answers.token(stream.seed, position))
        self.totals['generated'] += 1
        if position < stream.done_before:
            self.totals['recomputed'] += 1
        stream.wake()

    def _goes_on(self, stream: _Stream) -> bool:
        lost = (
            not stream.readers
            and stream.detached_at
            and self._clock.now() - stream.detached_at > DETACHED_MS
        )
        return not (stream.ended or stream.frozen or lost)

    def _forget_ended(self) -> None:
        if len(self._streams) < 1000:
            return
        old = self._clock.now() - DETACHED_MS
        self._streams = {
            sid: stream
            for sid, stream in self._streams.items()
            if stream.readers or stream.detached_at > old
        }

    # ---------------------------------------------------------- cache, load

    def _cached(self, prompt: str) -> int:
        hits = 0
        blocks = prefix_record.prefix_blocks(prompt)
        for number, block in enumerate(blocks, 1):
            if block in self._cache:
                self._cache.move_to_end(block)
                hits = number if hits == number - 1 else hits
            else:
                self._cache[block] = None
                self._note('stored', block)
        while len(self._cache) > self.times.cache_blocks:
            self._note('removed', self._cache.popitem(last=False)[0])
        return hits * prefix_record.BLOCK

    def _note(self, kind: str, block: str) -> None:
        seq = self._events[-1][0] + 1 if self._events else 1
        self._events.append((seq, self._clock.now(), kind, block))
        del self._events[:-2000]

    def _load_now(self) -> dict[str, int]:
        return {'running': len(self._running), 'waiting': len(self._waiting)}

    def _lagged_load(self) -> dict[str, int]:
        old = self._clock.now() - self.times.load_lag_ms
        past = [load for at, load in self._loads if at <= old]
        if self._loads and self._loads[-1][0] <= old:
            return self._load_now()
        return past[-1] if past else {'running': 0, 'waiting': 0}


def _is_ok(reply: ty.Any) -> bool:
    return bool(reply) and reply.status == 200


def _frame(value: dict[str, ty.Any]) -> bytes:
    return b'data: ' + json.dumps(value).encode() + b'\n\n'
