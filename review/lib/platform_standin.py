"""Stand-ins of the platform: its store, its API, and a plain HTTP server.

They follow the users' pages and need only the standard library.
"""

from __future__ import annotations

import http.server
import json
import socket
import socketserver
import struct
import threading
import time
import typing as ty
import urllib.parse

_RESET = struct.pack('ii', 1, 0)


class Handler(http.server.BaseHTTPRequestHandler):
    """Answers requests of one connection through the server's app."""

    protocol_version = 'HTTP/1.1'
    wbufsize = 0
    timeout = 60

    def setup(self) -> None:
        self.request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().setup()
        ty.cast(Server, self.server).connections.add(self.request)

    def finish(self) -> None:
        ty.cast(Server, self.server).connections.discard(self.request)
        try:
            super().finish()
        except OSError:
            pass

    def handle(self) -> None:
        try:
            super().handle()
        except OSError:
            pass

    def log_message(self, *args: ty.Any) -> None:
        """Log nothing."""

    def read_body(self) -> bytes:
        """Return the whole body of the request."""
        if self.headers.get('Transfer-Encoding', '').lower() == 'chunked':
            body = b''
            while size := int(self.rfile.readline().split(b';')[0], 16):
                body += self.rfile.read(size)
                self.rfile.readline()
            self.rfile.readline()
            return body
        return self.rfile.read(int(self.headers.get('Content-Length') or 0))

    def send(
        self,
        status: int,
        body: bytes = b'',
        headers: ty.Iterable[tuple[str, str]] = (),
    ) -> None:
        """Send a complete response with a length."""
        lines = [f'HTTP/1.1 {status} {self.responses[status][0]}']
        lines += [f'{name}: {value}' for name, value in headers]
        lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join(lines).encode() + b'\r\n\r\n'
        self.wfile.write(head + body)

    def send_json(self, status: int, value: ty.Any) -> None:
        """Send a JSON value."""
        body = json.dumps(value).encode()
        self.send(status, body, [('Content-Type', 'application/json')])

    def reset(self) -> None:
        """Reset the connection."""
        self.close_connection = True
        reset(self.request)

    def _answer(self) -> None:
        ty.cast(Server, self.server).app(self)

    do_HEAD = do_GET = do_POST = do_PUT = do_DELETE = _answer


