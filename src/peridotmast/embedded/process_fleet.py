"""Embedded fleet whose routers are separate processes."""

from __future__ import annotations

import ipaddress
import os
import typing as ty

from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import process_router
from peridotmast.embedded import shape as shape_
from peridotmast.schema import peridotmast_pb2 as pb

_HOSTS = ipaddress.IPv4Network('127.128.0.0/10')
"""Loopback addresses on which nothing else listens on this machine."""

_HOSTS_PER_PROCESS = 512
"""Addresses for each process, one per router name; a soak of one hour
uses about 60. Any 8,192 consecutive process ids get distinct addresses."""


class ProcessFleet(fleet_.Fleet):
    """The embedded fleet, with routers that can be killed and frozen.

    Parameters
    ----------
    shape : shape.FleetShape
        Size and settings of the fleet.
    seed : int
        Seed of the faults that the stand-ins inject.
    folder : str
        Folder for the routers' settings and logs, which are kept.
    """

    def __init__(
        self, shape: shape_.FleetShape, seed: int, folder: str
    ) -> None:
        super().__init__(shape, seed)
        self._folder = folder
        os.makedirs(folder, exist_ok=True)
        self._processes: list[process_router.ProcessRouter] = []
        self._hosts: dict[str, str] = {}
        self._free_hosts = _hosts_of(os.getpid())

    def invariant_violations(self) -> int:
        """Return the number of invariant violations that routers logged."""
        return sum(
            router.log().count('event=promise_broken')
            for router in self._processes
        )

    def _host_of(self, name: str) -> str:
        # Each router has its own address, as on its own VM. At 127.0.0.1 the
        # ports of a stopped router could be assigned to another listener.
        if name not in self._hosts:
            self._hosts[name] = next(self._free_hosts)
        return self._hosts[name]

    def _run(self, file: pb.RouterFile) -> ty.Any:
        router = process_router.ProcessRouter(file, self._folder)
        self._processes.append(router)
        return router

    def _knows_all_routers(self, router: ty.Any) -> bool:
        log = router.log()
        return 'event=ready ' in log and all(
            f'event=peer_heard program=members router={router.cfg.name}'
            f' peer={peer.cfg.name}' in log
            for peer in self.running_routers()
            if peer is not router
        )


def _hosts_of(pid: int) -> ty.Iterator[str]:
    """Return the IP addresses for the routers of the process `pid`."""
    first = pid * _HOSTS_PER_PROCESS % _HOSTS.num_addresses
    return (str(_HOSTS[first + n]) for n in range(_HOSTS_PER_PROCESS))
