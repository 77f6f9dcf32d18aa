"""The proxies in front of the links of an embedded fleet."""

from __future__ import annotations

import enum
import random
import typing as ty

from peridotmast.client import caller as caller_
from peridotmast.embedded import link_proxy
from peridotmast import green


class LinkKind(enum.Enum):
    """Whom a link leads to."""

    ROUTER = 'router'
    UPSTREAM = 'upstream'
    STORE = 'store'


class Links:
    """Proxies by the address that each stands before, if there are any."""

    def __init__(self, is_on: bool) -> None:
        self._is_on = is_on
        self._proxies: dict[str, link_proxy.LinkProxy] = {}
        self._kinds: dict[str, LinkKind] = {}
        self.drop_reasons: dict[str, str] = {}
        """Why a proxy kept bytes back for good, by request id."""

    def add_proxy(self, kind: LinkKind, address: str) -> None:
        """Put a proxy before `address`, or open the one that is there."""
        if self._is_on and address not in self._proxies:
            proxy = link_proxy.LinkProxy(address, self.drop_reasons)
            self._proxies[address] = proxy
            self._kinds[address] = kind
        elif self._is_on:
            self._proxies[address].open()

    def connect_address(self, address: str) -> str:
        """Return where to connect to reach `address`."""
        proxy = self._proxies.get(address)
        return address if proxy is None else proxy.address

    def target_address(self, address: str) -> str:
        """Return what a proxy's address stands for."""
        found = (a for a, p in self._proxies.items() if p.address == address)
        return next(found, address)

    def cut(self, *addresses: str) -> None:
        """End the proxies before `addresses`, as if their VMs were gone."""
        for address in self._proxies.keys() & addresses:
            self._proxies[address].close()

    def inject_fault(
        self,
        kind: LinkKind,
        fault: link_proxy.LinkFault,
        for_ms: int,
        draws: random.Random,
    ) -> None:
        """Let all links of a kind have `fault` for a while."""
        hit = [p for a, p in self._proxies.items() if self._kinds[a] is kind]
        for proxy in hit:
            proxy.begin_fault(fault, draws)
        green.sleep_ms(for_ms)
        for proxy in hit:
            proxy.end_fault(fault)

    def caller(self, *args: ty.Any) -> caller_.Caller:
        """Return a caller that connects through the proxies."""
        return _LinkedCaller(self, *args)


class _LinkedCaller(caller_.Caller):
    def __init__(self, links: Links, *args: ty.Any) -> None:
        super().__init__(*args)
        self._links = links

    def resolve(self) -> list[str]:
        return [
            self._links.connect_address(address)
            for address in super().resolve()
        ]
