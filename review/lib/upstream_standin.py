"""Stand-ins of the platform's workers: a plain service and an engine."""

from __future__ import annotations

import json
import threading
import time
import typing as ty
import urllib.parse

import platform_standin as platform


class Worker:
    """A plain worker, which answers after some time.

    Parameters
    ----------
    store : Store
        Store in which the worker registers itself.
    service : str
        Service of the worker.
    name : str
        Its id.
    work_ms : int
        Time that a request takes.
    note : callable
        Records what happens.
    """

    def __init__(
        self,
        store: platform.Store,
        service: str,
        name: str,
        work_ms: int,
        note: ty.Callable[..., None],
        zone: str = 'zone-a',
        slots: int = 6,
        born: int = 0,
        port: int = 0,
    ) -> None:
        self._store, self.service, self.name = store, service, name
        self.work_ms, self._note = work_ms, note
        self._slots = slots
        self.runs: list[tuple[float, str]] = []
        """Time and id of each request that began to run."""
        self.ended: dict[str, str] = {}
        """How each run ended: `answered` or `cut`."""
        self.state = 'ready'
        self._lock = threading.Lock()
        self.server = platform.Server(self._answer, port=port)
        self._is_up = True
        self.entry = {
            'service': service, 'addr': self.server.address, 'zone': zone,
            'version': 'v1', 'capacity-slots': slots, 'state': 'ready',
            'cold-left-ms': 0, 'seq': 1,
        }  # fmt: skip
        if born:
            self.entry['born'] = born
        store.put('servers', name, dict(self.entry))
        threading.Thread(target=self._renew, daemon=True).start()

    @property
    def address(self) -> str:
        """Address of the worker."""
        return self.server.address

    def drain(self) -> float:
        """Report `draining`; return the time of the acknowledgement."""
        self.state = self.entry['state'] = 'draining'
        return self._store.put('servers', self.name, dict(self.entry))

    def stop(self, removed: bool = True) -> None:
        """Exit: all connections break, and the entry goes."""
        self._is_up = False
        self.server.stop()
        if removed:
            self._store.remove('servers', self.name)

    def _renew(self) -> None:
        while self._is_up:
            time.sleep(1.2)
            if self._is_up:
                self._store.renew('servers', self.name, 'seq')

    def _answer(self, req: platform.Handler) -> None:
        body = req.read_body()
        path = urllib.parse.urlsplit(req.path).path
        if self.control(req, path, body):
            return
        request_id = req.headers.get('X-Request-Id', '')
        expected = req.headers.get('X-Expect-Instance', '')
        if expected and expected != self.name:
            req.send(421, b'', [('X-Instance-Id', self.name)])
            return
        with self._lock:
            running = len(self.runs) - len(self.ended)
            if running >= 4 * self._slots:
                is_full = True
            else:
                is_full = False
                self.runs.append((time.monotonic(), request_id))
        if is_full:
            headers = [('X-Not-Executed', '1'), ('X-Request-Id', request_id)]
            req.send(503, b'', headers)
            return
        self._note('runs', id=request_id, worker=self.name, path=req.path)
        try:
            self.run(req, request_id, body)
            self.ended[request_id] = 'answered'
        except OSError:
            self.ended[request_id] = 'cut'
            req.close_connection = True
        self._note(
            'run_ended',
            id=request_id,
            worker=self.name,
            how=self.ended[request_id],
        )

    def control(self, req: platform.Handler, path: str, body: bytes) -> bool:
        """Answer a control call; return whether it was one."""
        if req.command != 'GET' or path != '/health':
            return False
        status = 200 if self.state == 'ready' else 503
        req.send(status, b'', [('X-Instance-Id', self.name)])
        return True

    def head(self, request_id: str) -> list[tuple[str, str]]:
        """Return the headers of each answer."""
        return [
            ('X-Request-Id', request_id),
            ('X-Response-Seal', f'{self.name}.{request_id}'),
        ]

    def run(self, req: platform.Handler, request_id: str, body: bytes) -> None:
        """Run one request."""
        time.sleep(self.work_ms / 1000)
        if not self._is_up:
            raise ConnectionResetError
        answer = f'{self.name} {request_id}\n'.encode()
        req.send(200, answer, self.head(request_id))


class Run:
    """A stream of an engine, at the place where it runs now."""

    def __init__(
        self, request_id: str, after: int, count: int, first_at: float
    ) -> None:
        self.id, self.made, self.count = request_id, after, count
        self.first_at = first_at
        """Time at which its prompt has been read."""
        self.is_stopped = False


