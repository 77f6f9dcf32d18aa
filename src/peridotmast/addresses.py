"""Addresses as all parts write them: ``IP:port``, the IP as a number."""

from __future__ import annotations

import functools
import ipaddress

_LAST_PORT = 65535

_KEPT = 1 << 14
"""Addresses whose check is kept: two for each of 5,700 upstreams."""


def check(text: str) -> None:
    """Check that `text` is ``IP:port``.

    Raises
    ------
    ValueError
        If it is not, with what would be right.
    """
    host, colon, port = text.rpartition(':')
    is_number = port.isascii() and port.isdigit()
    if not colon or not is_number or int(port) > _LAST_PORT:
        raise ValueError('must be IP:port, such as 127.0.0.1:8700')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        raise ValueError('must be IP:port with a numeric address') from None


@functools.lru_cache(maxsize=_KEPT)
def is_usable(text: str) -> bool:
    """Return whether something can be sent to `text`."""
    try:
        check(text)
    except ValueError:
        return False
    host, _, port = text.rpartition(':')
    ip = ipaddress.ip_address(host.strip('[]'))
    return int(port) > 0 and not ip.is_unspecified
