"""Getting from peers a configuration that they have and this router not."""

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

_CALL_MS = 1500
"""Bound on one call: a copy of 35 kB takes 0.06 s of the thinnest link by
itself, 0.2 s beside three others, and waits there behind callers' answers."""

_SLOW_MS = 500
"""Time after which a second peer is asked beside a first that does not answer:
it may be gone, and a change must be in force in two seconds."""

_AT_ONCE = 2
"""Peers that are asked at once; more would use up what peers may give."""

_HEARD_MS = 10_000
"""How long a peer is asked after its last word: longer than the silence after
which a router counts as gone."""

_AFTER_FAILURE_MS = 1000
"""How long a peer that did not answer, or not in order, is left alone: two
others have had their time by then."""

_AFTER_NOTHING_MS = 150
"""How long one is left alone that does not have it yet: it was named while
its own copy was on the way."""

_MOST_PUT_OFF_MS = 2000
"""Longest pause that a peer may ask for."""

_PAUSE_MS = 60
"""Mean pause before another peer is asked; each call costs 0.4 ms of processor
time at both ends."""

_IDLE_PAUSE_MS = 250
"""The same where nobody is left to be asked."""

_STORE_MS = 1000
"""Time without success after which the store itself is asked, and again and
again; by chance up to twice that, since the whole text takes 0.5 s of the
thinnest link and should not come to all at one moment."""

_USELESS_MS = 10_000
"""How long a version that this router can't read is not asked for: each time
costs a copy. As long is nothing believed of a peer that the store gave the
lie to."""

_TEXT_BYTES = 16 << 20
"""Most that a packed text may unpack to; the store takes values of 1 MB."""


class FetchResult(enum.Enum):
    """What came of asking a peer."""

    UPDATED = 'news'
    """Something newer is in force now."""
    UNCHANGED = 'nothing'
    """It has nothing newer, or gives it to others first."""
    FAILED = 'failed'
    """It did not answer, or with what is no configuration."""


class _Versions(ty.NamedTuple):
    """Versions of both parts of a configuration."""

    routes: int = 0
    own: int = 0

    def is_over(self, other: _Versions) -> bool:
        """Return whether either part is newer than the other's."""
        return self.routes > other.routes or self.own > other.own

    def joined(self, other: _Versions) -> _Versions:
        """Return the newer version of each part."""
        return _Versions(
            max(self.routes, other.routes), max(self.own, other.own)
        )


_NONE = _Versions()


@dataclasses.dataclass
class _Peer:
    """A peer that said, or was said, to have something newer."""

    has: _Versions
    heard_at: int
    """Moment of the newest word of it, in ms."""
    not_before: int = 0
    """Moment until which it is left alone, in ms."""


@dataclasses.dataclass
class _Unreadable:
    """Versions that this router can't read."""

    versions: _Versions = _NONE
    until: int = 0
    """Moment until which they are not asked for, in ms."""

    def at(self, now: int) -> _Versions:
        """Return them as they hold at a moment."""
        return self.versions if now < self.until else _NONE


