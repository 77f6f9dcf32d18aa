"""Calls that a router answers to its peers over gRPC."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast import compression
from peridotmast.coordination import config_feed as config_feed_
from peridotmast.coordination import members as members_
from peridotmast.router import config_copies
from peridotmast.router import rollout_views
from peridotmast import rpc
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import upstreams as upstreams_


class PeerService:
    """Handlers of the Peer service.

    Only routers may call it. They are recognized by a name that all router
    certificates share: otherwise any holder of a certificate from the same
    authorities could join as a router. Without TLS every caller is accepted.

    Parameters
    ----------
    clock : clock.Clock
        Times the copies of the configuration. This is the machine's clock,
        since links also become free while this router is suspended.
    members : members.Members
        This router and its peers.
    config : config_feed.ConfigFeed
        The configuration in force.
    table : upstreams.UpstreamTable
        The upstreams.
    local_steps : callable
        Returns this router's decisions on a request.
    rollouts : rollout_views.RolloutViews
        Returns what this router knows of a roll-out.
    tls : pb.TlsSettings
        Contains the name that all router certificates share.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        members: members_.Members,
        config: config_feed_.ConfigFeed,
        table: upstreams_.UpstreamTable,
        local_steps: ty.Callable[[pb.RequestShowRequest], pb.RequestShowReply],
        rollouts: rollout_views.RolloutViews,
        tls: pb.TlsSettings,
    ) -> None:
        self._members = members
        self._copies = config_copies.ConfigCopies(
            config, clock, members.me.name
        )
        self._table = table
        self._local_steps = local_steps
        self._rollouts = rollouts
        self._tls = tls

    def Join(  # noqa: N802
        self, req: pb.JoinRequest, caller: rpc.Caller
    ) -> pb.JoinReply:
        """Add a starting router to the members and return all members."""
        self._require_router(caller)
        self._members.merge_entry(req.member)
        peers = [peer.member for peer in self._members.peers()]
        reply = pb.JoinReply(members=[self._members.me, *peers])
        if not req.takes_packed:
            return reply
        return pb.JoinReply(
            packed=compression.compress(reply.SerializeToString())
        )

    def FetchConfig(  # noqa: N802
        self, req: pb.ConfigRequest, caller: rpc.Caller
    ) -> pb.ConfigReply:
        """Return the parts of the configuration that the caller lacks."""
        self._require_router(caller)
        return self._copies.reply_to(req)

    def FetchUpstreams(  # noqa: N802
        self, req: pb.UpstreamsRequest, caller: rpc.Caller
    ) -> pb.UpstreamsReply:
        """Return the upstream records that changed since a revision."""
        self._require_router(caller)
        return pb.UpstreamsReply(
            upstreams=self._table.records_since(req.since),
            revision=self._table.revision,
        )

    def FetchRequest(  # noqa: N802
        self, req: pb.RequestShowRequest, caller: rpc.Caller
    ) -> pb.RequestShowReply:
        """Return this router's decisions on a request."""
        self._require_router(caller)
        return self._local_steps(req)

    def FetchRollout(  # noqa: N802
        self, req: pb.RolloutShowRequest, caller: rpc.Caller
    ) -> pb.RolloutShowReply:
        """Return the evidence on a roll-out that this router leads."""
        self._require_router(caller)
        return self._rollouts.local(req.service)

    def _require_router(self, caller: rpc.Caller) -> None:
        """Raise `rpc.PermissionDenied` if the caller is not a router."""
        is_router = self._tls.router_name in caller.alt_names
        if self._tls.cert_file and not is_router:
            raise rpc.PermissionDenied(
                f'{caller.name or "nobody"} is no router'
            )
