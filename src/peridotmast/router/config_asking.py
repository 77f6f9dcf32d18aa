"""Getting from peers a configuration that they have and this router not."""

from __future__ import annotations

import dataclasses
import enum
import json
import random
import typing as ty
import zlib

from peridotmast import clock as clock_
from peridotmast.coordination import config_feed as config_feed_
from peridotmast import failures
from peridotmast import green
from peridotmast import logs
from peridotmast import rpc
from peridotmast.schema import peridotmast_pb2 as pb

_CALL_MS = 1500
"""Bound on one call: a copy of 35 kB takes 0.06 s of the thinnest link by
itself, 0.2 s beside three others, and waits there behind callers' answers."""

_SLOW_MS = 500
"""Time after which a second peer is asked beside a first that does not answer:
it may be gone, and a change must be in force in two seconds."""

_HEARD_MS = 3000
"""How long the word that a peer is ahead counts: six beacons of a head."""

_AFTER_FAILURE_MS = 1000
"""How long a peer that did not answer is left alone."""

_AFTER_NOTHING_MS = 150
"""How long one is left alone that does not have it yet: it was named while
its own copy was on the way."""

_PAUSE_MS = 60
"""Mean pause before another peer is asked; each call costs 0.4 ms of processor
time at both ends."""

_STORE_MS = 1000
"""Time without success after which the store itself is asked, and then again:
it has the whole text, which takes 0.5 s of the thinnest link."""

_USELESS_MS = 10_000
"""How long a version that this router can't read is not asked for: each time
costs a copy."""

_TEXT_BYTES = 16 << 20
"""Most that a packed text may unpack to; the store takes values of 1 MB."""


class Answer(enum.Enum):
    """What came of asking a peer."""

    NEWS = 'news'
    """Something newer is in force now."""
    NOTHING = 'nothing'
    """It has nothing newer, or gives it to others first."""
    FAILED = 'failed'
    """It did not answer."""


@dataclasses.dataclass
class _Ahead:
    """A peer that said, or was said, to have something newer."""

    version: int
    document: int
    heard_at: int
    """Moment of the newest word of it, in ms."""
    not_before: int = 0
    """Moment until which it is left alone, in ms."""