class ConfigFetcher:
    """Asks those that are ahead until nobody is.

    That something newer is in force elsewhere is believed until it is in
    force here, or until the store says that there is nothing newer: a peer
    that told of it may be gone, and another may be wrong.

    Parameters
    ----------
    clock : clock.Clock
        Times what was heard, and the calls.
    config : config_feed.ConfigFeed
        The configuration in force here.
    peers : peer_calls.PeerCalls
        Calls of peers.
    me : pb.Member
        This router.
    spawn : callable
        Runs a call in a task of its own.
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
        self._choice = random.Random(me.name)
        self._known: dict[str, _Peer] = {}
        self._newest = _NONE
        self._denied: dict[str, int] = {}
        self._unreadable = _Unreadable()
        self._calls: dict[str, int] = {}
        self._asks_store = False
        self._log = logs.get('config_asking', router=me.name)

    def record_versions(
        self, address: str, version: int, document: int
    ) -> None:
        """Take in which versions a peer has."""
        now = self._clock.now()
        has = _Versions(version, document)
        if now < self._denied.get(address, 0):
            return
        if not has.is_over(self._in_force()):
            return
        self._newest = self._newest.joined(has)
        peer = self._known.setdefault(address, _Peer(has, now))
        peer.has = peer.has.joined(has)
        peer.heard_at = now

    def is_behind(self) -> bool:
        """Return whether something newer is believed to be in force."""
        return self._newest.is_over(self._in_force())

    def fetch_until_current(self) -> bool:
        """Ask until nobody is ahead; return whether there was any news."""
        before = self._in_force()
        store_at = self._next_store()
        while self._newest.is_over(self._floor()):
            address = self._choose()
            if address:
                self._spawn('ask_peer', self.fetch_from, address)
            if self._clock.now() >= store_at and not self._asks_store:
                self._spawn('ask_store', self._ask_store)
                store_at = self._next_store()
            pause = _PAUSE_MS if self._known else _IDLE_PAUSE_MS
            # Those who are put off at the same moment don't come again so.
            green.sleep_ms(pause * self._choice.uniform(0.5, 1.5))
        return self._in_force().is_over(before)

    def fetch_from(self, address: str) -> FetchResult:
        """Take over what one peer has that is newer."""
        reply = self._call(address)
        if isinstance(reply, failures.Failure):
            self._leave_alone(address, _AFTER_FAILURE_MS)
            return FetchResult.FAILED
        for holder in filter(addresses.is_usable, reply.holders):
            self.record_versions(
                holder, reply.config_version, reply.document_version
            )
        put_off = min(_MOST_PUT_OFF_MS, reply.retry_after_ms)
        self._leave_alone(address, put_off or _AFTER_NOTHING_MS)
        answer = self._take(reply, address)
        if answer is FetchResult.FAILED:
            self._leave_alone(address, _AFTER_FAILURE_MS)
        return answer

    def _in_force(self) -> _Versions:
        return _Versions(
            self._config.routes.version, self._config.product.version
        )

    def _floor(self) -> _Versions:
        """Return the versions up to which nothing is asked for."""
        unreadable = self._unreadable.at(self._clock.now())
        return self._in_force().joined(unreadable)

    def _next_store(self) -> int:
        wait_ms = _STORE_MS * self._choice.uniform(1, 2)
        return self._clock.now() + int(wait_ms)

    def _leave_alone(self, address: str, ms: int) -> None:
        peer = self._known.get(address)
        if peer is not None:
            peer.not_before = self._clock.now() + ms

    def _choose(self) -> str:
        """Return whom to ask now; empty where it is time for nobody."""
        now = self._clock.now()
        began = self._calls.values()
        if len(began) >= _AT_ONCE or any(at > now - _SLOW_MS for at in began):
            return ''
        floor = self._floor()
        self._known = {
            address: peer
            for address, peer in self._known.items()
            if peer.heard_at > now - _HEARD_MS and peer.has.is_over(floor)
        }
        free = [
            address
            for address, peer in self._known.items()
            if peer.not_before <= now and address not in self._calls
        ]
        return self._choice.choice(free) if free else ''

    def _call(self, address: str) -> ty.Any:
        request = pb.ConfigRequest(
            known_version=self._config.routes.version,
            known_document=self._config.product.version,
            takes_packed=True,
            peer_address=self._me.peer_address,
        )
        self._calls[address] = self._clock.now()
        try:
            return self._peers.call(address, 'FetchConfig', request, _CALL_MS)
        finally:
            self._calls.pop(address, None)

    def _take(self, reply: pb.ConfigReply, address: str) -> FetchResult:
        """Put into force what a peer gave."""
        source = f'peer {address}'
        news = False
        try:
            routes = _text(reply.packed_config, reply.config)
            if routes:
                news = self._config.offer_routes(json.loads(routes), source)
            own = _text(reply.packed_document, reply.document)
            if own:
                news |= self._config.offer_product(
                    reply.document_version, json.loads(own), source
                )
        except (ValueError, RecursionError) as exc:
            self._log.error('peer_garbled', peer=address, error=str(exc)[:200])
            return FetchResult.FAILED
        if not news and (routes or own):
            self._give_up(
                _Versions(reply.config_version, reply.document_version)
            )
        return FetchResult.UPDATED if news else FetchResult.UNCHANGED

    def _give_up(self, found: _Versions) -> None:
        """Ask no more for a while for a version that can't be read here."""
        if not found.is_over(self._in_force()):
            return
        until = self._clock.now() + _USELESS_MS
        self._unreadable = _Unreadable(found, until)
        self._log.warning(
            'config_useless', version=found.routes, document=found.own
        )

    def _ask_store(self) -> None:
        """Read from the store what is lacking; believe it before peers."""
        known, claimed = self._in_force(), self._newest
        part = 'routes' if claimed.routes > known.routes else 'own'
        # Those whose word is older than the reading.
        said = {a: peer.has for a, peer in self._known.items()}
        self._asks_store = True
        try:
            stored = self._config.refresh(part == 'routes')
        finally:
            self._asks_store = False
        outcome = 'answered'
        if isinstance(stored, failures.Failure):
            outcome = stored.reason
        else:
            # By what the store has, which need not be readable here.
            self._give_up(_NONE._replace(**{part: stored}))
            found = claimed._replace(**{part: stored})
            wrong = [a for a, has in said.items() if has.is_over(found)]
            self._deny(wrong, claimed, found)
        self._log.info(
            'config_from_store',
            known=known.routes,
            claimed=claimed.routes,
            version=self._in_force().routes,
            outcome=outcome,
        )

    def _deny(
        self, wrong: list[str], claimed: _Versions, found: _Versions
    ) -> None:
        """Believe none of those for a while who said what the store denies.

        Not by the version: one that comes later may be below what was said.
        """
        now = self._clock.now()
        self._denied = {a: t for a, t in self._denied.items() if t > now}
        for address in wrong:
            self._known.pop(address, None)
            self._denied[address] = now + _USELESS_MS
        for peer in self._known.values():
            found = found.joined(peer.has)
        if self._newest == claimed:
            self._newest = found


def _text(packed: bytes, plain: bytes) -> bytes:
    """Return a text that came packed or plain; empty where none came.

    Raises
    ------
    compression.DecompressionError
        If it is not packed as it should be, or unpacks to too much.
    """
    return compression.decompress(packed, _TEXT_BYTES) if packed else plain
