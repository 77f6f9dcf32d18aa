"""What operators are shown of roll-outs."""

from __future__ import annotations

import typing as ty

from peridotmast.coordination import lease as lease_
from peridotmast.coordination import members as members_
from peridotmast import failures
from peridotmast.platform import rollout_orders
from peridotmast.rollout import rollout_duty
from peridotmast import rpc
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import version_gate

_CALL_TIMEOUT_MS = 1000


class RolloutViews:
    """Answers operators' questions on roll-outs, at any router.

    Parameters
    ----------
    members : members.Members
        All routers.
    gate : version_gate.VersionGate
        What this router knows of the roll-outs.
    orders : rollout_orders.RolloutOrders
        The stored orders, at the holder of the duties.
    duty : rollout_duty.RolloutDuty
        Has the evidence if this router is the holder.
    lease : lease.Lease
        The lease on the duties.
    peers : rpc.RpcClient
        Calls the holder.
    """

    def __init__(
        self,
        members: members_.Members,
        gate: version_gate.VersionGate,
        orders: rollout_orders.RolloutOrders,
        duty: rollout_duty.RolloutDuty,
        lease: lease_.Lease,
        peers: rpc.RpcClient,
    ) -> None:
        self._members = members
        self._gate = gate
        self._orders = orders
        self._duty = duty
        self._lease = lease
        self._peers = peers

    def list(self) -> pb.RolloutListReply:
        """Return the roll-outs that this router knows of."""
        texts = [
            pb.FindingText(place=f.place, text=f.text)
            for f in self._orders.findings
        ]
        return pb.RolloutListReply(
            rollouts=self._gate.states(), findings=texts
        )

    def show(self, service: str) -> pb.RolloutShowReply:
        """Return the evidence on a roll-out, from the holder."""
        holder = self._lease.known_holder()
        name = holder.holder if holder is not None else ''
        if name == self._members.me.name:
            return self.local(service)
        peer = self._members.get(name)
        if peer is None:
            return pb.RolloutShowReply(failure='no holder of the duties')
        reply = self._peers.call(
            peer.member.peer_address,
            'FetchRollout',
            pb.RolloutShowRequest(service=service),
            _CALL_TIMEOUT_MS,
        )
        if isinstance(reply, failures.Failure):
            return pb.RolloutShowReply(failure=f'{name}: {reply.reason}')
        return reply

    def local(self, service: str) -> pb.RolloutShowReply:
        """Return the evidence on a roll-out that this router leads."""
        run = self._duty.show(service)
        if run is None:
            return pb.RolloutShowReply(failure=f'no roll-out of {service}')
        rows: ty.Iterable[pb.RolloutShowReply.Row] = (
            pb.RolloutShowReply.Row(
                route=row.route,
                measure=row.measure.value,
                target_count=row.target.total,
                target_bad=row.target.bad,
                other_count=row.baseline.total,
                other_bad=row.baseline.bad,
                evidence=row.log_evidence,
            )
            for row in run.verdict.rows
        )
        return pb.RolloutShowReply(
            state=run.state, rows=rows, waiting_for=run.waiting_for
        )
