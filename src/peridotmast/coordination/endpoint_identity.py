"""Where a run of a router stands: what no two runs can have at one time."""

from __future__ import annotations

import os

_BOOT = '/proc/sys/kernel/random/boot_id'
"""Differs by each start of a VM."""

_NETWORK = '/proc/self/ns/net'
"""Its inode tells containers apart that bind the same address."""


def of_address(address: str) -> str:
    """Return the place of who has bound `address`; empty if not known.

    One kernel gives an address in one of its networks to one datagram
    socket only, as long as nobody sets that it may be shared. The socket is
    open while its process lives, also where that is paused. So who has
    bound it knows that each earlier run at the same place is dead.

    Parameters
    ----------
    address : str
        ``IP:port`` of a datagram socket that this process has bound and
        keeps open as long as it acts.
    """
    try:
        with open(_BOOT, encoding='ascii') as file:
            boot = file.read().strip()
        network = os.stat(_NETWORK).st_ino
    except OSError:
        return ''
    return f'{boot}:{network}:{address}' if boot else ''
