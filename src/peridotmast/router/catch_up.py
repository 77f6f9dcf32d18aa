"""Fetches from peers the state that this router does not have yet."""

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

_WATCH_GRACE_MS = 300
"""How long a peer may have newer state before it is called: this router's own
watch of the store usually returns the same change in this time, without
another call."""

_STORE_FIRST_MS = 400
"""Time that a starting router waits for the store before it calls peers; a
healthy store answers a starting router within 0.1 s."""

_CALL_TIMEOUT_MS = 800
"""Time-out of one call to a peer."""


_MAX_MEMBERS_BYTES = 1 << 20
"""Maximum size of an unpacked list of members, in bytes: 10,000 members."""


class CatchUp:
    """Fetches missing state from peers with newer state, or from seeds.

    Parameters
    ----------
    clock : clock.Clock
        Measures how long a peer has had newer state.
    fleet_state : fleet_state.FleetState
        State from the store, and the members.
    peers : rpc.RpcClient
        Calls peers.
    spawn : callable
        Runs a call in its own task.
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
        """Fetches the configuration from peers."""
        self._random = random.Random(fleet_state.members.me.name)
        self._peer_newer_since: dict[str, tuple[ty.Any, int]] = {}
        self._fetching: set[str] = set()
        self._log = logs.get('catch_up', router=fleet_state.members.me.name)

    def fetch_if_behind(self, beacon: pb.Beacon) -> None:
        """Schedule a call to the sender of `beacon` if its state is newer."""
        address = beacon.member.peer_address
        self.config_fetcher.record_versions(
            address, beacon.config_version, beacon.document_version
        )
        self.tick()
        self._schedule_fetch(
            'upstreams',
            self._table.revision,
            beacon.upstreams_revision > self._table.revision,
            functools.partial(self.fetch_upstreams, address),
        )

    def merge_upstreams(self, beacon: pb.Beacon) -> None:
        """Merge the upstream records in an update beacon.

        If this router lacks earlier records, its revision does not change, so
        that it fetches all missing records from a peer.
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
        """Schedule a fetch if a peer has reported a newer configuration.

        Called periodically and for each beacon, since a peer may report a
        version only once.
        """
        self._schedule_fetch(
            'config',
            (self._config.routes.version, self._config.product.version),
            self.config_fetcher.is_outdated(),
            self.config_fetcher.fetch_until_current,
        )

    def join(self, seeds: ty.Iterable[str]) -> None:
        """Fetch the members and the state from routers at seed addresses.

        Skipped if the store has answered: its state is newer, and a whole
        starting fleet that reads it does not load the links of three seeds.
        """
        green.sleep_ms(_STORE_FIRST_MS)
        if self._fleet_state.is_synced_with_store:
            return
        addresses = list(seeds)
        # All routers of a starting fleet have the same seeds. If all called
        # the same seed first and it had a slow link, it would answer none of
        # them in time.
        self._random.shuffle(addresses)
        for address in addresses:
            if address == self._members.me.peer_address:
                continue
            if self._join_via(address):
                self._fetch_from_any()

    def fetch_config(self, address: str) -> bool:
        """Fetch a peer's configuration; return whether it was newer."""
        return (
            self.config_fetcher.fetch_from(address)
            is config_fetcher.FetchResult.UPDATED
        )

    def fetch_upstreams(self, address: str) -> bool:
        """Fetch a peer's upstream records; return whether any was newer."""
        request = pb.UpstreamsRequest(since=self._table.revision)
        reply = self._calls.call(
            address, 'FetchUpstreams', request, _CALL_TIMEOUT_MS
        )
        if isinstance(reply, failures.Failure):
            return False
        return self._merge(reply.upstreams, reply.revision, address)

    def _fetch_from_any(self) -> None:
        """Fetch the state from some router that is known now.

        If all routers of a starting fleet fetched it from the seeds, their
        links would carry nothing else for seconds.
        """
        peers = self._members.peers()
        if peers:
            source = self._random.choice(peers).member.peer_address
            self.fetch_config(source)
            self.fetch_upstreams(source)

    def _join_via(self, address: str) -> bool:
        """Add the members that a peer knows; return whether it answered."""
        request = pb.JoinRequest(member=self._members.me, takes_packed=True)
        reply = self._calls.call(address, 'Join', request, _CALL_TIMEOUT_MS)
        if isinstance(reply, failures.Failure):
            return False
        try:
            if reply.packed:
                text = compression.decompress(reply.packed, _MAX_MEMBERS_BYTES)
                reply = pb.JoinReply.FromString(text)
        except (compression.DecompressionError, message.DecodeError) as exc:
            self._log.error(
                'peer_reply_malformed', peer=address, error=str(exc)[:200]
            )
            return False
        for member in reply.members:
            self._members.merge_entry(member)
        return True

    def _merge(
        self,
        records: ty.Iterable[pb.UpstreamRecord],
        revision: int,
        peer: str,
    ) -> bool:
        """Merge a peer's upstream records; return whether any was newer.

        Parameters
        ----------
        revision : int
            Revision up to which the peer has all records.
        """
        newer = [record for record in records if self._table.merge(record)]
        self._table.revision = max(self._table.revision, revision)
        for record in newer:
            self._log.info(
                'upstream_from_peer',
                peer=peer,
                upstream=record.upstream.name,
                state=pb.UpstreamState.Name(record.state),
                revision=record.revision,
            )
        return bool(newer)

    def _schedule_fetch(
        self,
        subject: str,
        own: ty.Any,
        ahead: bool,
        fetch: ty.Callable[[], bool],
    ) -> None:
        """Schedule a fetch unless the local watch may still bring the change.

        Parameters
        ----------
        own : int or tuple
            Version known here; when it changes, the grace time for the local
            watch starts again.
        """
        if not ahead:
            return
        now = self._clock.now()
        known, since = self._peer_newer_since.get(subject, (None, now))
        if known != own:
            since = now
        self._peer_newer_since[subject] = own, since
        grace_ms = (
            _WATCH_GRACE_MS if self._fleet_state.is_watching(subject) else 0
        )
        if now - since < grace_ms or subject in self._fetching:
            return
        self._fetching.add(subject)
        self._spawn(f'fetch_{subject}', self._run_fetch, subject, fetch)

    def _run_fetch(self, subject: str, fetch: ty.Callable[[], bool]) -> None:
        try:
            if fetch():
                self._fleet_state.restart_outdated_watches(subject)
        finally:
            self._fetching.discard(subject)
