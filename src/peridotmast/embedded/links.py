"""Proxies that inject faults into the links of an embedded fleet."""

from __future__ import annotations

import enum
import random
import typing as ty

from peridotmast.client import caller as caller_
from peridotmast.embedded import link_proxy
from peridotmast import green


class LinkKind(enum.Enum):
    """Kind of server to which a link leads."""

    ROUTER = 'router'
    UPSTREAM = 'upstream'
    STORE = 'store'


class Links:
    """Proxies by target address; there are none unless enabled."""

    def __init__(self, enabled: bool) -> None:
        self._enabled = enabled
        self._proxies: dict[str, link_proxy.LinkProxy] = {}
        self._kinds: dict[str, LinkKind] = {}
        self.drop_reasons: dict[str, str] = {}
        """Why a proxy dropped bytes of a request or answer, by request id."""

    def add_proxy(self, kind: LinkKind, address: str) -> None:
        """Start a proxy for `address`, or reopen the existing one."""
        if self._enabled and address not in self._proxies:
            proxy = link_proxy.LinkProxy(address, self.drop_reasons)
            self._proxies[address] = proxy
            self._kinds[address] = kind
        elif self._enabled:
            self._proxies[address].open()

    def connect_address(self, address: str) -> str:
        """Return the proxy's address for `address`, or `address` itself."""
        proxy = self._proxies.get(address)
        return address if proxy is None else proxy.address

    def target_address(self, address: str) -> str:
        """Return the target of the proxy at `address`, or `address` itself."""
        found = (
            target
            for target, proxy in self._proxies.items()
            if proxy.address == address
        )
        return next(found, address)

    def close_proxies(self, *addresses: str) -> None:
        """Close the proxies for `addresses`, as if their VMs were gone."""
        for address in self._proxies.keys() & addresses:
            self._proxies[address].close()

    def inject_fault(
        self,
        kind: LinkKind,
        fault: link_proxy.LinkFault,
        for_ms: int,
        rng: random.Random,
    ) -> None:
        """Inject `fault` into all links of a kind, for `for_ms`."""
        affected = [
            proxy
            for target, proxy in self._proxies.items()
            if self._kinds[target] is kind
        ]
        for proxy in affected:
            proxy.begin_fault(fault, rng)
        green.sleep_ms(for_ms)
        for proxy in affected:
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
