"""Beacons: state that each router sends its peers several times a second."""

from __future__ import annotations

import socket
import typing as ty

from google.protobuf import message

from peridotmast import compression
from peridotmast.coordination import beacon_check
from peridotmast.coordination import members as members_
from peridotmast import green
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast import signing

_MAX_LOGGED = 200
"""Maximum number of characters of an invalid beacon that are logged."""

_DATAGRAM_BYTES = 65_000

_MAX_BEACON_BYTES = 1 << 20
"""Maximum size of an unpacked datagram, in bytes: ten times the state of 330
routers."""


_BURST_BYTES = 16 << 10
_PAUSE_MS = 15
"""A round is sent in bursts of this many bytes, with this pause after each:
the resulting rate is below that of the slowest link, 10 Mbit/s. The round of
a group head has up to 160 kB."""


Round = ty.Iterable[tuple[pb.Beacon, ty.Sequence[members_.Peer]]]
"""Beacons, each with the peers that it is sent to."""


class Beacons:
    """Sends this router's beacons to its peers and receives theirs.

    Beacons are datagrams, because they only carry state: a lost beacon is
    replaced by the next one, and a silent connection can't delay beacons. A
    beacon costs a twentieth of a call's processor time (20 us against 400 us,
    measured by `peridotmast-load slopes`).

    Parameters
    ----------
    address : str
        ``IP:port`` to receive beacons at; port 0 binds a free one.
    members : members.Members
        The peers to send to.
    next_round : callable
        Returns the beacons of the next round, each with its recipients.
    build_update : callable
        Returns the short beacon that announces changes between two rounds.
    on_beacon : callable
        Called with each valid beacon that arrives.
    secret : bytes
        Key shared by all routers to sign beacons with; empty for none.
    """

    def __init__(
        self,
        address: str,
        members: members_.Members,
        next_round: ty.Callable[[], Round],
        build_update: ty.Callable[[], pb.Beacon],
        on_beacon: ty.Callable[[pb.Beacon], None],
        secret: bytes = b'',
    ) -> None:
        self._members = members
        self._next_round = next_round
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
        """Send the beacons of the next round, in bursts of limited size.

        If a whole round were sent at once, a full link would drop its last
        datagrams, so that the same members would miss their beacons each time.
        """
        sent = self.sent_bytes
        for beacon, peers in list(self._next_round()):
            self.send(beacon, peers)
            if self.sent_bytes - sent >= _BURST_BYTES:
                green.sleep_ms(_PAUSE_MS)
                sent = self.sent_bytes

    def send(
        self, beacon: pb.Beacon, peers: ty.Iterable[members_.Peer]
    ) -> None:
        """Send `beacon` to each of `peers`."""
        if self._sock.fileno() < 0:
            return
        data = self._pack(beacon)
        for peer in peers:
            self._send_to(data, peer.member.beacon_address)

    def send_update(self) -> None:
        """Send this router's changed state to all peers immediately.

        In a large fleet a change that is relayed by group heads takes a second
        or two to reach all routers. The beacon sent here has 100 bytes and
        reaches all peers at once; there are only a few hundred changes an
        hour.
        """
        self.send(self._build_update(), self._members.peers())

    def _send_to(self, data: bytes, address: str) -> None:
        host, _, port = address.rpartition(':')
        if not port.isdigit():
            return
        try:
            self._sock.sendto(data, (host.strip('[]'), int(port)))
        except OSError as exc:
            # As if the network had lost the datagram: another beacon follows.
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
        return signing.sign(self._secret, data) + data

    def _unpack(self, data: bytes) -> ty.Optional[pb.Beacon]:
        size = signing.TAG_BYTES if self._secret else 0
        tag, body = data[:size], data[size:]
        if not signing.is_valid(self._secret, body, tag):
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
