"""Fetches from peers a configuration that is newer than the local one."""

from __future__ import annotations

import dataclasses
import enum
import json
import random
import typing as ty

from peridotmast import addresses
from peridotmast import clock as clock_
from peridotmast import compression
from peridotmast.coordination import config_feed as config_feed_
from peridotmast import failures
from peridotmast import green
from peridotmast import logs
from peridotmast.router import peer_calls
from peridotmast.schema import peridotmast_pb2 as pb

_CALL_TIMEOUT_MS = 1500
"""Time-out of one call. A copy of 35 kB takes 0.06 s on the slowest link, or
0.2 s together with three other copies, and may queue behind answers to
callers."""

_HEDGE_DELAY_MS = 500
"""Time after which a second peer is called while the first has not answered:
the first may be down, and a change must be in force within two seconds."""

_MAX_CONCURRENT_CALLS = 2
"""Maximum number of peers called at the same time; more would exhaust the rate
at which peers may send copies."""

_PEER_EXPIRY_MS = 10_000
"""How long a peer is called after its last message: longer than the silence
after which a router counts as gone."""

_FAILURE_BACKOFF_MS = 1000
"""How long a peer is not called after a call failed or its reply was
malformed: enough time to try two other peers."""

_UNCHANGED_BACKOFF_MS = 150
"""How long a peer is not called after it had no newer version: another router
may name a peer as a holder while the copy to that peer is in transit."""

_MAX_RETRY_AFTER_MS = 2000
"""Longest delay that a peer may ask for."""

_POLL_INTERVAL_MS = 60
"""Mean delay before another peer is called; each call costs 0.4 ms of
processor time at both ends."""

_IDLE_POLL_INTERVAL_MS = 250
"""Mean delay while no peer is left to call."""

_STORE_DELAY_MS = 1000
"""Time without success after which the store itself is read, and time between
further reads. The actual delay is drawn between one and two times this value,
because the whole configuration takes 0.5 s on the slowest link and routers
must not all read it at the same moment."""

_IGNORE_MS = 10_000
"""How long a version that this router cannot parse is not fetched again, since
each attempt costs a copy. A peer that reported a version which the store does
not have is ignored for the same time."""

_MAX_UNPACKED_BYTES = 16 << 20
"""Maximum size of an unpacked document, in bytes; the store accepts values of
1 MB."""


class FetchResult(enum.Enum):
    """Result of fetching the configuration from a peer."""

    UPDATED = 'news'
    """A newer configuration was put into force."""
    UNCHANGED = 'nothing'
    """The peer has nothing newer, or its rate limit deferred the copy."""
    FAILED = 'failed'
    """The call failed, or the reply holds no valid configuration."""


class _Versions(ty.NamedTuple):
    """Versions of the two parts of a configuration.

    `routes` is the version of the platform's object, `product` the version of
    the product document.
    """

    routes: int = 0
    product: int = 0

    def is_ahead_of(self, other: _Versions) -> bool:
        """Return whether either part is newer than in `other`."""
        return self.routes > other.routes or self.product > other.product

    def merged(self, other: _Versions) -> _Versions:
        """Return the newer version of each part."""
        return _Versions(
            max(self.routes, other.routes), max(self.product, other.product)
        )


_NO_VERSIONS = _Versions()


@dataclasses.dataclass
class _PeerAhead:
    """A peer that has a newer version, as it or another router reported."""

    versions: _Versions
    last_report_at: int
    """Time of the latest message about its versions, in ms."""
    not_before: int = 0
    """Time before which the peer is not called, in ms."""


@dataclasses.dataclass
class _Unreadable:
    """Versions that this router cannot parse."""

    versions: _Versions = _NO_VERSIONS
    until: int = 0
    """Time until which these versions are not fetched, in ms."""

    def versions_at(self, now: int) -> _Versions:
        """Return the versions not to be fetched at the time `now`."""
        return self.versions if now < self.until else _NO_VERSIONS


