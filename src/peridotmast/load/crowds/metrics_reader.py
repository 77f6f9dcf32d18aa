"""Reads the metrics that a router serves."""

from __future__ import annotations

from prometheus_client import parser

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast.wire import connection as connection_

_CONNECT_MS = 1000
_LIMIT_MS = 5000
_MAX_BYTES = 1 << 20


def read(address: str) -> dict[str, float]:
    """Return each value by its name with labels; empty if unanswered."""
    clock = clock_.SystemClock()
    conn = connection_.Connection(address, clock)
    if conn.connect(_CONNECT_MS) is not None:
        return {}
    try:
        return _parse(_get(conn, clock.now() + _LIMIT_MS))
    finally:
        conn.close()


def _get(conn: connection_.Connection, deadline: int) -> bytes:
    headers = [('Host', 'router')]
    if conn.send('GET', '/metrics', headers, b'', deadline) is not None:
        return b''
    head = conn.read_head('GET', deadline)
    if isinstance(head, failures.Failure):
        return b''
    body = conn.read_all(deadline, _MAX_BYTES)
    return body if isinstance(body, bytes) else b''


def _parse(text: bytes) -> dict[str, float]:
    families = parser.text_string_to_metric_families(text.decode())
    return {
        sample.name + _labels(sample.labels): sample.value
        for family in families
        for sample in family.samples
    }


def _labels(labels: dict[str, str]) -> str:
    pairs = ','.join(f'{name}="{value}"' for name, value in labels.items())
    return f'{{{pairs}}}' if pairs else ''
