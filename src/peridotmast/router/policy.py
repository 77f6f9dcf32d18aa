"""Routing policies: which of the usable upstreams a request goes to."""

from __future__ import annotations

import itertools
import typing as ty

from peridotmast.router import call as call_
from peridotmast.router import prefix_record
from peridotmast.router import upstreams as upstreams_
from peridotmast.schema import peridotmast_pb2 as pb

QUEUE_SHARE = {
    pb.WORK_INTERACTIVE: 0.5,
    pb.WORK_STANDARD: 0.1,
    pb.WORK_DRAFT: 0.0,
}
"""Requests above an engine's slots that may wait inside it, as a share.

An engine's queue goes by priority: interactive work that waits there gets the
next slot that is freed, wherever a router with drafts may be.
"""

_PREFILL_PER_STEP = 512
_LOAD_STEPS = 6.0
_FULL_STEPS = 40.0
_DISTANCE_STEPS = 0.3
_PRICE_STEPS = 1.0
_BATCH_STEPS = 8.0


class Policy(ty.Protocol):
    """Chooses an upstream."""

    def choose(
        self, call: call_.Call, usable: list[upstreams_.UpstreamView]
    ) -> ty.Optional[upstreams_.UpstreamView]:
        """Return the best of `usable` that has room, or None."""


class ScoredPolicy:
    """Estimates the steps until an answer and takes the least.

    Counted are: load, prompt tokens that the engine's prefix cache does
    not hold, distance between failure domains and, for work that can wait,
    price.

    Parameters
    ----------
    failure_domain : str
        This router's own.
    """

    def __init__(self, failure_domain: str) -> None:
        self._domain = failure_domain

    def choose(
        self, call: call_.Call, usable: list[upstreams_.UpstreamView]
    ) -> ty.Optional[upstreams_.UpstreamView]:
        """Return the upstream with the least estimated work."""
        blocks = prefix_record.prefix_blocks(call.prompt)
        room = [view for view in usable if has_room(view, call.work)]
        return min(
            room,
            key=lambda view: self._score(call, blocks, view),
            default=None,
        )

    def _score(
        self,
        call: call_.Call,
        blocks: list[str],
        view: upstreams_.UpstreamView,
    ) -> tuple[float, str]:
        upstream = view.record.upstream
        held = view.prefixes.hits(blocks) * prefix_record.BLOCK
        prompt = len(blocks) * prefix_record.BLOCK
        score = (prompt - held) / _PREFILL_PER_STEP
        fill = view.load / view.slots
        score += _LOAD_STEPS * fill
        if fill >= 1:
            score += _FULL_STEPS * fill
        if upstream.failure_domain != self._domain:
            score += _DISTANCE_STEPS
        if call.work == pb.WORK_DRAFT:
            score += _PRICE_STEPS * upstream.price
        return score, upstream.name


class LeastLoadedPolicy:
    """Takes the upstream with the smallest share of its slots in use."""

    def choose(
        self, call: call_.Call, usable: list[upstreams_.UpstreamView]
    ) -> ty.Optional[upstreams_.UpstreamView]:
        """Return the least loaded upstream."""
        room = [view for view in usable if has_room(view, call.work)]
        return min(
            room, key=lambda view: (view.load / view.slots, view.name),
            default=None,
        )  # fmt: skip


class RoundRobinPolicy:
    """Takes upstreams in turn; the baseline."""

    def __init__(self) -> None:
        self._turns = itertools.count()

    def choose(
        self, call: call_.Call, usable: list[upstreams_.UpstreamView]
    ) -> ty.Optional[upstreams_.UpstreamView]:
        """Return the next upstream in the order of names."""
        room = [view for view in usable if has_room(view, call.work)]
        room.sort(key=lambda view: view.name)
        return room[next(self._turns) % len(room)] if room else None


def has_room(
    view: upstreams_.UpstreamView, work: pb.Work = pb.WORK_STANDARD
) -> bool:
    """Return whether one more request of `work` may be sent to `view`.

    What is known of the others' load is late. A router that went by it alone
    could be shut out for good by one that fills each place as it is freed,
    so each has a part of the slots that it may use in any case; where that
    is too much the engine queues by priority.
    """
    free = view.load < view.slots * (1 + QUEUE_SHARE[work])
    return free or view.in_flight < view.entitled


def make(name: str, failure_domain: str) -> Policy:
    """Return the policy called `name`.

    Raises
    ------
    ValueError
        If there is none of that name.
    """
    if name == 'scored':
        return ScoredPolicy(failure_domain)
    if name == 'least_loaded':
        return LeastLoadedPolicy()
    if name == 'round_robin':
        return RoundRobinPolicy()
    raise ValueError(f'no routing policy {name}')
