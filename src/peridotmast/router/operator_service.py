"""Calls that a router answers to operators over gRPC."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast.coordination import config_feed as config_feed_
from peridotmast.coordination import lease as lease_
from peridotmast.coordination import members as members_
from peridotmast.duties import event_plan
from peridotmast import failures
from peridotmast import logs
from peridotmast.router import rollout_views
from peridotmast import rpc
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import decisions as decisions_
from peridotmast.serving.scarcity import control as scarcity_
from peridotmast.serving.speeds import speeds as speeds_
from peridotmast.serving import upstreams as upstreams_

_CALL_TIMEOUT_MS = 1000
_ANY_VERSION = (1 << 63) - 1
"""Known version in a request whose reply is to contain no documents."""
READ = 'read'
CONFIG = 'config'
DRAIN = 'drain'


class OperatorService:
    """Handlers of the Operators service.

    The ``[operator NAME]`` sections of the configuration state the roles of
    each operator, by the name in the operator's certificate. Without TLS there
    are no names, and every caller has all roles.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        feed: config_feed_.ConfigFeed,
        members: members_.Members,
        table: upstreams_.UpstreamTable,
        lease: lease_.Lease,
        decisions: decisions_.Decisions,
        peers: rpc.RpcClient,
        operators: rpc.RpcClient,
        start_drain: ty.Callable[[], None],
        rollouts: rollout_views.RolloutViews,
        scarcity: scarcity_.ScarcityControl,
        speeds: speeds_.Speeds,
        tls: pb.TlsSettings,
    ) -> None:
        self._clock = clock
        self._feed = feed
        self._members = members
        self._table = table
        self._lease = lease
        self._decisions = decisions
        self._peers = peers
        self._operators = operators
        self._start_drain = start_drain
        self._rollouts = rollouts
        self._scarcity = scarcity
        self._speeds = speeds
        self._tls = tls
        self._log = logs.get('operators', router=members.me.name)

    def ConfigApply(  # noqa: N802
        self, req: pb.ConfigApplyRequest, caller: rpc.Caller
    ) -> pb.ConfigApplyReply:
        """Check a document, and commit it if its base version is current."""
        self._require_role(caller, READ if req.check_only else CONFIG)
        found = config_feed_.check(req.document)
        if found or req.check_only:
            texts = [pb.FindingText(place=f.place, text=f.text) for f in found]
            return pb.ConfigApplyReply(findings=texts)
        result = self._feed.commit(
            req.document,
            req.base_version,
            caller.name or 'operator',
            req.comment,
            self._clock.wall_time(),
        )
        if isinstance(result, failures.Failure):
            return self._commit_failed(result)
        self._log.info('document_committed', version=result, by=caller.name)
        return pb.ConfigApplyReply(version=result)

    def ConfigStatus(  # noqa: N802
        self, req: pb.ConfigStatusRequest, caller: rpc.Caller
    ) -> pb.ConfigStatusReply:
        """Return the versions in force at each router, and the document."""
        self._require_role(caller, READ)
        members = [self._members.me]
        members += [peer.member for peer in self._members.peers()]
        return pb.ConfigStatusReply(
            nodes=[self._node_status(member) for member in members],
            document_version=self._feed.product.version,
            document=self._feed.product.document.get('document') or '',
        )

    def ConfigHistory(  # noqa: N802
        self, req: pb.ConfigHistoryRequest, caller: rpc.Caller
    ) -> pb.ConfigHistoryReply:
        """Return who changed the document, and when."""
        self._require_role(caller, READ)
        history = self._feed.product.document.get('history') or ()
        return pb.ConfigHistoryReply(
            changes=[
                pb.ConfigHistoryReply.Change(
                    version=number,
                    by=change.get('by') or '',
                    comment=change.get('comment') or '',
                    at_ms=int(change.get('at-ms') or 0),
                )
                for number, change in enumerate(history, 1)
            ]
        )

    def NodeList(  # noqa: N802
        self, req: pb.NodeListRequest, caller: rpc.Caller
    ) -> pb.NodeListReply:
        """Return the routers and the holder of the lease on the duties."""
        self._require_role(caller, READ)
        now = self._members.clock.now()
        reply = pb.NodeListReply()
        reply.nodes.add(member=self._members.me, silent_ms=-1)
        for other in self._members.peers():
            silent_ms = (
                now - other.last_beacon_at if other.last_beacon_at else now
            )
            reply.nodes.add(member=other.member, silent_ms=silent_ms)
        hint = self._lease.known_holder()
        if hint is not None:
            reply.lease.CopyFrom(hint)
        return reply

    def NodeDrain(  # noqa: N802
        self, req: pb.NodeDrainRequest, caller: rpc.Caller
    ) -> pb.NodeDrainReply:
        """Start a planned stop of this router or of another one."""
        self._require_role(caller, DRAIN)
        if req.name == self._members.me.name:
            self._start_drain()
            return pb.NodeDrainReply(begun=True)
        other = self._members.get(req.name)
        if other is None:
            return pb.NodeDrainReply(reason=f'no router {req.name}')
        reply = self._operators.call(
            other.member.peer_address, 'NodeDrain', req, _CALL_TIMEOUT_MS
        )
        if isinstance(reply, failures.Failure):
            return pb.NodeDrainReply(reason=reply.reason)
        return reply

    def NodeShow(  # noqa: N802
        self, req: pb.NodeShowRequest, caller: rpc.Caller
    ) -> pb.NodeShowReply:
        """Return what a router measures: scarcity and upstream speeds."""
        self._require_role(caller, READ)
        if req.name and req.name != self._members.me.name:
            return self._show_other(req)
        reply = self._show_node()
        reply.speeds_setting = self._speeds.mode
        for (name, born), (speed, samples) in self._speeds.speeds().items():
            reply.speeds.add(
                upstream=name, born=born, speed=speed, samples=samples
            )
        return reply

    def UpstreamList(  # noqa: N802
        self, req: pb.UpstreamListRequest, caller: rpc.Caller
    ) -> pb.UpstreamListReply:
        """Return the upstreams with their load and health."""
        self._require_role(caller, READ)
        reply = pb.UpstreamListReply()
        for view in sorted(self._table.all(), key=lambda view: view.name):
            load = view.total_load()
            reply.upstreams.add(
                record=view.record,
                load=pb.UpstreamLoad(
                    upstream=view.name,
                    running=load.running,
                    unread=load.unread,
                    memory=load.memory,
                ),
                health=view.health.breaker.value,
            )
        return reply

    def RequestShow(  # noqa: N802
        self, req: pb.RequestShowRequest, caller: rpc.Caller
    ) -> pb.RequestShowReply:
        """Return the decisions of all routers on a request."""
        self._require_role(caller, READ)
        reply = self.local_steps(req)
        for other in self._members.live_peers():
            theirs = self._peers.call(
                other.member.peer_address,
                'FetchRequest',
                req,
                _CALL_TIMEOUT_MS,
            )
            if not isinstance(theirs, failures.Failure):
                reply.steps.extend(theirs.steps)
        ordered = sorted(reply.steps, key=lambda step: step.at_ms)
        return pb.RequestShowReply(steps=ordered)

    def EventPlan(  # noqa: N802
        self, req: pb.PlanRequest, caller: rpc.Caller
    ) -> pb.PlanReply:
        """Explain which capacity is ordered for the events, when and why."""
        self._require_role(caller, READ)
        plan = event_plan.plan(self._feed.config, self._clock.wall_time())
        return pb.PlanReply(lines=event_plan.explain(plan))

    def RolloutList(  # noqa: N802
        self, req: pb.RolloutListRequest, caller: rpc.Caller
    ) -> pb.RolloutListReply:
        """Return the known roll-outs and the findings on stored orders."""
        self._require_role(caller, READ)
        return self._rollouts.list()

    def RolloutShow(  # noqa: N802
        self, req: pb.RolloutShowRequest, caller: rpc.Caller
    ) -> pb.RolloutShowReply:
        """Return the evidence on the roll-out of one service."""
        self._require_role(caller, READ)
        return self._rollouts.show(req.service)

    def local_steps(self, req: pb.RequestShowRequest) -> pb.RequestShowReply:
        """Return this router's decisions on a request."""
        reply = pb.RequestShowReply()
        for at, text in self._decisions.history(req.request_id):
            reply.steps.add(router=self._members.me.name, at_ms=at, text=text)
        return reply

    def _show_other(self, req: pb.NodeShowRequest) -> pb.NodeShowReply:
        """Return what another router replies."""
        other = self._members.get(req.name)
        if other is None:
            return pb.NodeShowReply(reason=f'no router {req.name}')
        reply = self._operators.call(
            other.member.peer_address, 'NodeShow', req, _CALL_TIMEOUT_MS
        )
        if isinstance(reply, failures.Failure):
            return pb.NodeShowReply(reason=reply.reason)
        return reply

    def _require_role(self, caller: rpc.Caller, role: str) -> None:
        """Raise `rpc.PermissionDenied` if the caller does not have `role`."""
        if (
            not self._tls.cert_file
            or self._tls.router_name in caller.alt_names
        ):
            return
        operators = self._feed.config.operators
        if not operators and not self._feed.product.version:
            # Before the first document no operators are defined.
            return
        if any(caller.name == o.name and role in o.may for o in operators):
            return
        raise rpc.PermissionDenied(f'{caller.name or "nobody"} may not {role}')

    def _show_node(self) -> pb.NodeShowReply:
        """Return the scarcity of the services as this router knows it."""
        settings = self._scarcity.settings
        reply = pb.NodeShowReply(
            name=self._members.me.name,
            scarcity_order=settings.order,
            scarcity_refuse=settings.refuse,
        )
        for name, state in sorted(self._scarcity.states().items()):
            reply.services.add(
                name=name,
                short=state.is_short,
                scarcity=state.ratio,
                running=round(state.figures.running),
                slots=state.figures.slots,
                memory=round(state.figures.memory),
                memory_tokens=state.figures.memory_tokens,
            )
        return reply

    def _node_status(self, member: pb.Member) -> pb.ConfigStatusReply.Node:
        node = pb.ConfigStatusReply.Node(name=member.name)
        if member.name == self._members.me.name:
            node.config_version = self._feed.routes.version
            node.document_version = self._feed.product.version
            return node
        # Without documents: those of a whole fleet would saturate the link.
        request = pb.ConfigRequest(
            known_version=_ANY_VERSION, known_document=_ANY_VERSION
        )
        reply = self._peers.call(
            member.peer_address, 'FetchConfig', request, _CALL_TIMEOUT_MS
        )
        if isinstance(reply, failures.Failure):
            node.reason = reply.reason
        else:
            node.config_version = reply.config_version
            node.document_version = reply.document_version
        return node

    def _commit_failed(self, failure: failures.Failure) -> pb.ConfigApplyReply:
        if failure.kind is not failures.FailureKind.CONFLICT:
            text = f'not known to be committed: {failure.reason}'
            return pb.ConfigApplyReply(
                findings=[pb.FindingText(place='platform', text=text)]
            )
        return pb.ConfigApplyReply(
            conflict=True,
            current_version=self._feed.product.version,
            current_document=self._feed.product.document.get('document') or '',
        )
