"""Addresses in the form ``IP:port``, with a numeric IP address."""

from __future__ import annotations

import functools
import ipaddress

_MAX_PORT = 65535

_CACHE_SIZE = 1 << 14
"""Maximum number of addresses whose check is cached: two for each of 5,700
upstreams."""


def check(text: str) -> None:
    """Check that `text` is ``IP:port``.

    Raises
    ------
    ValueError
        If `text` has another form; the message states the expected one.
    """
    host, colon, port = text.rpartition(':')
    is_number = port.isascii() and port.isdigit()
    if not colon or not is_number or int(port) > _MAX_PORT:
        raise ValueError('must be IP:port, such as 127.0.0.1:8700')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        raise ValueError('must be IP:port with a numeric address') from None


@functools.lru_cache(maxsize=_CACHE_SIZE)
def is_usable(text: str) -> bool:
    """Return whether `text` is an address that can be connected to."""
    try:
        check(text)
    except ValueError:
        return False
    host, _, port = text.rpartition(':')
    ip = ipaddress.ip_address(host.strip('[]'))
    return int(port) > 0 and not ip.is_unspecified
