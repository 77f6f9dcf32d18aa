"""Beacons: state that each router sends its peers several times a second."""

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

_MAX_LOGGED = 200
"""Most characters of an invalid beacon that are logged."""

_DATAGRAM_BYTES = 65_000
_TAG_BYTES = 16

_MAX_BEACON_BYTES = 1 << 20
"""Most bytes that a datagram may unpack to: ten times the state of 330
routers."""


_BURST_BYTES = 16 << 10
_PAUSE_MS = 15
"""Bytes of a round that are sent in one burst, and the pause after each burst.
The resulting rate is below the capacity of the slowest link, 10 Mbit/s. The
beacons of a group head's round have up to 160 kB."""


Round = ty.Iterable[tuple[pb.Beacon, ty.Sequence[members_.Peer]]]
"""Beacons to send, each with its recipients."""


class Beacons:
    """Sends this router's beacons to its peers and receives theirs.

    Beacons are datagrams. A lost beacon need not be resent, since the next one
    contains the newer state, and no unresponsive connection can delay it. A
    datagram takes a twentieth of the processor time of a gRPC call (20 us
    against 400 us, `peridotmast-load slopes`).

    Parameters
    ----------
    address : str
        ``IP:port`` to receive beacons at; port 0 binds a free one.
    members : members.Members
        The peers to send to.
    due : callable
        Returns the beacons of a round, each with its recipients.
    build_update : callable
        Returns the short beacon that reports changes between two rounds.
    on_beacon : callable
        Called with each valid beacon that arrives.
    secret : bytes
        Key shared by all routers to sign beacons with; empty for none.
    """

    def __init__(
        self,
        address: str,
        members: members_.Members,
        due: ty.Callable[[], Round],
        build_update: ty.Callable[[], pb.Beacon],
        on_beacon: ty.Callable[[pb.Beacon], None],
        secret: bytes = b'',
    ) -> None:
        self._members = members
        self._due = due
        self._build_update = build_update
        self._on_beacon = on_beacon
        self._secret = secret
        self._log = logs.get('beacons', router=members.me.name)
        host, _, port = address.rpartition(':')
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        self._sock = socket.socket(family, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind((host.strip('[]'), int(port)))
        self.address = f'{host}:{self._sock.getsockname()[1]}'
        """Address that beacons are received at, with the bound port."""
        self.sent = 0
        """Number of datagrams sent so far."""
        self.sent_bytes = 0
        """Total size of the datagrams sent so far."""

    def start(self) -> None:
        """Start to receive beacons."""
        green.add_reader(self._sock.fileno(), self._receive)

    def stop(self) -> None:
        """Close the socket; nothing is sent or received after that."""
        if self._sock.fileno() >= 0:
            green.remove_reader(self._sock.fileno())
            self._sock.close()

    def send_round(self) -> None:
        """Send the beacons that are due, in bursts of limited size.

        If a whole round were sent at once, a full link would drop its last
        datagrams, and the same members would miss their beacon in each round.
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
            self._send_to(data, peer.member.beacon_address)

    def send_updates(self) -> None:
        """Send changes at this router to all peers immediately.

        In a large fleet, a change that is relayed by group heads takes one to
        two seconds to reach all routers. These beacons of 100 bytes are sent
        to each peer directly. There are only a few hundred changes an hour.
        """
        self.send(self._build_update(), self._members.peers())

    def _send_to(self, data: bytes, address: str) -> None:
        host, _, port = address.rpartition(':')
        if not port.isdigit():
            return
        try:
            self._sock.sendto(data, (host.strip('[]'), int(port)))
        except OSError as exc:
            # Treated like a loss in the network: the next beacon follows soon.
            self._log.debug('beacon_send_failed', to=address, error=str(exc))
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
                # A beacon sent to a peer's closed port causes an error here.
                self._log.debug('beacon_receive_failed', error=str(exc))
                return
            beacon = self._unpack(data)
            if beacon is not None:
                self._on_beacon(beacon)

    def _pack(self, beacon: pb.Beacon) -> bytes:
        # Compression halves a beacon of 1.8 kB, and traffic between failure
        # domains is billed. It costs 46 us a round and 15 us at each peer.
        data = compression.compress(beacon.SerializeToString())
        return self._tag(data) + data

    def _unpack(self, data: bytes) -> ty.Optional[pb.Beacon]:
        size = _TAG_BYTES if self._secret else 0
        tag, body = data[:size], data[size:]
        if not hmac.compare_digest(tag, self._tag(body)):
            self._log.warning('beacon_signature_invalid', size=len(data))
            return None
        try:
            beacon = pb.Beacon.FromString(
                compression.decompress(body, _MAX_BEACON_BYTES)
            )
        except (compression.DecompressionError, message.DecodeError) as exc:
            self._log.warning('beacon_undecodable', error=str(exc))
            return None
        found = beacon_check.check(beacon)
        if found:
            self._log.warning(
                'beacon_malformed',
                peer=beacon.member.name[:_MAX_LOGGED],
                error=str(found)[:_MAX_LOGGED],
            )
            return None
        return beacon

    def _tag(self, body: bytes) -> bytes:
        if not self._secret:
            return b''
        return hmac.digest(self._secret, body, hashlib.sha256)[:_TAG_BYTES]
