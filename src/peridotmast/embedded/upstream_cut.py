"""Partition of one embedded router from the upstreams."""

from __future__ import annotations

import enum
import random
import socket
import typing as ty

from peridotmast.embedded import link_proxy
from peridotmast.router import router as router_


class CutMode(enum.Enum):
    """What a router sees of the upstreams that it is cut from.

    Silent: open connections pass no bytes, and connecting times out. Reset:
    open connections are reset, and new ones refused. Refused: open connections
    go on, and new ones are refused.
    """

    SILENT = 'silent'
    RESET = 'reset'
    REFUSED = 'refused'


class UpstreamCut:
    """Links of one router to the upstreams, which can be cut.

    Parameters
    ----------
    router : router.Router
        The router. Connections that it opens from now on can be cut.
    """

    def __init__(self, router: router_.Router) -> None:
        self._proxies: dict[str, link_proxy.LinkProxy] = {}
        self._faults: dict[str, link_proxy.LinkFault] = {}
        self._refused: set[str] = set()
        self._unanswering = _UnansweringListener()
        self._refusing = _RefusingPort()
        router.serving.pool.connect_address = self._connect_address

    def begin(
        self, mode: CutMode, addresses: ty.Optional[ty.Iterable[str]] = None
    ) -> None:
        """Cut the links to some upstreams, by default to all."""
        for address in list(addresses or self._proxies):
            proxy = self._proxy_of(address)
            if mode is CutMode.SILENT:
                fault = link_proxy.LinkFault(link_proxy.FaultMode.SILENT)
                proxy.begin_fault(fault, random.Random(0))
                self._faults[address] = fault
                continue
            self._refused.add(address)
            if mode is CutMode.RESET:
                proxy.reset_open()

    def end(self) -> None:
        """Restore all links."""
        for address, fault in self._faults.items():
            self._proxies[address].end_fault(fault)
        self._faults.clear()
        self._refused.clear()

    def close(self) -> None:
        """Close all proxies."""
        self.end()
        self._unanswering.close()
        self._refusing.close()
        for proxy in self._proxies.values():
            proxy.close()

    def _connect_address(self, address: str) -> str:
        proxy = self._proxy_of(address)
        if address in self._faults:
            return self._unanswering.address
        if address in self._refused:
            return self._refusing.address
        return proxy.address

    def _proxy_of(self, address: str) -> link_proxy.LinkProxy:
        if address not in self._proxies:
            self._proxies[address] = link_proxy.LinkProxy(address, {})
        return self._proxies[address]


class _UnansweringListener:
    """A listener with a full backlog: connecting to it times out."""

    def __init__(self) -> None:
        self._sock = socket.socket()
        self._sock.bind(('127.0.0.1', 0))
        self._sock.listen(0)
        host, port = self._sock.getsockname()
        self.address = f'{host}:{port}'
        self._filling = [socket.socket() for _ in range(4)]
        for sock in self._filling:
            sock.setblocking(False)
            sock.connect_ex((host, port))

    def close(self) -> None:
        for sock in (self._sock, *self._filling):
            sock.close()


class _RefusingPort:
    """A port that is taken, and at which nothing listens."""

    def __init__(self) -> None:
        self._sock = socket.socket()
        self._sock.bind(('127.0.0.1', 0))
        host, port = self._sock.getsockname()
        self.address = f'{host}:{port}'

    def close(self) -> None:
        self._sock.close()
