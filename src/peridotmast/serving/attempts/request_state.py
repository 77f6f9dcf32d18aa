"""Progress of one request over its attempts."""

from __future__ import annotations

import typing as ty

from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import dialect as dialect_
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import reply as reply_
from peridotmast.serving import sender as sender_
from peridotmast.serving import standby as standby_


class RequestState:
    """Progress of one request over its attempts.

    Parameters
    ----------
    exchange : exchange.Exchange
        The request.
    service : pb.Service
        Service that is to answer it.
    """

    def __init__(
        self, exchange: exchange_.Exchange, service: pb.Service
    ) -> None:
        self.exchange = exchange
        self.service = service
        self.tried: set[str] = set()
        self.accepted_by: set[str] = set()
        """Upstreams that accepted the request."""
        self.earlier_runs = exchange.earlier_runs
        """Number of attempts that ran or may have run at other routers."""
        self.runs = self.earlier_runs
        """Number of attempts that ran or may have run."""
        self.was_sent = False
        """Whether an attempt was sent to an upstream."""
        self.connect_failures = 0
        """Number of upstreams that could not be connected to."""
        self.is_final = False
        """Whether a peer has refused the request for all routers."""
        self.resume_point = (
            None
            if exchange.last_event is None
            else dialect_.ResumePoint(exchange.last_event)
        )
        """Where a stream that was interrupted at another router goes on."""
        self.heard_at = 0
        """Time at which the current attempt was sent or its head arrived, in
        ms."""
        self.standby: ty.Optional[standby_.Standby] = None
        """Searches for another attempt while the current one is silent."""
        self.replacement: ty.Optional[sender_.Sent] = None
        """Attempt that has replaced a silent one."""
        self.counted = False
        """Whether the request was counted in `Usage`."""
        self.fallback: ty.Optional[reply_.Reply] = None
        """Error response of an upstream, returned if all retries fail."""

    def note_peer_runs(self) -> None:
        """Record that a peer may have made all attempts left to it.

        The current one is counted by the caller.
        """
        self.runs = max(self.runs, self.exchange.route.attempts - 2)
