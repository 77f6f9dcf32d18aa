"""Embedded fleet whose routers are separate processes."""

from __future__ import annotations

import os
import typing as ty

from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import process_router
from peridotmast.embedded import shape as shape_
from peridotmast.schema import peridotmast_pb2 as pb


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

    def invariant_violations(self) -> int:
        """Return the number of invariant violations that routers logged."""
        return sum(
            router.log().count('event=promise_broken')
            for router in self._processes
        )

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
