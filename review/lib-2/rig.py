"""Stand-ins, clients and router processes for the scripts of this review.

One asyncio loop holds the platform (store and duties API), the workers and
the clients. Routers are separate processes, started as the deploy file says,
from `target/deps`. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), '..', '..'))

# The settings of further/brazos-entries.toml.
BRAZOS = {
    'drain-ms': 2000, 'grace-s': 8, 'budget-ratio': 0.2, 'budget-window-s': 10,
    'budget-slack': 54, 'lease-ms': 3000, 'usage-window-s': 5, 'ttl_max_s': 5,
    'quota-window-s': 8, 'quota-over': 0.1, 'quota-slack': 110000,
}
# The settings of demands/magnolia-lobby-grown.toml, where they are others.
MAGNOLIA = {**BRAZOS, 'drain-ms': 3000, 'budget-slack': 184, 'quota-slack': 140000}
LIMITS = {
    'max-header-bytes': 16384, 'max-body-bytes': 4194304,
    'header-timeout-ms': 3000, 'idle-timeout-ms': 15000,
}
HOST = 'entries.example'
KEY = 'key-of-club-1'
TENANTS = [{'name': 'club-1', 'api-keys': [KEY], 'unit': 'token_stream',
            'uncached-tokens': 200, 'rate-per-s': 500000, 'burst': 900000}]


def now_ms() -> int:
    return int(time.monotonic() * 1000)


def free_port(ip: str) -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def free_udp_tcp_port(ip: str) -> int:
    while True:
        port = free_port(ip)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            try:
                sock.bind((ip, port))
                return port
            except OSError:
                continue


class Record:
    """Writes record.txt and keeps the lines."""

    def __init__(self, folder: str) -> None:
        self._began = now_ms()
        self._file = open(os.path.join(folder, 'record.txt'), 'w', encoding='utf-8')

    def at(self) -> int:
        return now_ms() - self._began

    def line(self, text: str) -> None:
        print(f'{self.at():7d} ms  {text}', file=self._file, flush=True)

    def result(self, code: int, text: str) -> int:
        self.line(f'RESULT {code}: {text}')
        print(text)
        return code


async def read_head(reader):
    """Return (first line, headers) or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = [line.split(':', 1) for line in lines[1:] if ':' in line]
    return lines[0], {n.strip().lower(): v.strip() for n, v in headers}


class Server:
    """A plain HTTP/1.1 server; subclasses answer in `handle`."""

    def __init__(self, ip: str, port: int = 0) -> None:
        self.ip, self.port = ip, port or free_port(ip)
        self.address = f'{self.ip}:{self.port}'
        self._server = None
        self._writers = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=1 << 23)

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
            for writer in list(self._writers):
                writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(' ')
                body = b''
                if int(head[1].get('content-length') or 0):
                    body = await reader.readexactly(int(head[1]['content-length']))
                keep = await self.handle(method, target, head[1], body, reader, writer)
                if not keep:
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def handle(self, method, target, headers, body, reader, writer) -> bool:
        raise NotImplementedError


def send(writer, status: int, headers=(), body: bytes = b'') -> None:
    lines = [f'HTTP/1.1 {status} X', *(f'{n}: {v}' for n, v in headers),
             f'Content-Length: {len(body)}']
    writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body)