class Engine(Worker):
    """A worker that streams events and moves runs to other engines.

    A run that was stopped for a move sends nothing more. Its copy holds the
    prompt as far as it was read; a request with `Kv-From` goes on after its
    `Last-Event-Id`, from the copy.
    """

    def __init__(
        self,
        *args: ty.Any,
        first_ms: int = 200,
        gap_ms: int = 60,
        count: int = 20,
        **kwargs: ty.Any,
    ) -> None:
        self.first_ms, self.gap_ms, self.count = first_ms, gap_ms, count
        self._open: dict[str, Run] = {}
        self.copies: dict[str, Run] = {}
        """Copies of runs of other engines, by `Kv-From`."""
        self.leaves_at = 0.0
        self.peers: dict[str, Engine] = {}
        """The other engines by address."""
        super().__init__(*args, **kwargs)

    def control(self, req: platform.Handler, path: str, body: bytes) -> bool:
        if req.command == 'GET' and path == '/report':
            req.send_json(200, self._report())
            return True
        if req.command == 'POST' and path == '/kv-move':
            self._move(req, json.loads(body))
            return True
        if req.command == 'DELETE' and path.startswith('/kv-handle/'):
            req.send_json(200, {})
            return True
        return super().control(req, path, body)

    def _report(self) -> dict[str, ty.Any]:
        runs = list(self._open.values())
        report: dict[str, ty.Any] = {
            'phase': 'colocated',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False, 'seq': 1, 'queued-reqs': 0,
            'active-reqs': len(runs), 'kv-used': 1000 * len(runs),
            'kv-total': 354266, 'handles': 0, 'state': self.state, 'next': 0,
            'runs': [[r.id, 1000, r.made, 5] for r in runs],
        }  # fmt: skip
        if self.leaves_at:
            left = max(0.0, self.leaves_at - time.monotonic())
            report['leaves_ms'] = int(left * 1000)
        return report

    def _move(self, req: platform.Handler, call: dict[str, ty.Any]) -> None:
        run = self._open.get(call['id'])
        target = self.peers.get(call['target'])
        if run is None or run.is_stopped:
            req.send_json(404, {})
            return
        if call.get('last'):
            run.is_stopped = True
        time.sleep(0.03)
        handle = f'h-{call["id"]}'
        self._note(
            'moved',
            id=call['id'],
            source=self.name,
            target=target.name if target else '',
            made=run.made,
        )
        answer = {'handle': handle, 'created': run.made}
        if target is None:
            self.copies[f'{self.address}/{handle}'] = run
            req.send_json(503, answer)
            return
        target.copies[f'{self.address}/{handle}'] = run
        req.send_json(200, answer)

    def run(self, req: platform.Handler, request_id: str, body: bytes) -> None:
        after = int(req.headers.get('Last-Event-Id') or 0)
        source = req.headers.get('Kv-From')
        self._note(
            'stream_asked',
            id=request_id,
            worker=self.name,
            last_event=req.headers.get('Last-Event-Id'),
            kv_from=source,
        )
        first_ms = self.first_ms
        if source is not None:
            copy = self.copies.pop(source, None)
            if copy is None:
                headers = [('X-Not-Executed', '1')]
                req.send(503, b'', [*headers, ('X-Request-Id', request_id)])
                return
            # Only what the copy lacks is read.
            left = copy.first_at - time.monotonic()
            first_ms = max(20, min(first_ms, int(left * 1000)))
        run = Run(
            request_id, after, self.count, time.monotonic() + first_ms / 1000
        )
        self._open[request_id] = run
        try:
            self._stream(req, run)
        finally:
            self._open.pop(request_id, None)

    def _stream(self, req: platform.Handler, run: Run) -> None:
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        lines += [f'{name}: {value}' for name, value in self.head(run.id)]
        lines.append('Transfer-Encoding: chunked')
        req.wfile.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        while run.made < run.count:
            self._pause(run)
            if run.is_stopped or not self._is_up:
                platform.reset(req.request)
                raise ConnectionResetError
            run.made += 1
            event = f'id: {run.made}\ndata: piece {run.made}\n\n'.encode()
            req.wfile.write(b'%x\r\n%s\r\n' % (len(event), event))
        req.wfile.write(b'0\r\n\r\n')

    def _pause(self, run: Run) -> None:
        end = max(run.first_at, time.monotonic() + self.gap_ms / 1000)
        while time.monotonic() < end and not run.is_stopped and self._is_up:
            time.sleep(0.01)
