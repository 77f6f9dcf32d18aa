"""Stand-ins in this process, and each router as a process of its own."""

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

    def broken_promises(self) -> int:
        """Return how often routers found a promise broken in themselves."""
        return sum(
            router.log().count('event=promise_broken')
            for router in self._started
        )

    def _run(self, file: pb.RouterFile) -> ty.Any:
        router = process_router.ProcessRouter(file, self._folder)
        self._started.append(router)
        return router

    def _sees_all(self, router: ty.Any) -> bool:
        log = router.log()
        return 'event=ready ' in log and all(
            f'event=peer_heard program=members router={router.cfg.name}'
            f' peer={other.cfg.name}' in log
            for other in self.serving()
            if other is not router
        )
