"""What this process may use of its VM, as the kernel states it."""

from __future__ import annotations

import contextlib
import ctypes
import pathlib
import resource
import typing as ty

_MB = 1_000_000
_KB = 1024
_CGROUP_ROOT = pathlib.Path('/sys/fs/cgroup')
_M_MMAP_THRESHOLD = -3
"""Parameter of ``mallopt``, from glibc's ``malloc.h``."""
_MMAP_THRESHOLD_BYTES = 131072
_DEFAULT_DESCRIPTORS = 1 << 16
"""Descriptors where the process has no limit of its own."""


def memory_bytes(setting_mb: float) -> int:
    """Return the memory that the process may use.

    Parameters
    ----------
    setting_mb : float
        Memory in the settings, in MB; 0 for the smaller one of the limit of
        the control group and the memory of the VM.
    """
    if setting_mb:
        return int(setting_mb * _MB)
    return min([*_cgroup_limits(), _total_memory()])


def descriptors(setting: int) -> int:
    """Return the number of descriptors that the process may open.

    Parameters
    ----------
    setting : int
        Number in the settings; 0 for the limit of the process.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = _DEFAULT_DESCRIPTORS if soft == resource.RLIM_INFINITY else soft
    return min(setting, limit) if setting else limit


def return_freed_memory() -> None:
    """Have large blocks of memory returned to the kernel once they are freed.

    The C library raises the size from which it does so as soon as it frees
    such a block. Bodies that grow side by side then leave gaps in the heap
    that take several times their own memory. Has no effect without glibc.
    """
    with contextlib.suppress(AttributeError, OSError):
        ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES)


def _total_memory() -> int:
    with open('/proc/meminfo', encoding='ascii') as file:
        lines = dict(line.split(':', 1) for line in file)
    return int(lines['MemTotal'].split()[0]) * _KB


def _cgroup_limits() -> ty.Iterator[int]:
    """Yield the memory limits of the control group, of either version."""
    names = ('memory.max', 'memory/memory.limit_in_bytes')
    for path in (_CGROUP_ROOT / name for name in names):
        # Without a control group, or without a limit, there is no number.
        with contextlib.suppress(OSError, ValueError):
            yield int(path.read_text())
