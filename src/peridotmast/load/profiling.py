"""Processor time of a call, and memory that its result occupies."""

from __future__ import annotations

import time
import tracemalloc
import typing as ty


def measure_cpu_us(func: ty.Callable[[], ty.Any], times: int = 1) -> float:
    """Return the mean processor time of one call of `func`, in us."""
    began = time.process_time()
    for _ in range(times):
        func()
    return (time.process_time() - began) / times * 1e6


def measure_allocation(make: ty.Callable[[], ty.Any]) -> tuple[float, ty.Any]:
    """Return the size of the result of `make` in bytes, and the result."""
    tracemalloc.start()
    result = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(size), result