class Store(Server):
    """The platform's store, over its published protocol."""

    def __init__(self, ip: str) -> None:
        super().__init__(ip)
        self.revision = 100
        self.objects = {}
        self.history = []
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec, raw: str = '') -> None:
        """Write as the operator, a worker or another writer (`raw` bytes)."""
        self.revision += 1
        known = self.objects.get((kind, name))
        obj = {'metadata': {'name': name, 'revision': self.revision,
                            'created': known['metadata']['created'] if known else self.revision,
                            'finalizers': [], 'deleting': False},
               'spec': spec, 'status': known['status'] if known else None, 'raw': raw}
        self.objects[kind, name] = obj
        self._note(kind, obj, False)

    def delete(self, kind: str, name: str) -> None:
        obj = self.objects.pop((kind, name))
        self.revision += 1
        gone = json.loads(json.dumps(obj))
        gone['metadata']['revision'] = self.revision
        self._note(kind, gone, True)

    def _note(self, kind, obj, deleted) -> None:
        self.history.append((self.revision, kind, self._text(obj), deleted))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    @staticmethod
    def _text(obj) -> str:
        spec = obj['raw'] or json.dumps(obj['spec'])
        return (f'{{"metadata":{json.dumps(obj["metadata"])},"spec":{spec},'
                f'"status":{json.dumps(obj["status"])}}}')

    async def handle(self, method, target, headers, body, reader, writer) -> bool:
        path, _, query = target.partition('?')
        args = dict(part.partition('=')[::2] for part in query.split('&') if part)
        parts = path.split('/')[2:]
        answer = [('Content-Type', 'application/json')]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ''
        if method == 'GET' and not name:
            if 'watch' in args:
                text = await self._watch(kind, int(args['watch']), int(args.get('wait-ms', 0)))
            else:
                items = sorted(n for k, n in self.objects if k == kind and n > args.get('after', ''))
                found = ','.join(self._text(self.objects[kind, n]) for n in items)
                text = f'{{"items":[{found}],"has-more":false,"at":{self.revision}}}'
            send(writer, 200, answer, text.encode())
        elif method == 'GET':
            obj = self.objects.get((kind, name))
            send(writer, 200 if obj else 404, answer, self._text(obj).encode() if obj else b'')
        elif method == 'DELETE':
            if (kind, name) in self.objects:
                self.delete(kind, name)
            send(writer, 200, answer, b'{}')
        else:
            doc = json.loads(body)
            name = name or doc['metadata']['name']
            obj = self.objects.get((kind, name))
            revision = doc['metadata'].get('revision')
            if method == 'POST' and obj or (
                    method == 'PUT' and obj and revision is not None
                    and revision != obj['metadata']['revision']):
                send(writer, 409, answer, self._text(obj).encode())
            elif method == 'PUT' and not obj:
                send(writer, 404, answer)
            elif method == 'PUT' and parts[-1] == 'status':
                obj['status'] = doc.get('status')
                self.put(kind, name, obj['spec'])
                send(writer, 200, answer, self._text(self.objects[kind, name]).encode())
            else:
                self.put(kind, name, doc.get('spec'))
                send(writer, 200, answer, self._text(self.objects[kind, name]).encode())
        await writer.drain()
        return True

    async def _watch(self, kind: str, since: int, wait_ms: int) -> str:
        until = now_ms() + wait_ms
        while True:
            found = [(t, d) for r, k, t, d in self.history if k == kind and r > since]
            left = until - now_ms()
            if found or left <= 0:
                break
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left / 1000)
        events = ','.join(
            f'{{"deleted":{json.dumps(d)},"object":{t}}}' for t, d in found)
        return f'{{"events":[{events}],"at":{self.revision}}}'


class Cloud(Server):
    """The platform's API for duties; accepts every call."""

    def __init__(self, ip: str) -> None:
        super().__init__(ip)
        self.calls = []

    async def handle(self, method, target, headers, body, reader, writer) -> bool:
        self.calls.append((now_ms(), target, headers.get('x-duty-holder'),
                           headers.get('x-fencing-token'), json.loads(body or b'{}')))
        send(writer, 200, [('Content-Type', 'application/json')], b'{}')
        await writer.drain()
        return True


