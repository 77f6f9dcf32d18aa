"""Upstreams that fall over if too many requests are refused at them."""

from __future__ import annotations

import dataclasses
import math
import typing as ty

from peridotmast import clock as clock_
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving.limits import refusals as refusals_
from peridotmast.serving.limits import slot_shares
from peridotmast.serving import upstream_view

_FULL_WAIT_MS = 100
"""Time after which a place may be free at an upstream, in ms."""

_UNANSWERED_SHARE = 1
"""Slots of a brittle upstream that a router uses before its first answer."""

_REPORTED_MS = 60_000
"""Time for which a statement that is not renewed is sent to peers, in ms."""

_RENEWED_MS = 3000
"""Time in which answers of a brittle service renew its statement at all
routers, in ms: in a large fleet it is relayed for up to 1.5 s."""

_MAX_SERVICES = 1024
"""Maximum number of services whose statement is kept, about 200 bytes each."""


@dataclasses.dataclass
class _Statement:
    """The newest statement that upstreams of a service are brittle."""

    limit: float
    """Refusals a second that an upstream bears."""
    at: int
    """Time at which it was made, in ms."""


class Brittleness:
    """Keeps requests from upstreams that would refuse them for want of room.

    A brittle upstream states how many refusals a second it bears. While it
    does, each router uses only its share of the slots, so that all routers
    together have no more requests there than it has slots. The statement of
    one upstream holds for all of its service at all routers, until an upstream
    itself states otherwise. A router that has no answer of a service yet, and
    knows no statement, keeps to its shares as well.

    After a refusal, the router that was refused uses one slot less for a
    while. Once the refusals that are known come near the limit, no router
    sends anything to the upstream for the rest of their second.

    Parameters
    ----------
    clock : clock.Clock
        Times statements and refusals.
    router : str
        Name of this router.
    shares : slot_shares.SlotShares
        Divides the slots between the routers.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        router: str,
        shares: slot_shares.SlotShares,
    ) -> None:
        self._clock = clock
        self.shares = shares
        """Divides the slots between the routers."""
        self._refusals = refusals_.Refusals(clock, router)
        self._log = logs.get('brittleness', router=router)
        self._statements: dict[str, _Statement] = {}
        self.awaits_peers: ty.Callable[[], bool] = lambda: False
        """Returns whether there are peers, and none has sent a beacon yet."""
        self._answered: set[str] = set()
        """Services of which an answer was read."""
        self._unstated_at: dict[str, int] = {}
        """Time of the last answer of a service that states nothing, in ms."""
        self._ended_at: dict[str, int] = {}
        """Time at which a statement on a service was found to be over, in
        ms."""
        self.notify_peers: ty.Callable[[], None] = lambda: None
        """Called when a change must be sent to peers at once, without waiting
        for the next beacon."""

    def note_answer(
        self,
        view: upstream_view.UpstreamView,
        limit: float,
        refused: bool,
    ) -> None:
        """Record what the head of an answer states.

        Parameters
        ----------
        limit : float
            Refusals a second that the upstream bears; 0 if it states none.
        refused : bool
            Whether the answer is a refusal.
        """
        now = self._clock.now()
        self._answered.add(view.service)
        view.brittle_limit, view.stated_at = limit, now
        if not limit:
            self._note_unstated(view.service, now)
            return
        is_new = self._merge(view.service, limit, now)
        if refused:
            self._refusals.note(view)
        if is_new or refused:
            self.notify_peers()

    def limit(self, view: upstream_view.UpstreamView) -> float:
        """Return how many refusals a second an upstream bears.

        0 if it bears any number, as far as is known.
        """
        statement = self._statements.get(view.service)
        if statement is None or statement.at <= view.stated_at:
            return view.brittle_limit
        return statement.limit

    def wait_ms(self, view: upstream_view.UpstreamView) -> int:
        """Return how long this router must not send to an upstream, in ms."""
        limit = self.limit(view)
        if not limit:
            if view.service in self._answered:
                return 0
            return 0 if self._has_room(view) else _FULL_WAIT_MS
        wait_ms = self._refusal_wait_ms(view)
        if wait_ms or self._has_room(view):
            return wait_ms
        return _FULL_WAIT_MS

    def peers_with_room(
        self, views: ty.Iterable[upstream_view.UpstreamView]
    ) -> set[str]:
        """Return peers that may send to some upstream when this router can't.

        Empty if no upstream is kept from this router by the shares alone.
        """
        return {
            name
            for view in views
            if self.wait_ms(view) and not self._refusal_wait_ms(view)
            for name in self.shares.peers_with_room(view)
        }

    def updates_for_peers(self) -> list[pb.BrittleService]:
        """Return the statements to send to peers."""
        now = self._clock.now()
        stated = [
            (service, statement.limit, statement.at)
            for service, statement in self._statements.items()
            if now - statement.at <= _REPORTED_MS
        ]
        over = [
            (service, 0.0, self._unstated_at[service])
            for service, ended_at in self._ended_at.items()
            if now - ended_at <= _REPORTED_MS
        ]
        return [
            pb.BrittleService(service=service, limit=limit, ago_ms=now - at)
            for service, limit, at in (*stated, *over)
        ]

    def refusals_for_peers(self) -> list[pb.UpstreamRefusals]:
        """Return this router's recent refusals, to send to peers."""
        return self._refusals.for_peers()

    def merge_updates(
        self,
        router: str,
        services: ty.Iterable[pb.BrittleService],
        refused: ty.Iterable[pb.UpstreamRefusals],
    ) -> None:
        """Merge what another router has sent."""
        now = self._clock.now()
        for message in services:
            at = now - message.ago_ms
            if message.limit:
                self._merge(message.service, message.limit, at)
            else:
                self._note_unstated(message.service, at)
        self._refusals.merge(router, refused)

    def tick(self) -> None:
        """Forget what no longer counts."""
        self._refusals.tick()
        oldest = self._clock.now() - _REPORTED_MS
        self._ended_at = {
            service: at
            for service, at in self._ended_at.items()
            if at >= oldest
        }

    def _refusal_wait_ms(self, view: upstream_view.UpstreamView) -> int:
        """Return for how long refusals keep this router away, in ms."""
        limit = self.limit(view)
        return self._refusals.wait_ms(view, _bearable(limit)) if limit else 0

    def _has_room(self, view: upstream_view.UpstreamView) -> bool:
        """Return whether a slot of this router's share is free.

        Other routers may use more than their shares until they know better.
        """
        used = view.local_load.running + view.left_behind
        share = self.shares.share(view) - self._refusals.withheld(view)
        if not view.stated_at and (self.limit(view) or self.awaits_peers()):
            # Requests of the router's previous run may still be there.
            share = min(share, _UNANSWERED_SHARE)
        if used >= share:
            return False
        by_peers = view.total_load().running - view.local_load.running
        return used + by_peers < view.slots

    def _note_unstated(self, service: str, at: int) -> None:
        """Forget a statement that answers no longer renew; notify peers.

        An upstream at which a router has no slot never answers that router.
        """
        self._unstated_at[service] = max(at, self._unstated_at.get(service, 0))
        statement = self._statements.get(service)
        if statement is not None and self._is_over(service, statement.at):
            del self._statements[service]
            self._ended_at[service] = self._clock.now()
            self.notify_peers()

    def _is_over(self, service: str, at: int) -> bool:
        """Return whether later answers have not renewed a statement."""
        return self._unstated_at.get(service, 0) > at + _RENEWED_MS

    def _merge(self, service: str, limit: float, at: int) -> bool:
        """Merge a statement; return whether it changes what is known."""
        known = self._statements.get(service)
        if known is not None and at <= known.at:
            return False
        if self._is_over(service, at):
            # Peers still send it.
            return False
        if known is not None and known.limit == limit:
            known.at = at
            return False
        if known is None and len(self._statements) >= _MAX_SERVICES:
            oldest = min(
                self._statements, key=lambda name: self._statements[name].at
            )
            del self._statements[oldest]
        self._statements[service] = _Statement(limit, at)
        self._ended_at.pop(service, None)
        self._log.info(
            'brittle_service',
            service=service,
            limit=limit,
            routers=self.shares.router_count,
            age_ms=self._clock.now() - at,
        )
        return True


def _bearable(limit: float) -> int:
    """Return how many refusals in a second end the sending of all routers.

    Requests that are under way may be refused too.
    """
    return max(1, math.ceil(limit / 2))
