"""Loopback addresses for the routers of embedded fleets."""

from __future__ import annotations

import ipaddress
import os

_HOSTS = ipaddress.IPv4Network('127.128.0.0/10')
"""Loopback addresses on which nothing else listens on this machine."""

_HOSTS_PER_PROCESS = 512
"""Addresses for each process; a soak of one hour uses about 60. Any 8,192
consecutive process ids get distinct addresses."""


class LoopbackHosts:
    """Assigns an address to each router name, as if it had its own VM.

    A router restarts at the ports that it had before. At an address that it
    shares with other programs, the kernel could assign these ports to another
    listener in between.
    """

    def __init__(self) -> None:
        self._first = os.getpid() * _HOSTS_PER_PROCESS % _HOSTS.num_addresses
        self._hosts: dict[str, str] = {}

    def host_of(self, name: str) -> str:
        """Return the address of a router, the same for each of its runs.

        Raises
        ------
        ValueError
            If the process has used all of its addresses.
        """
        number = len(self._hosts)
        if name not in self._hosts and number >= _HOSTS_PER_PROCESS:
            raise ValueError(f'no address left for {name}')
        return self._hosts.setdefault(name, str(_HOSTS[self._first + number]))
