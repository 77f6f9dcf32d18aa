"""At most once: who may run a non-idempotent request, and whether still."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import re
import typing as ty

from peridotmast.coordination import claims as claims_
from peridotmast.coordination import membership as membership_
from peridotmast import failures
from peridotmast import ids
from peridotmast.router import call as call_
from peridotmast.router import ledger as ledger_
from peridotmast.schema import peridotmast_pb2 as pb

_TICKET = re.compile(r't\.(?P<owner>[A-Za-z0-9_:-]+\.\d+)\.(?P<number>\d+)')
_EPOCH = re.compile(r'e(?P<epoch>\d{1,15})\..+')
_UNSPENT_LIMIT = 20_000


@dataclasses.dataclass(frozen=True)
class Elsewhere:
    """Another router holds the right to run the request."""

    member: pb.Member


class OnceGuard:
    """Decides whether this router may run a non-idempotent request.

    Two ways lead to the right to run one. A *ticket* names the run of a
    router that issued it; what that router's ledger does not hold was not
    begun. A *claim* is made in the platform's objects; only who made it
    may run the request, and only while it knows that it has not.

    Parameters
    ----------
    owner : ids.Owner
        This run of this router.
    ledger : ledger.Ledger
        What it has begun.
    claims : claims.ClaimStore
        The platform's claims.
    members : membership.Membership
        Who answers for other owners.
    """

    def __init__(
        self,
        owner: ids.Owner,
        ledger: ledger_.Ledger,
        claims: claims_.ClaimStore,
        members: membership_.Membership,
    ) -> None:
        self.owner = owner
        """This run of this router."""
        self.epoch = 0
        """Current epoch of claims, as far as this router knows."""
        self._ledger = ledger
        self._claims = claims
        self._members = members
        self._numbers = itertools.count(1)
        self._floors: dict[str, int] = {owner: 0}
        self._unspent: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def issue_ticket(self) -> ty.Union[str, failures.Failure]:
        """Return a new request id that only this router may run."""
        if self._ledger.closed:
            return failures.not_run('leaving', 'this router is leaving')
        return f't.{self.owner}.{next(self._numbers)}'

    def permit(
        self, call: call_.Call
    ) -> ty.Union[None, Elsewhere, failures.Failure]:
        """Return None where this router may run `call` now."""
        if ticket := _TICKET.fullmatch(call.request_id):
            return self._by_ticket(ticket['owner'], int(ticket['number']))
        if epoch := _EPOCH.fullmatch(call.request_id):
            return self._by_claim(call, int(epoch['epoch']))
        return failures.invalid(
            'request_id',
            'a non-idempotent request needs an id e<claim_epoch>.<yours>, '
            'with the epoch from /resolve, or one from /v1/tickets',
        )

    def learn_epoch(self, epoch: int) -> bool:
        """Take in a newer epoch; say whether it was news."""
        news = epoch > self.epoch
        self.epoch = max(self.epoch, epoch)
        return news

    def forgotten(self, key: str) -> None:
        """Note that the ledger dropped `key`: it must not run again."""
        ticket = _TICKET.fullmatch(key.partition('/')[2])
        if ticket and ticket['owner'] in self._floors:
            floor = max(self._floors[ticket['owner']], int(ticket['number']))
            self._floors[ticket['owner']] = floor

    def not_begun(self, key: str) -> None:
        """Note that a claim of this router may stand, but was not used."""
        self._unspent[key] = None
        while len(self._unspent) > _UNSPENT_LIMIT:
            self._unspent.popitem(last=False)

    def hand_over(self) -> pb.HandOverRequest:
        """Return the right to run what was not begun, for a successor.

        The ledger must have been closed before.
        """
        return pb.HandOverRequest(
            ledger_closed=True,
            ticket_floor=self._floors[self.owner],
            unspent=list(self._unspent),
        )

    def take_over(self, owner: ids.Owner, request: pb.HandOverRequest) -> None:
        """Become the successor of `owner`."""
        self._floors[owner] = request.ticket_floor
        for key in request.unspent:
            self.not_begun(key)
        for entry in request.entries:
            if entry.state == ledger_.ACCEPTED:
                self.not_begun(entry.key)

    def _by_ticket(
        self, owner: str, number: int
    ) -> ty.Union[None, Elsewhere, failures.Failure]:
        if owner in self._floors:
            if number <= self._floors[owner]:
                return failures.unknown('ticket_old', 'begun long ago')
            return None
        return self._elsewhere(owner)

    def _by_claim(
        self, call: call_.Call, epoch: int
    ) -> ty.Union[None, Elsewhere, failures.Failure]:
        if epoch > self.epoch:
            return failures.not_run('epoch_unknown', 'ask /resolve', 1000)
        held = self._claims.claim(call.key, call.digest, epoch)
        if isinstance(held, failures.Failure):
            self.not_begun(call.key)
            return held
        if held.digest != call.digest:
            return failures.conflict('body_differs', 'id used before')
        if self._ledger.closed:
            if held.ours:
                self.not_begun(call.key)
            return failures.not_run('leaving', '', 200)
        if held.ours:
            return None
        if held.owner in self._floors:
            if call.key in self._unspent:
                del self._unspent[call.key]
                return None
            return failures.unknown('claimed_before', 'begun long ago')
        return self._elsewhere(held.owner)

    def _elsewhere(self, owner: str) -> ty.Union[Elsewhere, failures.Failure]:
        member = self._members.find_owner(owner)
        if member is None or member.name == self._members.me.name:
            return failures.unknown('owner_gone', f'{owner} may have run it')
        return Elsewhere(member)