class Worker(Server):
    """A worker: 421 for another's name; `run` does the work."""

    def __init__(self, ip: str, name: str) -> None:
        super().__init__(ip)
        self.name = name
        self.runs = []

    async def handle(self, method, target, headers, body, reader, writer) -> bool:
        if target.startswith('/health'):
            send(writer, 200, [('X-Instance-Id', self.name)])
        elif target.startswith('/report'):
            send(writer, 200, [('Content-Type', 'application/json')], json.dumps({
                'phase': 'colocated', 'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'busy': False, 'seq': 2, 'queued-reqs': 0, 'active-reqs': 0, 'kv-used': 0,
                'kv-total': 354266, 'handles': 0, 'state': 'ready', 'runs': []}).encode())
        elif headers.get('x-expect-instance', self.name) != self.name:
            send(writer, 421, [('X-Instance-Id', self.name)])
        else:
            return await self.run(method, target, headers, body, reader, writer)
        await writer.drain()
        return True

    def seal(self, request_id: str):
        return [('X-Request-Id', request_id),
                ('X-Response-Seal', f'{self.name}.{random.randrange(1 << 32):x}')]

    async def run(self, method, target, headers, body, reader, writer) -> bool:
        """Answer with 800 bytes after 60 ms, as the plain service does."""
        request_id = headers.get('x-request-id', '')
        self.runs.append((now_ms(), request_id))
        await asyncio.sleep(0.06)
        send(writer, 200, self.seal(request_id), (request_id.encode() * 60)[:800])
        await writer.drain()
        return True


def entry(worker: Worker, service: str, zone: str, slots: int) -> dict:
    return {'service': service, 'addr': worker.address, 'zone': zone, 'version': 'v1',
            'capacity-slots': slots, 'state': 'ready', 'cold-left-ms': 0,
            'phase': 'colocated', 'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'seq': 4}


class Router:
    """One router process at its own loopback address."""

    def __init__(self, rig: 'Rig', number: int, ip: str) -> None:
        self.rig, self.ip, self.name = rig, ip, f'edge-{number}'
        self.zone = 'abc'[number % 3]
        self.front, self.ready, self.control, self.directory, self.metrics = (
            free_port(ip) for _ in range(5))
        self.peer = free_udp_tcp_port(ip)
        self.process = None
        self.log_path = os.path.join(rig.folder, f'{self.name}.log')

    def settings(self) -> str:
        fields = {
            'node': self.name, 'zone': self.zone, 'region': 'tx-central', 'ip': self.ip,
            'listen.front': f'{self.ip}:{self.front}', 'listen.ready': f'{self.ip}:{self.ready}',
            'listen.directory': f'{self.ip}:{self.directory}',
            'listen.control': f'{self.ip}:{self.control}',
            'seed-nodes': ','.join(f'{r.ip}:{r.control}' for r in self.rig.routers[:3]),
            'port-range': f'{self.peer},{self.peer}',
            'platform.addr': self.rig.store.address, 'cloud-api.addr': self.rig.cloud.address,
            'limits.memory-mb': 300, 'limits.max-fds': 4100,
            **{f'contract-params.{n}': v for n, v in self.rig.params.items()},
        }
        with open(os.path.join(ROOT, 'deploy', 'router.ini'), encoding='utf-8') as file:
            text = file.read()
        text = text.replace('{{ip}}:9464', f'{self.ip}:{self.metrics}')
        return re.sub(r'\{\{([^}]+)\}\}', lambda m: str(fields.get(m[1], '')), text)

    def start(self) -> None:
        path = os.path.join(self.rig.folder, f'{self.name}.ini')
        with open(path, 'w', encoding='utf-8') as file:
            file.write(self.settings())
        env = {n: os.environ[n] for n in ('PATH', 'HOME', 'LANG') if n in os.environ}
        env |= {'PERIDOTMAST_NODE_FILE': path,
                'PYTHONPATH': os.path.join(ROOT, 'target', 'deps')}
        with open(self.log_path, 'a', encoding='utf-8') as log:
            self.process = subprocess.Popen(
                ['python3', '-W', 'ignore', '-m', 'peridotmast.cli.router'],
                cwd=ROOT, env=env, stdout=log, stderr=subprocess.STDOUT)

    def signal(self, number: int) -> None:
        self.process.send_signal(number)

    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    async def readiness(self, timeout: float = 1.0) -> int:
        found = await call(self.ip, self.ready, 'GET', '/readiness', {}, timeout=timeout)
        return found['status']

    async def wait_ready(self, seconds: float = 30) -> bool:
        until = time.monotonic() + seconds
        while time.monotonic() < until and self.is_running():
            if await self.readiness() == 200:
                return True
            await asyncio.sleep(0.1)
        return False


async def call(ip, port, method, path, headers, body: bytes = b'', timeout: float = 3.0) -> dict:
    """One request on a new connection.

    `status` is 0 if there is no complete answer, and `end` says why.
    """
    found = {'status': 0, 'headers': {}, 'body': b'', 'end': '', 'ms': 0}
    began = now_ms()
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, port, limit=1 << 22)
        lines = [f'{method} {path} HTTP/1.1', *(f'{n}: {v}' for n, v in headers.items())]
        if 'Host' not in headers:
            lines.append('Host: x')
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body)
        head = await read_head(reader)
        if head is None:
            found['end'] = 'closed before a head'
            return
        status = int(head[0].split(' ')[1])
        found['headers'] = head[1]
        if head[1].get('transfer-encoding', '').lower() == 'chunked':
            while True:
                size = int((await reader.readline()).strip() or b'-1', 16)
                if size < 0:
                    found['end'] = 'closed inside the body'
                    return
                found['body'] += (await reader.readexactly(size + 2))[:size]
                if not size:
                    break
        elif 'content-length' in head[1]:
            found['body'] = await reader.readexactly(int(head[1]['content-length']))
        else:
            found['body'] = await reader.read()
        found['status'], found['end'] = status, 'complete'

    try:
        await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        found['end'] = 'no complete answer in time'
    except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
        found['end'] = f'broken: {type(exc).__name__}'
    finally:
        if writer is not None:
            writer.transport.abort()
        found['ms'] = now_ms() - began
    return found


