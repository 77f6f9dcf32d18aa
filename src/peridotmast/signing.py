"""Signatures of messages between routers, by the secret that they share."""

from __future__ import annotations

import hashlib
import hmac

TAG_BYTES = 16
"""Length of a signature, in bytes."""


def sign(secret: bytes, data: bytes) -> bytes:
    """Return the signature of `data`; empty without a secret."""
    if not secret:
        return b''
    return hmac.digest(secret, data, hashlib.sha256)[:TAG_BYTES]


def is_valid(secret: bytes, data: bytes, tag: bytes) -> bool:
    """Return whether `tag` is the signature of `data`."""
    return hmac.compare_digest(tag, sign(secret, data))


def is_valid_hex(secret: bytes, data: bytes, text: str) -> bool:
    """Return whether `text` is the signature of `data` in hexadecimal."""
    return hmac.compare_digest(
        text.encode(), sign(secret, data).hex().encode()
    )
