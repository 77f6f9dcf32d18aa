"""One upstream of an embedded fleet."""

from __future__ import annotations

import typing as ty

from peridotmast.schema import peridotmast_pb2 as pb


class UpstreamInstance:
    """One incarnation of an upstream, with its entry in the store."""

    def __init__(self, record: pb.UpstreamRecord, upstream: ty.Any) -> None:
        self.record = record
        """Content of its entry in the store."""
        self.upstream = upstream
        """Stand-in that serves its requests."""
        self.started_ms = 0
        """Time at which it was started, on the fleet's clock."""
        self.ended_ms = 0
        """Time at which it was stopped, on that clock; 0 while it runs."""

    @property
    def name(self) -> str:
        """Id of the upstream; a restarted instance keeps it."""
        return self.record.upstream.name