class Rig:
    """Platform, workers and routers of one script; ends all it started."""

    def __init__(self, case_folder: str, routers: int, params: dict) -> None:
        self.params = params
        self.folder = tempfile.mkdtemp(prefix='peridotmast-review-')
        self.record = Record(case_folder)
        base = f'127.{random.randrange(10, 250)}.{random.randrange(1, 250)}'
        self.platform_ip, self.worker_ip = f'{base}.1', f'{base}.2'
        self.store, self.cloud = Store(self.platform_ip), Cloud(self.platform_ip)
        self.workers = []
        self.routers = []
        for number in range(routers):
            self.routers.append(Router(self, number, f'{base}.{10 + number}'))

    async def start(self, config: dict) -> bool:
        await self.store.start()
        await self.cloud.start()
        for worker, service, zone, slots in self.workers:
            await worker.start()
            self.store.put('servers', worker.name, entry(worker, service, zone, slots))
        self.store.put('config', 'main', config)
        for router in self.routers:
            router.start()
        ready = await asyncio.gather(*(r.wait_ready() for r in self.routers))
        self.record.line(f'routers ready: {ready}')
        # All peers have heard each other, and the lease is taken.
        await asyncio.sleep(3)
        return all(ready)

    async def stop(self) -> None:
        for router in self.routers:
            if router.is_running():
                router.signal(signal.SIGCONT)
                router.process.kill()
                router.process.wait()
        for server in (self.store, self.cloud, *(w for w, *_ in self.workers)):
            await server.stop()
        if os.environ.get('KEEP'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case, case_folder: str, routers: int, params: dict) -> None:
    """Run `case(rig, trouble)` and exit with what it returns."""
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run() -> int:
        rig = Rig(case_folder, routers, params)
        try:
            return await asyncio.wait_for(case(rig, trouble), 112)
        except Exception as exc:
            rig.record.line(f'could not run: {exc!r}')
            return rig.record.result(2, f'the case could not run: {exc!r}')
        finally:
            await rig.stop()

    # If the script is stopped, the routers end with it.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(asyncio.run(run()))
