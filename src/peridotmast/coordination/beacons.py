"""Beacons: what each router tells its peers several times a second."""

from __future__ import annotations

import hashlib
import hmac
import socket
import typing as ty

from google.protobuf import message

from peridotmast import compression
from peridotmast.coordination import beacon_check
from peridotmast.coordination import members as members_
from peridotmast import green
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb

_SHOWN = 200
"""Characters of a wrong beacon that are logged."""

_DATAGRAM_BYTES = 65_000
_TAG_BYTES = 16

_BEACON_BYTES = 1 << 20
"""Most that a datagram may unpack to: ten times the state of 330 routers."""


_BURST_BYTES = 16 << 10
_PAUSE_MS = 15
"""What a round sends at once, and the pause after it: together less than the
thinnest link, 10 Mbit/s, takes. A head's round is up to 160 kB."""


Round = ty.Iterable[tuple[pb.Beacon, ty.Sequence[members_.Peer]]]
"""Beacons and the peers that each goes to."""


class Beacons:
    """Sends this router's beacon to its peers and takes theirs in.

    Datagrams, since all in them is state: a lost one is made good by the
    next, a silent connection can't hold them up, and one costs a twentieth
    of a call's processor time (20 us against 400 us, `peridotmast-load
    slopes`).

    Parameters
    ----------
    address : str
        ``IP:port`` that beacons come to; port 0 takes a free one.
    members : members.Members
        Whom to send to.
    due : callable
        Returns the beacons of a round, each with the peers that it goes to.
    fill_news : callable
        Returns the short one that says only how new one's knowledge is.
    take : callable
        Called with each beacon that comes.
    secret : bytes
        Shared by all routers to sign beacons with; empty for none.
    """

    def __init__(
        self,
        address: str,
        members: members_.Members,
        due: ty.Callable[[], Round],
        fill_news: ty.Callable[[], pb.Beacon],
        take: ty.Callable[[pb.Beacon], None],
        secret: bytes = b'',
    ) -> None:
        self._members = members
        self._due = due
        self._fill_news = fill_news
        self._take = take
        self._secret = secret
        self._log = logs.get('beacons', router=members.me.name)
        host, _, port = address.rpartition(':')
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        self._sock = socket.socket(family, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind((host.strip('[]'), int(port)))
        self.address = f'{host}:{self._sock.getsockname()[1]}'
        """Address that beacons come to, with the real port."""
        self.sent = 0
        """Beacons sent so far."""
        self.sent_bytes = 0
        """Their bytes."""

    def start(self) -> None:
        """Begin to take beacons in."""
        green.add_reader(self._sock.fileno(), self._receive)

    def stop(self) -> None:
        """Send and take in nothing any more."""
        if self._sock.fileno() >= 0:
            green.remove_reader(self._sock.fileno())
            self._sock.close()

    def send_round(self) -> None:
        """Send the beacons that are due, a few at a time.

        Datagrams that a full link drops are the last ones of a round, and so
        the same members' each time.
        """
        sent = self.sent_bytes
        for beacon, peers in list(self._due()):
            self.send(beacon, peers)
            if self.sent_bytes - sent >= _BURST_BYTES:
                green.sleep_ms(_PAUSE_MS)
                sent = self.sent_bytes

    def send(
        self, beacon: pb.Beacon, peers: ty.Iterable[members_.Peer]
    ) -> None:
        """Send one beacon to some peers."""
        if self._sock.fileno() < 0:
            return
        data = self._pack(beacon)
        for peer in peers:
            self._send(data, peer.member.beacon_address)

    def send_news(self) -> None:
        """Tell all peers at once what is new of this router.

        By heads, news takes a second or two in a large fleet; these 100
        bytes each bring it to everybody at once, and it comes a few hundred
        times an hour.
        """
        self.send(self._fill_news(), self._members.peers())

    def _send(self, data: bytes, address: str) -> None:
        host, _, port = address.rpartition(':')
        if not port.isdigit():
            return
        try:
            self._sock.sendto(data, (host.strip('[]'), int(port)))
        except OSError as exc:
            # As good as lost on the way; the next one follows soon.
            self._log.debug('beacon_unsent', to=address, error=str(exc))
            return
        self.sent += 1
        self.sent_bytes += len(data)

    def _receive(self) -> None:
        while True:
            try:
                data = self._sock.recv(_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as exc:
                # A peer's closed port comes back as an error here.
                self._log.debug('beacon_error', error=str(exc))
                return
            beacon = self._unpack(data)
            if beacon is not None:
                self._take(beacon)

    def _pack(self, beacon: pb.Beacon) -> bytes:
        # One of 1.8 kB takes half the bytes, which are paid for between
        # failure domains, for 46 us a round and 15 us at each peer.
        data = compression.compress(beacon.SerializeToString())
        return self._tag(data) + data

    def _unpack(self, data: bytes) -> ty.Optional[pb.Beacon]:
        size = _TAG_BYTES if self._secret else 0
        tag, body = data[:size], data[size:]
        if not hmac.compare_digest(tag, self._tag(body)):
            self._log.warning('beacon_unsigned', size=len(data))
            return None
        try:
            beacon = pb.Beacon.FromString(
                compression.decompress(body, _BEACON_BYTES)
            )
        except (compression.DecompressionError, message.DecodeError) as exc:
            self._log.warning('beacon_garbled', error=str(exc))
            return None
        found = beacon_check.check(beacon)
        if found:
            self._log.warning(
                'beacon_malformed',
                peer=beacon.member.name[:_SHOWN],
                error=str(found)[:_SHOWN],
            )
            return None
        return beacon

    def _tag(self, body: bytes) -> bytes:
        if not self._secret:
            return b''
        return hmac.digest(self._secret, body, hashlib.sha256)[:_TAG_BYTES]
