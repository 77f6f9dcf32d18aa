"""One upstream of an embedded fleet."""

from __future__ import annotations

import typing as ty

from peridotmast.schema import peridotmast_pb2 as pb


class UpstreamInstance:
    """One upstream that runs, with its entry in the store."""

    def __init__(self, record: pb.UpstreamRecord, upstream: ty.Any) -> None:
        self.record = record
        """What its entry says."""
        self.upstream = upstream
        """The stand-in."""
        self.started_ms = 0
        self.ended_ms = 0
        """When it was stopped, on the fleet's clock; 0 while it runs."""

    @property
    def name(self) -> str:
        """Its id, which its next run may have too."""
        return self.record.upstream.name
