"""Stand-in for a plain service that counts its runs by request."""

from __future__ import annotations

import typing as ty

from peridotmast import green
from peridotmast.standin import listening
from peridotmast.standin import upstream_app
from peridotmast.wire import strict_protocol


class PlainService(listening.Listening['_PlainApp']):
    """One run of one service's upstream.

    Parameters
    ----------
    name : str
        Id of this run.
    address : str
        ``IP:port`` to listen on; port 0 takes a free one.
    work_ms : float
        Time of one request.
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
        self._given = work_ms, slots, seed
        super().__init__(_PlainApp(name, slots, work_ms, seed), address)

    def again(self) -> PlainService:
        """Return the next run under its id and address, once it is dead."""
        return PlainService(self.name, self.address, *self._given)


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
        """Echo the request after a while."""
        green.sleep_ms(self._work_ms)
        whole = b'done:' + body
        headers = [
            *self.seal(request_id),
            ('Content-Type', 'text/plain'),
            ('Content-Length', str(len(whole))),
        ]
        start('200 OK', headers)
        if self.hits('cut'):
            environ[strict_protocol.CONNECTION].reset()
            yield whole[: len(whole) // 2]
            raise ConnectionResetError('cut short')
        if self.hits('extra'):
            whole += b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad'
        yield whole
