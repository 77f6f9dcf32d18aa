"""TCP proxy on loopback that injects network faults."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
import random
import re
import socket
import struct
import typing as ty

from peridotmast import green

_CHUNK_BYTES = 8192
_BYTES_PER_S = 20_000
"""Rate of a slow link: a chunk takes 0.4 s, an event a few milliseconds."""
_DELAY_S = 0.05
_FIRST_BYTES_S = 0.5
"""Time limit for reading the request id from a connection that the target has
refused."""
_LINGER = struct.pack('ii', 1, 0)
"""Socket option value that makes a close send a reset."""
_REQUEST_ID = re.compile(rb'"request_id": "([0-9a-f]{32})"')


class FaultMode(enum.Enum):
    """Kind of fault on a connection.

    Slow: bytes are delayed and their rate is limited. Reset: the connection
    is reset as soon as bytes pass in one direction. One way: bytes of one
    direction are dropped, and the connection is reset when the fault ends.
    Silent: no bytes pass until the fault ends.
    """

    SLOW = 'slow'
    RESET = 'reset'
    ONE_WAY = 'one_way'
    SILENT = 'silent'


@dataclasses.dataclass(eq=False)
class LinkFault:
    """Fault that affects some connections for a limited time."""

    mode: FaultMode
    affects_requests: bool = True
    """Whether a reset or one-way fault affects requests, not answers."""
    share: float = 1.0
    """Fraction of the connections open at its start that it affects."""
    affects_new: bool = False
    """Whether connections opened during the fault are affected too."""
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class LinkProxy:
    """Forwards connections to one address and injects faults on demand.

    Parameters
    ----------
    target : str
        ``IP:port`` of the server. The proxy listens at the same IP.
    drop_reasons : dict
        Filled, by request id, with the reason why the proxy dropped bytes
        of the request or its answer: the value of a `FaultMode`, or
        ``refused`` if the target refused the connection.
    """

    def __init__(self, target: str, drop_reasons: dict[str, str]) -> None:
        self._host, _, self._port = target.rpartition(':')
        self._drop_reasons = drop_reasons
        self._server: ty.Any = None
        self._new_fault: ty.Optional[LinkFault] = None
        self._open: set[_Tunnel] = set()
        self.address = f'{self._host}:0'
        """Address on which it listens."""
        self.open()

    def open(self) -> None:
        """Accept connections, at the previous address if there is one."""
        if self._server is None:
            port = self.address.rpartition(':')[2]
            self._server = green.wait_for(
                asyncio.start_server(self._forward, self._host, int(port))
            )
            bound = self._server.sockets[0].getsockname()
            self.address = f'{self._host}:{bound[1]}'

    def close(self, reset: bool = True) -> None:
        """Stop listening and, with `reset`, reset the open connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        if reset:
            self.reset_open()

    def reset_open(self) -> None:
        """Reset the open connections; new ones are still accepted."""
        for tunnel in list(self._open):
            tunnel.reset()

    def begin_fault(self, fault: LinkFault, rng: random.Random) -> None:
        """Start `fault`; `rng` selects the open connections affected."""
        if fault.affects_new:
            self._new_fault = fault
        for tunnel in self._open:
            if rng.random() < fault.share:
                tunnel.fault = fault

    def end_fault(self, fault: LinkFault) -> None:
        """End `fault`, and reset the connections that lost bytes to it."""
        fault.ended.set()
        if self._new_fault is fault:
            self._new_fault = None
        for tunnel in list(self._open):
            if tunnel.fault is fault:
                tunnel.fault = None
            # Dropped bytes are lost: no later bytes may follow on the stream.
            if tunnel.dropped:
                tunnel.reset()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        tunnel = _Tunnel(reader, [writer], self._drop_reasons, self._new_fault)
        self._open.add(tunnel)
        try:
            await tunnel.run(self._host, int(self._port))
        except ConnectionRefusedError:
            # Stop listening, so that later connects are refused as well.
            self.close(reset=False)
            await tunnel.refuse()
        except OSError:
            tunnel.reset()
        finally:
            self._open.discard(tunnel)


@dataclasses.dataclass(eq=False)
class _Tunnel:
    """One client connection and the matching one to the target."""

    reader: asyncio.StreamReader
    writers: list[asyncio.StreamWriter]
    drop_reasons: dict[str, str]
    fault: ty.Optional[LinkFault]
    request_id: str = ''
    dropped: list[asyncio.StreamReader] = dataclasses.field(
        default_factory=list
    )

    async def run(self, host: str, port: int) -> None:
        """Forward bytes until both sides have ended or one is reset."""
        from_target, to_target = await asyncio.open_connection(host, port)
        self.writers.append(to_target)
        await asyncio.gather(
            self._pump(self.reader, to_target),
            self._pump(from_target, self.writers[0]),
        )
        for writer in self.writers:
            writer.close()

    async def refuse(self) -> None:
        """Reset the connection, because the target refused its own."""
        # If no request id arrives within the limit, none is recorded.
        with contextlib.suppress(OSError):
            async with asyncio.timeout(_FIRST_BYTES_S):
                while not self.request_id and not self.reader.at_eof():
                    self._find_request_id(await self.reader.read(_CHUNK_BYTES))
        self._record_drop('refused')
        self.reset()

    def reset(self) -> None:
        """Reset both connections."""
        for writer in self.writers:
            if not writer.transport.is_closing():
                sock = writer.get_extra_info('socket')
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER)
            writer.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        data = b'\0'
        while data:
            try:
                data = await reader.read(_CHUNK_BYTES)
            finally:
                await self._wait_while_silent()
            self._find_request_id(data)
            if not await self._may_pass(data, reader):
                continue
            writer.write(data)
            await writer.drain()
            if not data:
                writer.write_eof()

    def _record_drop(self, reason: str) -> None:
        if self.request_id:
            self.drop_reasons.setdefault(self.request_id, reason)

    def _find_request_id(self, data: bytes) -> None:
        if data.startswith(b'POST '):
            # The next request on a keep-alive connection.
            self.request_id = ''
        if found := _REQUEST_ID.search(data):
            self.request_id = found[1].decode()

    async def _wait_while_silent(self) -> None:
        """Wait while the connection is silent; a reset is held back too."""
        while self.fault is not None and self.fault.mode is FaultMode.SILENT:
            await self.fault.ended.wait()

    async def _may_pass(
        self, data: bytes, reader: asyncio.StreamReader
    ) -> bool:
        fault = self.fault
        if fault is not None and fault.mode is FaultMode.SLOW:
            await asyncio.sleep(_DELAY_S + len(data) / _BYTES_PER_S)
        elif not fault or not data:
            # The end of a stream passes unless bytes before it were dropped.
            pass
        elif fault.affects_requests is (reader is self.reader):
            self.dropped.append(reader)
            self._record_drop(fault.mode.value)
            if fault.mode is FaultMode.RESET:
                self.reset()
        return reader not in self.dropped
