"""Whether a client reads what is sent to it, as the kernel knows it."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
import typing as ty

STALLED_MS = 1000
"""Time for which a client may read nothing of what is sent to it before its
answer may be broken off for others."""

_INFO_BYTES = 192
_ACKNOWLEDGED = struct.Struct('Q')
_ACKNOWLEDGED_OFFSET = 120
"""Place of ``tcpi_bytes_acked`` in ``struct tcp_info`` of the kernel."""
_QUEUE_BYTES = struct.Struct('i')


class ReadProgress:
    """Samples how much of what was sent a client has acknowledged.

    The buffers of the kernel take in the events of a stream for a long time
    after its client has stopped reading, so that no write shows it.

    Parameters
    ----------
    sock : eventlet.greenio.GreenSocket
        Connection to the client.
    """

    def __init__(self, sock: ty.Any) -> None:
        self._sock = sock
        self._acknowledged = -1
        self._since = 0

    def is_stalled(self, now: int) -> bool:
        """Return whether bytes wait, and none was read since a while ago.

        The first call only takes a sample.

        Parameters
        ----------
        now : int
            Current time, in ms.
        """
        try:
            acknowledged = self._count_acknowledged()
            has_waiting = self._has_waiting()
        except (OSError, struct.error):
            # The connection is closed, or the kernel does not tell.
            return False
        if not has_waiting or acknowledged != self._acknowledged:
            self._acknowledged, self._since = acknowledged, now
            return False
        return now - self._since >= STALLED_MS

    def _count_acknowledged(self) -> int:
        info = self._sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES
        )
        found: int = _ACKNOWLEDGED.unpack_from(info, _ACKNOWLEDGED_OFFSET)[0]
        return found

    def _has_waiting(self) -> bool:
        """Return whether sent bytes are not acknowledged."""
        empty = bytes(_QUEUE_BYTES.size)
        queue = fcntl.ioctl(self._sock.fileno(), termios.TIOCOUTQ, empty)
        return _QUEUE_BYTES.unpack(queue)[0] > 0
