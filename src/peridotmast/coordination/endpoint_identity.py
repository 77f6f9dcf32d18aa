"""Identity of a router's beacon socket, unique among concurrent runs."""

from __future__ import annotations

import os

_BOOT_ID_PATH = '/proc/sys/kernel/random/boot_id'
"""File whose content differs after each boot of a VM."""

_NETWORK_NAMESPACE_PATH = '/proc/self/ns/net'
"""File whose inode distinguishes containers that bind the same address."""


def of_address(address: str) -> str:
    """Return the identity of the socket at `address`; empty if unknown.

    Within one network namespace a kernel gives an address to a single
    datagram socket, unless address sharing is enabled on it. The socket stays
    open as long as its process exists, even while the process is paused. A
    process that has bound the address therefore knows that every earlier run
    with the same identity is dead.

    Parameters
    ----------
    address : str
        ``IP:port`` of a datagram socket that this process has bound and
        keeps open as long as it may hold the lease.
    """
    try:
        with open(_BOOT_ID_PATH, encoding='ascii') as file:
            boot_id = file.read().strip()
        namespace = os.stat(_NETWORK_NAMESPACE_PATH).st_ino
    except OSError:
        return ''
    return f'{boot_id}:{namespace}:{address}' if boot_id else ''
