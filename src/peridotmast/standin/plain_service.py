"""Stand-in for an upstream of a plain service."""

from __future__ import annotations

import typing as ty

from peridotmast import green
from peridotmast.standin import http_standin
from peridotmast.standin import upstream_app
from peridotmast.wire import strict_protocol

LARGE_NAME = 'large'
"""Last part of the paths whose answers are large."""

LARGE_BYTES = (1 << 20) - 1024
"""Size of a large answer, in bytes: within the limit of a router."""

_LARGE_ANSWER = b'a' * LARGE_BYTES


class PlainService(http_standin.HttpStandin['_PlainApp']):
    """One incarnation of a plain service's upstream.

    Parameters
    ----------
    name : str
        Id of the upstream; a restarted one keeps it.
    address : str
        ``IP:port`` to listen on; port 0 selects a free one.
    work_ms : float
        Time to process a request.
    slots : int
        Requests that are processed concurrently; more are refused.
    seed : int
        Seed of the injected faults.
    """

    def __init__(
        self,
        name: str,
        address: str = '127.0.0.1:0',
        work_ms: float = 20,
        slots: int = 16,
        seed: int = 0,
    ) -> None:
        self.name = name
        self._app_args = work_ms, slots, seed
        super().__init__(_PlainApp(name, slots, work_ms, seed), address)

    def restarted(self) -> PlainService:
        """Return a new upstream with the same id and address, after `stop`."""
        return PlainService(self.name, self.address, *self._app_args)


class _PlainApp(upstream_app.UpstreamApp):
    def __init__(
        self, name: str, slots: int, work_ms: float, seed: int
    ) -> None:
        super().__init__(name, slots, seed)
        self._work_ms = work_ms

    def answer(
        self,
        request_id: str,
        environ: dict[str, ty.Any],
        body: bytes,
        start: ty.Callable[..., ty.Any],
    ) -> ty.Iterable[bytes]:
        """Echo the request body after the processing time.

        The answer is large instead for a path that asks for it.
        """
        green.sleep_ms(self._work_ms * self.delay_factor(environ))
        payload = b'done:' + body
        if environ['PATH_INFO'].endswith(f'/{LARGE_NAME}'):
            payload = _LARGE_ANSWER
        headers = [
            *self.answer_headers(request_id),
            ('Content-Type', 'text/plain'),
            ('Content-Length', str(len(payload))),
        ]
        start('200 OK', headers)
        if self.fault_occurs('cut'):
            environ[strict_protocol.CONNECTION].reset()
            yield payload[: len(payload) // 2]
            raise ConnectionResetError('injected fault: answer cut short')
        if self.fault_occurs('extra'):
            payload += b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad'
        yield payload
