"""A TCP proxy on loopback that does to connections what networks do."""

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
"""Rate of a slow link: a chunk takes 0.4 s, an event some milliseconds."""
_DELAY_S = 0.05
_FIRST_BYTES_S = 0.5
"""Bound on a wait to learn which request was refused."""
_LINGER = struct.pack('ii', 1, 0)
"""Lets a close send a reset."""
_REQUEST_ID = re.compile(rb'"request_id": "([0-9a-f]{32})"')


class FaultMode(enum.Enum):
    """What can be wrong with a connection.

    Slow: bytes come late, and few in a second. Reset: as soon as bytes would
    pass in one direction. One way: bytes of one direction are swallowed, and
    it is reset when the time is over. Silent: nothing passes until then.
    """

    SLOW = 'slow'
    RESET = 'reset'
    ONE_WAY = 'one_way'
    SILENT = 'silent'


@dataclasses.dataclass(eq=False)
class LinkFault:
    """What is wrong with some connections for a while."""

    mode: FaultMode
    affects_requests: bool = True
    """Direction of a reset or a one-way cut; else it hits answers."""
    share: float = 1.0
    """Part of the connections open at its begin that have it."""
    affects_new: bool = False
    """Whether connections opened meanwhile have it too."""
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class LinkProxy:
    """Passes connections on to one address, with trouble when told.

    Parameters
    ----------
    target : str
        ``IP:port`` to pass them on to. The proxy listens at the same IP.
    drop_reasons : dict
        Takes by a request's id why the proxy kept bytes of it or its answer
        back for good: a `FaultMode`, or ``refused`` where the target took
        none.
    """

    def __init__(self, target: str, drop_reasons: dict[str, str]) -> None:
        self._host, _, self._port = target.rpartition(':')
        self._drop_reasons = drop_reasons
        self._server: ty.Any = None
        self._new_fault: ty.Optional[LinkFault] = None
        self._open: set[_Passage] = set()
        self.address = f'{self._host}:0'
        """Address that it listens on."""
        self.open()

    def open(self) -> None:
        """Take connections, at the address that it had if it had one."""
        if self._server is None:
            port = self.address.rpartition(':')[2]
            self._server = green.wait_for(
                asyncio.start_server(self._pass_on, self._host, int(port))
            )
            bound = self._server.sockets[0].getsockname()
            self.address = f'{self._host}:{bound[1]}'

    def close(self, cut: bool = True) -> None:
        """Take no more connections and, with `cut`, reset the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for passage in list(self._open) if cut else ():
            passage.reset()

    def begin_fault(self, fault: LinkFault, draws: random.Random) -> None:
        """Let `fault` begin."""
        if fault.affects_new:
            self._new_fault = fault
        for passage in self._open:
            if draws.random() < fault.share:
                passage.fault = fault

    def end_fault(self, fault: LinkFault) -> None:
        """Let `fault` be over."""
        fault.ended.set()
        if self._new_fault is fault:
            self._new_fault = None
        for passage in list(self._open):
            if passage.fault is fault:
                passage.fault = None
            # What was swallowed never comes: no later bytes may follow it.
            if passage.swallowed:
                passage.reset()

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        passage = _Passage(
            reader, [writer], self._drop_reasons, self._new_fault
        )
        self._open.add(passage)
        try:
            await passage.run(self._host, int(self._port))
        except ConnectionRefusedError:
            # Nobody is there: from now on the sender's connect says so.
            self.close(cut=False)
            await passage.refuse()
        except OSError:
            passage.reset()
        finally:
            self._open.discard(passage)


@dataclasses.dataclass(eq=False)
class _Passage:
    """One connection and its continuation to the target."""

    reader: asyncio.StreamReader
    writers: list[asyncio.StreamWriter]
    drop_reasons: dict[str, str]
    fault: ty.Optional[LinkFault]
    request_id: str = ''
    swallowed: list[asyncio.StreamReader] = dataclasses.field(
        default_factory=list
    )

    async def run(self, host: str, port: int) -> None:
        """Let bytes pass until both ends have ended or one is reset."""
        answers, requests = await asyncio.open_connection(host, port)
        self.writers.append(requests)
        await asyncio.gather(
            self._pump(self.reader, requests),
            self._pump(answers, self.writers[0]),
        )
        for writer in self.writers:
            writer.close()

    async def refuse(self) -> None:
        """Reset it, as its target took no connection."""
        # What does not name a request in time is not noted.
        with contextlib.suppress(OSError):
            async with asyncio.timeout(_FIRST_BYTES_S):
                while not self.request_id and not self.reader.at_eof():
                    self._look(await self.reader.read(_CHUNK_BYTES))
        self._note('refused')
        self.reset()

    def reset(self) -> None:
        """Reset both its ends."""
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
                await self._hold()
            self._look(data)
            if not await self._lets_pass(data, reader):
                continue
            writer.write(data)
            await writer.drain()
            if not data:
                writer.write_eof()

    def _note(self, why: str) -> None:
        if self.request_id:
            self.drop_reasons.setdefault(self.request_id, why)

    def _look(self, data: bytes) -> None:
        if data.startswith(b'POST '):
            # The next request on a kept connection.
            self.request_id = ''
        if found := _REQUEST_ID.search(data):
            self.request_id = found[1].decode()

    async def _hold(self) -> None:
        """Wait until it is not silent; a reset waits as data do."""
        while self.fault is not None and self.fault.mode is FaultMode.SILENT:
            await self.fault.ended.wait()

    async def _lets_pass(
        self, data: bytes, reader: asyncio.StreamReader
    ) -> bool:
        fault = self.fault
        if fault is not None and fault.mode is FaultMode.SLOW:
            await asyncio.sleep(_DELAY_S + len(data) / _BYTES_PER_S)
        elif not fault or not data:
            # An end is the other side's doing, unless bytes before it lack.
            pass
        elif fault.affects_requests is (reader is self.reader):
            self.swallowed.append(reader)
            self._note(fault.mode.value)
            if fault.mode is FaultMode.RESET:
                self.reset()
        return reader not in self.swallowed
