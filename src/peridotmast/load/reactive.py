"""A scaler that follows the load it sees; a baseline."""

from __future__ import annotations

import itertools
import typing as ty

from peridotmast.embedded import fleet as fleet_
from peridotmast import green
from peridotmast.standin import cloud_api

_LOOK_MS = 250
_IDLE_LOOKS = 6


class ReactiveScaler:
    """Adds a VM above a utilisation, and takes one after idle looks.

    Parameters
    ----------
    fleet : fleet.Fleet
        What it scales.
    utilisation : float
        Share of slots in use above which VMs are added.
    least : int
        VMs that are always held.
    """

    def __init__(
        self, fleet: fleet_.Fleet, utilisation: float, least: int
    ) -> None:
        self._fleet = fleet
        self._utilisation = utilisation
        self._least = least
        self._domains = itertools.cycle(fleet.domains)
        self._idle = 0
        self._task: ty.Any = None

    def start(self) -> None:
        """Begin to look."""
        self._task = green.spawn(self._run)

    def stop(self) -> None:
        """End."""
        self._task.kill()

    def _run(self) -> None:
        while True:
            green.sleep_ms(_LOOK_MS)
            self._look()

    def _look(self) -> None:
        states = (cloud_api.VmState.LIVE, cloud_api.VmState.BOOTING)
        vms = [v for v in self._fleet.cloud.vms.values() if v.state in states]
        engines = [vm.guest for vm in vms if vm.guest is not None]
        loads = [engine._load_now() for engine in engines]
        work = sum(load['running'] + load['waiting'] for load in loads)
        slots = self._fleet.shape.times.batch
        wanted = max(self._least, -(-work // int(slots * self._utilisation)))
        for _ in range(wanted - len(vms)):
            self._fleet.add_engine(next(self._domains), at_once=False)
        self._idle = self._idle + 1 if wanted < len(vms) else 0
        if self._idle >= _IDLE_LOOKS:
            self._idle = 0
            idle = [vm for vm in vms if vm.guest and not _busy(vm.guest)]
            for vm in idle[: len(vms) - wanted]:
                self._fleet.cloud.kill(vm.name)


def _busy(engine: ty.Any) -> bool:
    load = engine._load_now()
    return bool(load['running'] + load['waiting'])
