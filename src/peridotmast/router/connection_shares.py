"""How many connections each server of a router may have."""

from __future__ import annotations

from peridotmast import machine
from peridotmast.schema import peridotmast_pb2 as pb

_SHARES = {
    'platform': 0.7,
    'forward': 0.14,
    'directory': 0.08,
    'ready': 0.04,
    'metrics': 0.04,
}
"""Share of the connections by server. Each has its own, so that clients of one
can't keep peers, readiness checks and operators from another."""

_CHAT_SHARE = 0.35
"""Share of the callers' connections for the chat API, where it is served."""

_MIN_CONNECTIONS = 2

_CONNECTION_BYTES = 57_344
"""Memory of a connection: its task and its buffers, and what may have arrived
on it without being read, in bytes."""

_MEMORY_SHARE = 0.3
"""Share of the memory for connections, beside that for requests."""


def total_connections(file: pb.RouterFile) -> int:
    """Return the number of connections of all servers of a router.

    Parameters
    ----------
    file : pb.RouterFile
        Checked settings.
    """
    cfg = file.machine
    by_descriptors = cfg.caller_share * machine.descriptors(cfg.descriptors)
    by_memory = (
        _MEMORY_SHARE * machine.memory_bytes(cfg.memory_mb) / _CONNECTION_BYTES
    )
    return int(min(by_descriptors, by_memory))


def rpc_connections(file: pb.RouterFile) -> int:
    """Return the number of gRPC connections of peers and operators.

    Parameters
    ----------
    file : pb.RouterFile
        Checked settings.
    """
    cfg = file.machine
    share = int(cfg.peer_share * machine.descriptors(cfg.descriptors))
    return max(_MIN_CONNECTIONS, share)


class ConnectionShares:
    """Divides the connections between the servers.

    Parameters
    ----------
    total : int
        Number of connections of all servers together.
    has_chat : bool
        Whether the chat API is served.
    """

    def __init__(self, total: int, has_chat: bool) -> None:
        self._total = total
        self._shares = dict(_SHARES)
        if has_chat:
            callers = self._shares['platform']
            self._shares['chat'] = _CHAT_SHARE * callers
            self._shares['platform'] = (1 - _CHAT_SHARE) * callers

    def of(self, server: str) -> int:
        """Return the maximum number of connections of a server."""
        return max(_MIN_CONNECTIONS, int(self._shares[server] * self._total))