class ConfigAsking:
    """Asks those that are ahead, one after another, until nobody is.

    Parameters
    ----------
    clock : clock.Clock
        Times what was heard, and the calls.
    config : config_feed.ConfigFeed
        The configuration in force here.
    peers : rpc.RpcClient
        Calls of peers.
    me : pb.Member
        This router.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        config: config_feed_.ConfigFeed,
        peers: rpc.RpcClient,
        me: pb.Member,
    ) -> None:
        self._clock = clock
        self._config = config
        self._peers = peers
        self._me = me
        self._choice = random.Random(me.name)
        self._ahead: dict[str, _Ahead] = {}
        self._useless = 0, 0
        self._useless_until = 0
        self._calls: dict[str, int] = {}
        self._log = logs.get('config_asking', router=me.name)

    # ---------------------------------------------------------------- hearing

    def hear(self, address: str, version: int, document: int) -> None:
        """Take in which versions a peer has."""
        if not self._is_newer(version, document):
            return
        now = self._clock.now()
        known = self._ahead.setdefault(address, _Ahead(version, document, now))
        known.version = max(known.version, version)
        known.document = max(known.document, document)
        known.heard_at = now

    def is_behind(self) -> bool:
        """Return whether a peer is known to have something newer."""
        return bool(self._candidates())

    def lacks_routes(self) -> bool:
        """Return whether a peer is known to have newer routes and keys."""
        floor = self._floor()[0]
        return any(
            ahead.version > floor for ahead in self._candidates().values()
        )

    def is_slow(self) -> bool:
        """Return whether all calls under way wait for long by now."""
        limit = self._clock.now() - _SLOW_MS
        calls = self._calls.values()
        return bool(calls) and all(began <= limit for began in calls)

    # ----------------------------------------------------------------- asking

    def run(self) -> bool:
        """Ask until nobody is ahead; return whether there was any news."""
        news = False
        store_at = self._clock.now() + _STORE_MS
        while self.is_behind():
            address = self._choose()
            if address and self.ask(address) is Answer.NEWS:
                news = True
                continue
            if self._clock.now() >= store_at and self.is_behind():
                news |= self._ask_store()
                store_at = self._clock.now() + _STORE_MS
            # Those who are put off at the same moment don't come again so.
            green.sleep_ms(_PAUSE_MS * self._choice.uniform(0.5, 1.5))
        return news

    def ask(self, address: str) -> Answer:
        """Take over what one peer has that is newer."""
        reply = self._call(address)
        ahead = self._ahead.get(address)
        now = self._clock.now()
        if isinstance(reply, failures.Failure):
            if ahead is not None:
                ahead.not_before = now + _AFTER_FAILURE_MS
            return Answer.FAILED
        for holder in reply.holders:
            self.hear(holder, reply.config_version, reply.document_version)
        if ahead is not None:
            pause = reply.retry_after_ms or _AFTER_NOTHING_MS
            ahead.not_before = now + pause
        return self._take(reply, address)

    # ---------------------------------------------------------------- private

    def _is_newer(self, version: int, document: int) -> bool:
        routes, own = self._floor()
        return version > routes or document > own

    def _floor(self) -> tuple[int, int]:
        """Return the versions up to which nothing is asked for."""
        routes, own = self._config.routes.version, self._config.own.version
        if self._clock.now() < self._useless_until:
            routes = max(routes, self._useless[0])
            own = max(own, self._useless[1])
        return routes, own

    def _candidates(self) -> dict[str, _Ahead]:
        """Return those ahead; what is old or overtaken is forgotten."""
        limit = self._clock.now() - _HEARD_MS
        self._ahead = {
            address: ahead
            for address, ahead in self._ahead.items()
            if ahead.heard_at >= limit
            and self._is_newer(ahead.version, ahead.document)
        }
        return self._ahead

    def _choose(self) -> str:
        """Return whom to ask now; empty where all are to be left alone."""
        now = self._clock.now()
        free = [
            address
            for address, ahead in self._candidates().items()
            if ahead.not_before <= now and address not in self._calls
        ]
        return self._choice.choice(free) if free else ''

    def _call(self, address: str) -> ty.Any:
        request = pb.ConfigRequest(
            known_version=self._config.routes.version,
            known_document=self._config.own.version,
            takes_packed=True,
            peer_address=self._me.peer_address,
        )
        began = self._calls[address] = self._clock.now()
        try:
            reply = self._peers.call(address, 'FetchConfig', request, _CALL_MS)
        finally:
            self._calls.pop(address, None)
        failed = isinstance(reply, failures.Failure)
        self._log.info(
            'config_asked',
            peer=address,
            known=request.known_version,
            outcome=reply.reason if failed else 'answered',
            version=0 if failed else reply.config_version,
            bytes=0 if failed else reply.ByteSize(),
            retry_after_ms=0 if failed else reply.retry_after_ms,
            ms=self._clock.now() - began,
        )
        return reply

    def _take(self, reply: pb.ConfigReply, address: str) -> Answer:
        """Put into force what a peer gave."""
        source = f'peer {address}'
        news = False
        try:
            routes = _text(reply.packed_config, reply.config)
            if routes:
                news = self._config.offer_routes(json.loads(routes), source)
            own = _text(reply.packed_document, reply.document)
            if own:
                news |= self._config.offer_own(
                    reply.document_version, json.loads(own), source
                )
        except (ValueError, RecursionError, zlib.error) as exc:
            self._log.error('peer_garbled', peer=address, error=str(exc)[:200])
            return Answer.FAILED
        if not news and (routes or own):
            self._give_up(reply)
        return Answer.NEWS if news else Answer.NOTHING

    def _give_up(self, reply: pb.ConfigReply) -> None:
        """Ask no more for a while for a version that can't be read here."""
        found = reply.config_version, reply.document_version
        if not self._is_newer(*found):
            return
        self._useless = found
        self._useless_until = self._clock.now() + _USELESS_MS
        self._log.warning(
            'config_useless', version=found[0], document=found[1]
        )

    def _ask_store(self) -> bool:
        """Read both parts from the store; say whether either was newer."""
        before = self._config.routes.version, self._config.own.version
        failure = self._config.refresh()
        self._log.info(
            'config_from_store',
            known=before[0],
            version=self._config.routes.version,
            outcome='answered' if failure is None else failure.reason,
        )
        return before != (
            self._config.routes.version,
            self._config.own.version,
        )


def _text(packed: bytes, plain: bytes) -> bytes:
    """Return a text that came packed or plain; empty where none came.

    Raises
    ------
    zlib.error
        If it is not packed as it should be, or unpacks to too much.
    """
    if not packed:
        return plain
    unpacking = zlib.decompressobj()
    text = unpacking.decompress(packed, _TEXT_BYTES)
    if unpacking.unconsumed_tail:
        raise zlib.error('unpacks to too much')
    return text