class ConfigFetcher:
    """Fetches the configuration from peers until none has a newer version.

    A reported newer version counts as in force elsewhere until it is in force
    here, or until the store shows that there is nothing newer: the peer that
    reported it may be down by then, and a peer may report a wrong version.

    Parameters
    ----------
    clock : clock.Clock
        Times messages and calls.
    config : config_feed.ConfigFeed
        The configuration in force here.
    peers : peer_calls.PeerCalls
        Calls peers.
    me : pb.Member
        This router.
    spawn : callable
        Runs a call in its own task.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        config: config_feed_.ConfigFeed,
        peers: peer_calls.PeerCalls,
        me: pb.Member,
        spawn: ty.Callable[..., None],
    ) -> None:
        self._clock = clock
        self._config = config
        self._peers = peers
        self._me = me
        self._spawn = spawn
        self._random = random.Random(me.name)
        self._peers_ahead: dict[str, _PeerAhead] = {}
        self._newest_reported = _NO_VERSIONS
        self._ignored_until: dict[str, int] = {}
        self._unreadable = _Unreadable()
        self._calls_started_at: dict[str, int] = {}
        self._is_reading_store = False
        self._log = logs.get('config_asking', router=me.name)

    def record_versions(
        self, address: str, version: int, document: int
    ) -> None:
        """Record the versions that a peer has."""
        now = self._clock.now()
        versions = _Versions(version, document)
        if now < self._ignored_until.get(address, 0):
            return
        if not versions.is_ahead_of(self._versions_in_force()):
            return
        self._newest_reported = self._newest_reported.merged(versions)
        peer = self._peers_ahead.setdefault(address, _PeerAhead(versions, now))
        peer.versions = peer.versions.merged(versions)
        peer.last_report_at = now

    def is_outdated(self) -> bool:
        """Return whether a newer version is reported to be in force."""
        return self._newest_reported.is_ahead_of(self._versions_in_force())

    def fetch_until_current(self) -> bool:
        """Fetch until no peer is ahead; return whether anything was newer."""
        before = self._versions_in_force()
        read_at = self._next_store_read_at()
        while self._newest_reported.is_ahead_of(self._versions_to_skip()):
            address = self._choose_peer()
            if address:
                self._spawn('ask_peer', self.fetch_from, address)
            if self._clock.now() >= read_at and not self._is_reading_store:
                self._spawn('ask_store', self._fetch_from_store)
                read_at = self._next_store_read_at()
            pause = (
                _POLL_INTERVAL_MS
                if self._peers_ahead
                else _IDLE_POLL_INTERVAL_MS
            )
            # Random delays spread out routers that were deferred together.
            green.sleep_ms(pause * self._random.uniform(0.5, 1.5))
        return self._versions_in_force().is_ahead_of(before)

    def fetch_from(self, address: str) -> FetchResult:
        """Fetch the parts that are newer at one peer and put them in force."""
        reply = self._call(address)
        if isinstance(reply, failures.Failure):
            self._back_off(address, _FAILURE_BACKOFF_MS)
            return FetchResult.FAILED
        for holder in filter(addresses.is_usable, reply.holders):
            self.record_versions(
                holder, reply.config_version, reply.document_version
            )
        retry_after = min(_MAX_RETRY_AFTER_MS, reply.retry_after_ms)
        self._back_off(address, retry_after or _UNCHANGED_BACKOFF_MS)
        result = self._apply_reply(reply, address)
        if result is FetchResult.FAILED:
            self._back_off(address, _FAILURE_BACKOFF_MS)
        return result

    def _versions_in_force(self) -> _Versions:
        return _Versions(
            self._config.routes.version, self._config.product.version
        )

    def _versions_to_skip(self) -> _Versions:
        """Return the versions up to which nothing is fetched."""
        unreadable = self._unreadable.versions_at(self._clock.now())
        return self._versions_in_force().merged(unreadable)

    def _next_store_read_at(self) -> int:
        wait_ms = _STORE_DELAY_MS * self._random.uniform(1, 2)
        return self._clock.now() + int(wait_ms)

    def _back_off(self, address: str, ms: int) -> None:
        peer = self._peers_ahead.get(address)
        if peer is not None:
            peer.not_before = self._clock.now() + ms

    def _choose_peer(self) -> str:
        """Return the peer to call now; empty if none is due."""
        now = self._clock.now()
        started = self._calls_started_at.values()
        if len(started) >= _MAX_CONCURRENT_CALLS or any(
            at > now - _HEDGE_DELAY_MS for at in started
        ):
            return ''
        to_skip = self._versions_to_skip()
        self._peers_ahead = {
            address: peer
            for address, peer in self._peers_ahead.items()
            if peer.last_report_at > now - _PEER_EXPIRY_MS
            and peer.versions.is_ahead_of(to_skip)
        }
        due = [
            address
            for address, peer in self._peers_ahead.items()
            if peer.not_before <= now and address not in self._calls_started_at
        ]
        due = self._reported_since(max(started, default=0), due) or due
        return self._random.choice(due) if due else ''

    def _reported_since(self, at: int, found: list[str]) -> list[str]:
        """Return the peers that have sent a message after the time `at`.

        A call that gets no answer may have gone to a peer that was lost after
        its last message, and others may have been lost with it.
        """
        return [a for a in found if self._peers_ahead[a].last_report_at > at]

    def _call(self, address: str) -> ty.Any:
        request = pb.ConfigRequest(
            known_version=self._config.routes.version,
            known_document=self._config.product.version,
            takes_packed=True,
            peer_address=self._me.peer_address,
        )
        self._calls_started_at[address] = self._clock.now()
        try:
            return self._peers.call(
                address, 'FetchConfig', request, _CALL_TIMEOUT_MS
            )
        finally:
            self._calls_started_at.pop(address, None)

    def _apply_reply(self, reply: pb.ConfigReply, address: str) -> FetchResult:
        """Put the configuration in a peer's reply into force."""
        source = f'peer {address}'
        is_updated = False
        try:
            routes = _unpacked_text(reply.packed_config, reply.config)
            if routes:
                is_updated = self._config.offer_routes(
                    json.loads(routes), source
                )
            product = _unpacked_text(reply.packed_document, reply.document)
            if product:
                is_updated |= self._config.offer_product(
                    reply.document_version, json.loads(product), source
                )
        except (ValueError, RecursionError) as exc:
            self._log.error(
                'peer_reply_malformed', peer=address, error=str(exc)[:200]
            )
            return FetchResult.FAILED
        if not is_updated and (routes or product):
            self._skip_unreadable(
                _Versions(reply.config_version, reply.document_version)
            )
        return FetchResult.UPDATED if is_updated else FetchResult.UNCHANGED

    def _skip_unreadable(self, found: _Versions) -> None:
        """Do not fetch a version that cannot be parsed here for a while."""
        if not found.is_ahead_of(self._versions_in_force()):
            return
        until = self._clock.now() + _IGNORE_MS
        self._unreadable = _Unreadable(found, until)
        self._log.warning(
            'config_unparseable', version=found.routes, document=found.product
        )

    def _fetch_from_store(self) -> None:
        """Read the outdated part from the store; ignore contradicted peers."""
        known, claimed = self._versions_in_force(), self._newest_reported
        part = 'routes' if claimed.routes > known.routes else 'product'
        # Only claims that were made before the store was read.
        claims = {a: peer.versions for a, peer in self._peers_ahead.items()}
        self._is_reading_store = True
        try:
            stored = self._config.read_from_store(part == 'routes')
        finally:
            self._is_reading_store = False
        outcome = 'answered'
        if isinstance(stored, failures.Failure):
            outcome = stored.reason
        else:
            # Uses the version in the store even if it cannot be parsed here.
            self._skip_unreadable(_NO_VERSIONS._replace(**{part: stored}))
            found = claimed._replace(**{part: stored})
            contradicted = [
                a
                for a, versions in claims.items()
                if versions.is_ahead_of(found)
            ]
            self._ignore_peers(contradicted, claimed, found)
        self._log.info(
            'config_from_store',
            known=known.routes,
            claimed=claimed.routes,
            version=self._versions_in_force().routes,
            outcome=outcome,
        )

    def _ignore_peers(
        self, contradicted: list[str], claimed: _Versions, found: _Versions
    ) -> None:
        """Ignore for a while the peers whose claims the store contradicted.

        The peers are ignored and not the version: a real later version may be
        lower than the claimed one.
        """
        now = self._clock.now()
        self._ignored_until = {
            a: t for a, t in self._ignored_until.items() if t > now
        }
        for address in contradicted:
            self._peers_ahead.pop(address, None)
            self._ignored_until[address] = now + _IGNORE_MS
        for peer in self._peers_ahead.values():
            found = found.merged(peer.versions)
        if self._newest_reported == claimed:
            self._newest_reported = found


def _unpacked_text(packed: bytes, plain: bytes) -> bytes:
    """Return the text from a packed or a plain field; empty if both are empty.

    Raises
    ------
    compression.DecompressionError
        If the packed text is invalid or its unpacked size exceeds the limit.
    """
    return (
        compression.decompress(packed, _MAX_UNPACKED_BYTES)
        if packed
        else plain
    )
