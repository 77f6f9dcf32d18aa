"""Sends copies of the configuration to peers, packed and rate-limited."""

from __future__ import annotations

import collections
import json
import typing as ty

from peridotmast import clock as clock_
from peridotmast import compression
from peridotmast.coordination import config_feed as config_feed_
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb

_MAX_RATE = 250
"""Average rate at which copies are sent, in bytes a millisecond: less than
half of the slowest link (625 bytes a millisecond), which also carries answers
to callers."""

_BURST_BYTES = 128_000
"""Bytes that may be sent in a burst; they take a fifth of a second on the
slowest link. They suffice for four copies with 1,600 routes, or for any number
of small copies."""

_MAX_HOLDERS = 8
"""Maximum number of recent recipients of a copy that are named to other peers.
Deferred peers request a copy from them, so that the number of sources grows
with each copy."""


class ConfigCopies:
    """Serves outdated peers the newer parts of the configuration.

    If a router sends many copies at once, none of them arrives in time, and
    its answers to callers are delayed: with eleven copies of 0.33 MB, a router
    on a link of 5 Mbit/s did not answer for six seconds. A router therefore
    limits the rate of copies, and names other peers that have one.

    Parameters
    ----------
    config : config_feed.ConfigFeed
        The configuration in force.
    clock : clock.Clock
        Times the copies.
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
            maxlen=_MAX_HOLDERS
        )
        self._held_versions = 0, 0
        self._budget: float = _BURST_BYTES
        self._refilled_at = clock.now()
        self._log = logs.get('config_copies', router=router)

    def reply_to(self, req: pb.ConfigRequest) -> pb.ConfigReply:
        """Return the parts a peer lacks, or a delay and holders of a copy."""
        routes, product = self._config.routes, self._config.product
        reply = pb.ConfigReply(
            config_version=routes.version, document_version=product.version
        )
        lacks = (
            routes.version > req.known_version,
            product.version > req.known_document,
        )
        if not any(lacks):
            return reply
        if self._held_versions != (routes.version, product.version):
            # Holders of the previous version do not have this one.
            self._held_versions = routes.version, product.version
            self._holders.clear()
        wait_ms = self._wait_ms()
        if wait_ms:
            reply.retry_after_ms = wait_ms
            reply.holders.extend(self._holders_except(req.peer_address))
        else:
            self._fill(reply, req.takes_packed, *lacks)
            self._budget -= reply.ByteSize()
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

    def _holders_except(self, address: str) -> list[str]:
        """Return the recent holders except `address`."""
        return [h for h in dict.fromkeys(self._holders) if h != address]

    def _fill(
        self,
        reply: pb.ConfigReply,
        packed: bool,
        lacks_routes: bool,
        lacks_product: bool,
    ) -> None:
        routes, product = self._config.routes, self._config.product
        if lacks_routes and packed:
            reply.packed_config = self._pack('routes', routes)
        elif lacks_routes:
            reply.config = _serialized(routes)
        if lacks_product and packed:
            reply.packed_document = self._pack('product', product)
        elif lacks_product:
            reply.document = _serialized(product)

    def _pack(self, name: str, part: config_feed_.ConfigPart) -> bytes:
        """Return the packed text of a part, packed once per version."""
        version, data = self._packed.get(name, (0, b''))
        if version != part.version:
            # 1,649 routes with random names, 421 kB, become 35 kB in 2 ms.
            data = compression.compress(_serialized(part))
            self._packed[name] = part.version, data
        return data

    def _wait_ms(self) -> int:
        """Return the time until the next copy may be sent, in ms; 0 if now."""
        now = self._clock.now()
        refilled = (now - self._refilled_at) * _MAX_RATE
        self._budget = min(_BURST_BYTES, self._budget + refilled)
        self._refilled_at = now
        return 0 if self._budget > 0 else 1 + int(-self._budget / _MAX_RATE)


def _serialized(part: config_feed_.ConfigPart) -> bytes:
    document: dict[str, ty.Any] = part.document
    if not document:
        return b''
    return json.dumps(document, separators=(',', ':')).encode()
