"""Copies of the configuration for peers: packed, and few at a time."""

from __future__ import annotations

import collections
import json
import typing as ty

from peridotmast import clock as clock_
from peridotmast import compression
from peridotmast.coordination import config_feed as config_feed_
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb

_RATE = 250
"""Bytes a millisecond that are given away in the long run: less than half of
the thinnest link, 625 bytes a millisecond, which callers need as well."""

_BURST_BYTES = 128_000
"""Bytes that may be given at once, a fifth of a second of that link: four
copies of 1,600 routes, any number of small ones."""

_HOLDERS = 8
"""Peers that were given a copy lately and are named to others. Those who ask
next go on to them, so that the number of givers grows with each copy."""


class ConfigCopies:
    """Gives peers what they lack of the configuration in force.

    A link that carries many copies at once carries none of them in time,
    and callers' answers wait behind them: eleven copies of 0.33 MB kept a
    router on 5 Mbit/s from answering for six seconds. So one router gives
    few at a time and names those who have it by now to the others.

    Parameters
    ----------
    config : config_feed.ConfigFeed
        The configuration in force.
    clock : clock.Clock
        Times what is given.
    router : str
        Name of this router, for the log.
    """

    def __init__(
        self,
        config: config_feed_.ConfigFeed,
        clock: clock_.Clock,
        router: str,
    ) -> None:
        self._config = config
        self._clock = clock
        self._packed: dict[str, tuple[int, bytes]] = {}
        self._holders: collections.deque[str] = collections.deque(
            maxlen=_HOLDERS
        )
        self._held = 0, 0
        self._left: float = _BURST_BYTES
        self._at = clock.now()
        self._log = logs.get('config_copies', router=router)

    def fetch(self, req: pb.ConfigRequest) -> pb.ConfigReply:
        """Return what is newer than the caller's, or who else has it."""
        routes, own = self._config.routes, self._config.product
        reply = pb.ConfigReply(
            config_version=routes.version, document_version=own.version
        )
        lacks = (
            routes.version > req.known_version,
            own.version > req.known_document,
        )
        if not any(lacks):
            return reply
        if self._held != (routes.version, own.version):
            # Who was given the one before does not have this one.
            self._held = routes.version, own.version
            self._holders.clear()
        wait_ms = self._wait_ms()
        if wait_ms:
            reply.retry_after_ms = wait_ms
            reply.holders.extend(self._others(req.peer_address))
        else:
            self._fill(reply, req.takes_packed, *lacks)
            self._left -= reply.ByteSize()
            if req.peer_address:
                self._holders.append(req.peer_address)
        self._log.info(
            'config_given' if not wait_ms else 'config_put_off',
            peer=req.peer_address,
            version=routes.version,
            known=req.known_version,
            bytes=reply.ByteSize(),
            retry_after_ms=wait_ms,
        )
        return reply

    def _others(self, address: str) -> list[str]:
        """Return who was given a copy lately, but for one."""
        return [h for h in dict.fromkeys(self._holders) if h != address]

    def _fill(
        self,
        reply: pb.ConfigReply,
        packed: bool,
        lacks_routes: bool,
        lacks_own: bool,
    ) -> None:
        routes, own = self._config.routes, self._config.product
        if lacks_routes and packed:
            reply.packed_config = self._pack('routes', routes)
        elif lacks_routes:
            reply.config = _text(routes)
        if lacks_own and packed:
            reply.packed_document = self._pack('own', own)
        elif lacks_own:
            reply.document = _text(own)

    def _pack(self, what: str, part: config_feed_.ConfigPart) -> bytes:
        """Return a part's text, packed once a version."""
        version, data = self._packed.get(what, (0, b''))
        if version != part.version:
            # 1,649 routes with random names, 421 kB, become 35 kB in 2 ms.
            data = compression.compress(_text(part))
            self._packed[what] = part.version, data
        return data

    def _wait_ms(self) -> int:
        """Return when another copy may be given, in ms; 0 for now."""
        now = self._clock.now()
        gained = (now - self._at) * _RATE
        self._left = min(_BURST_BYTES, self._left + gained)
        self._at = now
        return 0 if self._left > 0 else 1 + int(-self._left / _RATE)


def _text(part: config_feed_.ConfigPart) -> bytes:
    document: dict[str, ty.Any] = part.document
    if not document:
        return b''
    return json.dumps(document, separators=(',', ':')).encode()
