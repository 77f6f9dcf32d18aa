"""Calls to peers that are logged with their duration and outcome."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import logs
from peridotmast import rpc


class PeerCalls:
    """Calls peers and logs the duration and the outcome of each call.

    Parameters
    ----------
    clock : clock.Clock
        Times the calls.
    peers : rpc.RpcClient
        Sends the calls.
    router : str
        Name of this router, for the log.
    """

    def __init__(
        self, clock: clock_.Clock, peers: rpc.RpcClient, router: str
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._log = logs.get('peer_calls', router=router)

    def call(
        self, address: str, method: str, request: ty.Any, timeout_ms: int
    ) -> ty.Any:
        """Return the reply, or a `failures.Failure` if there was none."""
        began = self._clock.now()
        reply = self._peers.call(address, method, request, timeout_ms)
        failed = isinstance(reply, failures.Failure)
        self._log.info(
            'peer_called',
            peer=address,
            method=method,
            outcome=reply.reason if failed else 'answered',
            bytes=0 if failed else reply.ByteSize(),
            ms=self._clock.now() - began,
        )
        return reply
