"""Stand-ins in this process, and each router as a process of its own."""

from __future__ import annotations

import ipaddress
import os
import typing as ty

from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import process_router
from peridotmast.embedded import shape as shape_
from peridotmast.schema import peridotmast_pb2 as pb

_HOSTS = ipaddress.IPv4Network('127.128.0.0/10')
"""Numbers that lead to this machine and that nothing else here listens at."""

_HOSTS_EACH = 512
"""Those of one process, one for each name of a router: a soak of an hour has
about 60. 8,192 processes in a row have others each."""


class ProcessFleet(fleet_.Fleet):
    """The embedded fleet, with routers that can be killed and frozen.

    Parameters
    ----------
    shape : shape.FleetShape
        Its size and settings.
    seed : int
        Seed of the stand-ins' faults.
    folder : str
        Where the routers' settings and logs go, and stay.
    """

    def __init__(
        self, shape: shape_.FleetShape, seed: int, folder: str
    ) -> None:
        super().__init__(shape, seed)
        self._folder = folder
        os.makedirs(folder, exist_ok=True)
        self._started: list[process_router.ProcessRouter] = []
        self._hosts: dict[str, str] = {}
        self._free_hosts = _hosts_of(os.getpid())

    def invariant_violations(self) -> int:
        """Return how often routers found a promise broken in themselves."""
        return sum(
            router.log().count('event=promise_broken')
            for router in self._started
        )

    def _host_of(self, name: str) -> str:
        # One of its own, as on a VM of its own: while it is down, its ports
        # at 127.0.0.1 would be given to whatever asks for a free one.
        if name not in self._hosts:
            self._hosts[name] = next(self._free_hosts)
        return self._hosts[name]

    def _run(self, file: pb.RouterFile) -> ty.Any:
        router = process_router.ProcessRouter(file, self._folder)
        self._started.append(router)
        return router

    def _sees_all(self, router: ty.Any) -> bool:
        log = router.log()
        return 'event=ready ' in log and all(
            f'event=peer_heard program=members router={router.cfg.name}'
            f' peer={other.cfg.name}' in log
            for other in self.running_routers()
            if other is not router
        )


def _hosts_of(pid: int) -> ty.Iterator[str]:
    """Return the IP numbers for the routers of the process `pid`."""
    first = pid * _HOSTS_EACH % _HOSTS.num_addresses
    return (str(_HOSTS[first + n]) for n in range(_HOSTS_EACH))
