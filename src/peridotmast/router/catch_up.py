"""Taking over from peers what this router does not know yet."""

from __future__ import annotations

import functools
import random
import typing as ty

from google.protobuf import message

from peridotmast import clock as clock_
from peridotmast import compression
from peridotmast import failures
from peridotmast import green
from peridotmast import logs
from peridotmast.router import config_fetcher
from peridotmast.router import fleet_state as fleet_state_
from peridotmast.router import peer_calls
from peridotmast import rpc
from peridotmast.schema import peridotmast_pb2 as pb

_PATIENCE_MS = 300
"""How long a peer may be ahead before it is asked: the own watch usually
brings the same news in this time, without another call."""

_STORE_FIRST_MS = 400
"""Time for the store's answers before peers are asked; what a router that
starts asks of it comes within a tenth of a second where all of it is well."""

_CALL_MS = 800
"""Bound on one call of a peer."""


_MEMBERS_BYTES = 1 << 20
"""Most that the members of a fleet may unpack to: 10,000 of them."""


class CatchUp:
    """Asks peers that are ahead, and those that a starting router knows.

    Parameters
    ----------
    clock : clock.Clock
        Times how long a peer has been ahead.
    fleet_state : fleet_state.FleetState
        What is known from the store, and of the members.
    peers : rpc.RpcClient
        Calls of peers.
    spawn : callable
        Runs a call in a task of its own.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        fleet_state: fleet_state_.FleetState,
        peers: rpc.RpcClient,
        spawn: ty.Callable[..., None],
    ) -> None:
        self._clock = clock
        self._fleet_state = fleet_state
        self._members = fleet_state.members
        self._config = fleet_state.config
        self._table = fleet_state.upstream_table
        self._calls = peer_calls.PeerCalls(
            clock, peers, fleet_state.members.me.name
        )
        self._spawn = spawn
        self.config_fetcher = config_fetcher.ConfigFetcher(
            clock,
            fleet_state.config,
            self._calls,
            fleet_state.members.me,
            spawn,
        )
        """Gets the configuration from peers."""
        self._behind: dict[str, tuple[ty.Any, int]] = {}
        self._asking: set[str] = set()
        self._log = logs.get('catch_up', router=fleet_state.members.me.name)

    def compare(self, beacon: pb.Beacon) -> None:
        """Ask a peer that is ahead of this router, by its beacon."""
        address = beacon.member.peer_address
        self.config_fetcher.record_versions(
            address, beacon.config_version, beacon.document_version
        )
        self.tick()
        self._note(
            'upstreams',
            self._table.revision,
            beacon.upstreams_revision > self._table.revision,
            functools.partial(self.fetch_upstreams, address),
        )

    def merge_upstreams(self, beacon: pb.Beacon) -> None:
        """Take in the statements on upstreams that came with news.

        Where earlier ones are missing here, a peer is asked for all as if
        these had not come.
        """
        if not beacon.upstreams:
            return
        known = self._table.revision
        self._merge(
            beacon.upstreams, beacon.upstreams_revision, beacon.member.name
        )
        if known < beacon.upstreams_since:
            self._table.revision = known

    def tick(self) -> None:
        """Ask for a configuration that was heard of and did not come.

        Called now and then as well: the word of it may have come but once.
        """
        self._note(
            'config',
            (self._config.routes.version, self._config.product.version),
            self.config_fetcher.is_behind(),
            self.config_fetcher.fetch_until_current,
        )

    def join(self, seeds: ty.Iterable[str]) -> None:
        """Learn of the others from those whose addresses are known.

        Used where the store does not answer while this router starts: what
        it tells is newer, and it is not asked by all routers of a fleet that
        starts as a whole over the links of three.
        """
        green.sleep_ms(_STORE_FIRST_MS)
        if self._fleet_state.is_synced_with_store:
            return
        order = list(seeds)
        # Those who start together are told the same ones: asked by all at
        # once, a seed on a thin link answers none of them in time.
        random.Random(self._members.me.name).shuffle(order)
        for address in order:
            if address == self._members.me.peer_address:
                continue
            if self._join_at(address):
                self.fetch_config(address)
                self.fetch_upstreams(address)

    def fetch_config(self, address: str) -> bool:
        """Take a peer's configuration, if it is newer; say whether it was."""
        return (
            self.config_fetcher.fetch_from(address)
            is config_fetcher.FetchResult.UPDATED
        )

    def fetch_upstreams(self, address: str) -> bool:
        """Take in what a peer knows of upstreams; say whether it was news."""
        request = pb.UpstreamsRequest(since=self._table.revision)
        reply = self._calls.call(address, 'FetchUpstreams', request, _CALL_MS)
        if isinstance(reply, failures.Failure):
            return False
        return self._merge(reply.upstreams, reply.revision, address)

    def _join_at(self, address: str) -> bool:
        """Learn of the members that one peer knows; say whether it did."""
        request = pb.JoinRequest(member=self._members.me, takes_packed=True)
        reply = self._calls.call(address, 'Join', request, _CALL_MS)
        if isinstance(reply, failures.Failure):
            return False
        try:
            if reply.packed:
                text = compression.decompress(reply.packed, _MEMBERS_BYTES)
                reply = pb.JoinReply.FromString(text)
        except (compression.DecompressionError, message.DecodeError) as exc:
            self._log.error('peer_garbled', peer=address, error=str(exc)[:200])
            return False
        for member in reply.members:
            self._members.learn(member)
        return True

    def _merge(
        self,
        records: ty.Iterable[pb.UpstreamRecord],
        revision: int,
        peer: str,
    ) -> bool:
        """Take in what a peer says of upstreams; return whether it is news.

        Parameters
        ----------
        revision : int
            Up to which the peer knows all.
        """
        news = [record for record in records if self._table.merge(record)]
        self._table.revision = max(self._table.revision, revision)
        for record in news:
            self._log.info(
                'upstream_from_peer',
                peer=peer,
                upstream=record.upstream.name,
                state=pb.UpstreamState.Name(record.state),
                revision=record.revision,
            )
        return bool(news)

    def _note(
        self,
        what: str,
        own: ty.Any,
        ahead: bool,
        ask: ty.Callable[[], bool],
    ) -> None:
        """Ask those that are ahead, once the own watch had its time.

        Parameters
        ----------
        own : int or tuple
            What this router has got: while it stays so, time counts.
        """
        if not ahead:
            return
        now = self._clock.now()
        known, since = self._behind.get(what, (None, now))
        if known != own:
            since = now
        self._behind[what] = own, since
        patience = _PATIENCE_MS if self._fleet_state.is_watching(what) else 0
        if now - since < patience or what in self._asking:
            return
        self._asking.add(what)
        self._spawn(f'ask_{what}', self._ask, what, ask)

    def _ask(self, what: str, ask: ty.Callable[[], bool]) -> None:
        try:
            if ask():
                self._fleet_state.refresh(what)
        finally:
            self._asking.discard(what)
