"""How many connections each server of a router may have."""

from __future__ import annotations

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
