"""Memory and descriptors of a process, as the kernel counts them."""

from __future__ import annotations

import contextlib
import os
import typing as ty

from peridotmast import green

_INTERVAL_MS = 50
_SOCKET = 'socket:['
_KB = 1024
_MB = 1_000_000


class ProcessWatch:
    """Samples a process until it is stopped, and keeps the peaks.

    Parameters
    ----------
    pid : int
        Id of the process.
    addresses : list of str
        Addresses it listens on; bytes that wait there to be read count as its
        memory, and so do those on its other connections.
    """

    def __init__(self, pid: int, addresses: ty.Iterable[str]) -> None:
        self._pid = pid
        self._locals = {_kernel_address(a) for a in addresses if a}
        self.descriptors = 0
        """Largest number of open descriptors."""
        self.unread_mb = 0.0
        """Largest number of bytes that had arrived and were not read, in
        MB."""
        self.resident_mb = 0.0
        """Largest resident memory, in MB."""
        self.peak_mb = 0.0
        """Largest sum of resident memory and unread bytes, in MB."""
        self._task = green.spawn(self._sample_until_stopped)

    def stop(self) -> None:
        """Stop sampling."""
        self._task.kill()
        self._sample()

    def current_mb(self) -> float:
        """Return the resident memory now, in MB."""
        return self._status_kb('VmRSS') * _KB / _MB

    def _sample_until_stopped(self) -> None:
        while True:
            self._sample()
            green.sleep_ms(_INTERVAL_MS)

    def _sample(self) -> None:
        try:
            links = self._open_files()
            resident_mb = self.current_mb()
            high_mb = self._status_kb('VmHWM') * _KB / _MB
        except (OSError, LookupError):
            # The process has ended.
            return
        unread_mb = self._unread_bytes(links) / _MB
        self.descriptors = max(self.descriptors, len(links))
        self.unread_mb = max(self.unread_mb, unread_mb)
        self.resident_mb = max(self.resident_mb, high_mb)
        self.peak_mb = max(self.peak_mb, high_mb, resident_mb + unread_mb)

    def _status_kb(self, field: str) -> int:
        with open(f'/proc/{self._pid}/status', encoding='ascii') as file:
            lines = dict(line.split(':', 1) for line in file)
        return int(lines[field].split()[0])

    def _open_files(self) -> list[str]:
        """Return what the descriptors of the process stand for."""
        folder = f'/proc/{self._pid}/fd'
        links = []
        for name in os.listdir(folder):
            with contextlib.suppress(FileNotFoundError):
                links.append(os.readlink(f'{folder}/{name}'))
        return links

    def _unread_bytes(self, links: ty.Iterable[str]) -> int:
        """Return the bytes that wait on the connections of the process.

        A connection that it has not accepted yet belongs to no descriptor.
        """
        inodes = {
            link.removeprefix(_SOCKET).rstrip(']')
            for link in links
            if link.startswith(_SOCKET)
        }
        with open('/proc/net/tcp', encoding='ascii') as file:
            rows = [line.split() for line in file][1:]
        return sum(
            int(row[4].partition(':')[2], 16)
            for row in rows
            if row[3] != _LISTEN
            and (row[1] in self._locals or row[9] in inodes)
        )


_LISTEN = '0A'
"""State of a listening socket, whose queue is counted in connections."""


def _kernel_address(address: str) -> str:
    """Return an IPv4 address and port as the kernel's tables show them."""
    host, _, port = address.rpartition(':')
    packed = bytes(int(part) for part in host.split('.'))
    number = int.from_bytes(packed, 'little')
    return f'{number:08X}:{int(port):04X}'