def reset(sock: socket.socket) -> None:
    """Reset a connection."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        # Another thread may wait for the socket: shut it down first.
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    """HTTP server with a thread for each connection."""

    daemon_threads = True
    request_queue_size = 1024
    allow_reuse_address = True

    def __init__(
        self,
        app: ty.Callable[[Handler], None],
        host: str = '127.0.0.1',
        port: int = 0,
    ) -> None:
        self.app = app
        self.connections: set[socket.socket] = set()
        super().__init__((host, port), Handler)
        self.address = f'{host}:{self.server_address[1]}'
        threading.Thread(
            target=self.serve_forever, args=(0.05,), daemon=True
        ).start()

    def handle_error(self, request: ty.Any, client: ty.Any) -> None:
        """Report nothing: connections are broken on purpose."""

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        self.shutdown()
        self.server_close()
        for sock in list(self.connections):
            reset(sock)


class Store:
    """The platform's store: objects by kind and name, with watches."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._objects: dict[str, dict[str, dict[str, ty.Any]]] = {}
        self._history: list[tuple[int, str, dict[str, ty.Any], bool]] = []
        self._revision = 100
        self.server = Server(self._answer)

    @property
    def address(self) -> str:
        """Address of the store."""
        return self.server.address

    def put(self, kind: str, name: str, spec: ty.Any) -> float:
        """Write an object; return the time of the acknowledgement."""
        with self._changed:
            self._write(kind, name, {'spec': spec})
            return time.monotonic()

    def renew(self, kind: str, name: str, field: str) -> None:
        """Count a field of a spec up; this alone is no change."""
        with self._changed:
            found = self._objects.get(kind, {}).get(name)
            if found is not None:
                found['spec'][field] += 1

    def remove(self, kind: str, name: str) -> float:
        """Remove an object; return the time of the acknowledgement."""
        with self._changed:
            found = self._objects.get(kind, {}).pop(name, None)
            if found is not None:
                self._record(kind, found, True)
            return time.monotonic()

    def get(self, kind: str, name: str) -> ty.Any:
        """Return an object, or None."""
        with self._changed:
            return self._objects.get(kind, {}).get(name)

    def _write(
        self, kind: str, name: str, values: dict[str, ty.Any]
    ) -> dict[str, ty.Any]:
        known = self._objects.setdefault(kind, {}).get(name)
        if known and all(known[k] == v for k, v in values.items()):
            return known
        meta = known['metadata'] if known else {
            'name': name, 'created': int(time.time() * 1000),
            'finalizers': [], 'deleting': False,
        }  # fmt: skip
        found = {
            'spec': None,
            'status': None,
            **(known or {}),
            **values,
            'metadata': {**meta, 'revision': self._revision + 1},
        }
        self._objects[kind][name] = found
        self._record(kind, found, False)
        return found

    def _record(
        self, kind: str, found: dict[str, ty.Any], deleted: bool
    ) -> None:
        self._revision += 1
        if deleted:
            meta = {**found['metadata'], 'revision': self._revision}
            found = {**found, 'metadata': meta}
        self._history.append((self._revision, kind, found, deleted))
        self._changed.notify_all()

    def _answer(self, req: Handler) -> None:
        url = urllib.parse.urlsplit(req.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(p) for p in url.path.split('/')[1:]]
        body = req.read_body()
        value = json.loads(body) if body else {}
        if parts[0] != 'objects' or len(parts) < 2:
            req.send_json(404, {})
        elif len(parts) == 2 and req.command == 'GET':
            if 'watch' in query:
                self._watch(req, parts[1], query)
            else:
                self._list(req, parts[1], query.get('after', ''))
        else:
            with self._changed:
                status, found = self._one(req.command, parts, value, query)
            req.send_json(status, found)

    def _list(self, req: Handler, kind: str, after: str) -> None:
        with self._changed:
            found = sorted(
                (name, item)
                for name, item in self._objects.get(kind, {}).items()
                if name > after
            )
            page = {
                'items': [item for _, item in found[:500]],
                'has-more': len(found) > 500,
                'at': self._revision,
            }
            text = json.dumps(page)
        req.send(200, text.encode(), [('Content-Type', 'application/json')])

    def _watch(self, req: Handler, kind: str, query: dict[str, str]) -> None:
        since = int(query['watch'])
        end = time.monotonic() + int(query.get('wait-ms', 0)) / 1000
        with self._changed:
            while True:
                events = [
                    {'object': found, 'deleted': deleted}
                    for revision, of, found, deleted in self._history
                    if revision > since and of == kind
                ]
                left = end - time.monotonic()
                if events or left <= 0:
                    break
                self._changed.wait(left)
            text = json.dumps({'events': events, 'at': self._revision})
        req.send(200, text.encode(), [('Content-Type', 'application/json')])

    def _one(
        self,
        method: str,
        parts: list[str],
        value: dict[str, ty.Any],
        query: dict[str, str],
    ) -> tuple[int, ty.Any]:
        kind = parts[1]
        meta = value.get('metadata') or {}
        name = parts[2] if len(parts) > 2 else meta.get('name')
        known = self._objects.get(kind, {}).get(name)
        if method == 'POST':
            if known is not None:
                return 409, known
            return 200, self._write(kind, name, {'spec': value.get('spec')})
        if known is None:
            return 404, {}
        if method == 'GET':
            return 200, known
        revision = meta.get('revision', query.get('revision'))
        if revision is not None:
            if int(revision) != known['metadata']['revision']:
                return 409, known
        if method == 'DELETE':
            del self._objects[kind][name]
            self._record(kind, known, True)
            return 200, known
        field = 'status' if len(parts) > 3 else 'spec'
        return 200, self._write(kind, name, {field: value.get(field)})


class Cloud:
    """The platform's API; accepts and keeps all reports and orders."""

    def __init__(self) -> None:
        self.calls: list[tuple[float, str, str, str, ty.Any]] = []
        self.server = Server(self._answer)

    @property
    def address(self) -> str:
        """Address of the API."""
        return self.server.address

    def _answer(self, req: Handler) -> None:
        body = req.read_body()
        self.calls.append(
            (
                time.monotonic(),
                req.path,
                req.headers.get('X-Duty-Holder', ''),
                req.headers.get('X-Fencing-Token', ''),
                json.loads(body),
            )
        )
        req.send_json(200, {})
