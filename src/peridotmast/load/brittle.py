"""Callers of router processes before upstreams that fall over if overrun."""

from __future__ import annotations

import dataclasses
import enum
import os
import random
import typing as ty

from peridotmast import clock as clock_
from peridotmast.embedded import process_fleet
from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.load import driver as driver_
from peridotmast.load import pressing_callers
from peridotmast.load import report as report_
from peridotmast.standin import brittle_service

_CALLERS_PER_SLOT = 1.6
_WARM_UP_MS = 500
"""Time from the start of the callers to the first trouble, in ms."""
_SILENCE_MS = 1600
_SILENCE_GAP_MS = 4000
_RESTART_MS = 300
_FREEZE_MS = 1500
_STEP_MS = 1500
_ALL_KILLED_GAP_MS = 5000
_LEARN_MS = 2000
_FALL_MS = 3000
_PROGRESS_MS = 1000
_BASE_FALLS = 2
_FALLS_SHARE = 0.1
"""An upstream may fall so often, and in addition once for this share of the
upstreams: the rule of the users' platform."""
_MIN_RUN_SHARE = 0.8
_IGNORING_EVERY = 3
"""In mixed troubles, one in so many upstreams goes on with requests whose
callers have left."""
_SILENCES = 3
_KILLS_OF_ALL = 2


class Trouble(enum.Enum):
    """What happens while the upstreams are brittle."""

    NONE = 'none'
    SILENCE = 'silence'
    """All upstreams are silent, three times."""
    RESTARTS = 'restarts'
    """Routers are killed and started one by one."""
    ALL_KILLED = 'all-killed'
    """All routers are killed and started, twice."""
    FREEZES = 'freezes'
    """Routers stand still, one by one."""
    LATE = 'late'
    """The upstreams become brittle while they are loaded."""
    STOPS = 'stops'
    """Routers are stopped as planned and started, one by one."""
    MIXED = 'mixed'
    """Drawn troubles, two at a time; some upstreams go on with requests whose
    callers have left."""


@dataclasses.dataclass(frozen=True)
class Play:
    """Size of a run, and what happens in it."""

    routers: int = 3
    upstreams: int = 6
    slots: int = 6
    waiting: int = 1
    """Requests that may wait at an upstream beside those in its slots."""
    limit: int = 3
    """Refusals in a second that an upstream bears."""
    work_ms: float = 200.0
    seconds: float = 15.0
    trouble: Trouble = Trouble.NONE
    leave_ms: int = 0
    """Time after which callers leave and ask again; 0 if they wait."""
    at_once: bool = False
    """Whether callers ignore the time to come back."""

    @property
    def allowed_falls(self) -> int:
        """Return how often the upstreams may fall over."""
        return _BASE_FALLS + int(_FALLS_SHARE * self.upstreams)


def run(
    play: Play, seed: int, folder: str, progress: driver_.Progress
) -> list[str]:
    """Run, write the report, and return the violations."""
    report = _Run(play, seed, os.path.join(folder, 'routers')).run(progress)
    report_.write(folder, report)
    broken = []
    if report['falls'] > play.allowed_falls:
        broken.append(f'falls: {report["falls"]}, {play.allowed_falls} may')
    is_calm = play.trouble is Trouble.NONE and not play.leave_ms
    if is_calm and report['run_share'] < _MIN_RUN_SHARE:
        broken.append(f'share of the slots used: {report["run_share"]}')
    return broken


_MIXED_TROUBLES = (
    Trouble.SILENCE,
    Trouble.RESTARTS,
    Trouble.ALL_KILLED,
    Trouble.FREEZES,
    Trouble.STOPS,
)


class _Run:
    """One run with its fleet and its callers."""

    def __init__(self, play: Play, seed: int, folder: str) -> None:
        self._play = play
        self._clock = clock_.SystemClock()
        self._random = random.Random(seed)
        self._ends_at = 0
        self._disturbed: set[str] = set()
        """Names of the routers that are stopped, frozen or started."""
        self._for_each: dict[Trouble, ty.Callable[[ty.Any], None]] = {
            Trouble.RESTARTS: self._kill,
            Trouble.FREEZES: self._freeze,
            Trouble.STOPS: self._stop,
        }
        self._fleet = process_fleet.ProcessFleet(
            shape_.FleetShape(routers=play.routers, engines=0, services=0),
            seed,
            folder,
        )
        self._callers = pressing_callers.PressingCallers(
            lambda: [r.address for r in self._fleet.running_routers()],
            play.leave_ms,
            play.at_once,
            seed,
        )
        self._apps = [
            self._add_upstream(number, seed)
            for number in range(play.upstreams)
        ]

    def run(self, progress: driver_.Progress) -> dict[str, ty.Any]:
        """Return the report."""
        play = self._play
        try:
            self._fleet.start()
            began = self._clock.now()
            self._ends_at = began + int(play.seconds * 1000)
            slots = play.upstreams * play.slots
            self._callers.start(
                int(_CALLERS_PER_SLOT * slots), play.work_ms, self._ends_at
            )
            trouble = green.spawn(self._make_trouble)
            while not self._is_over():
                green.sleep_ms(_PROGRESS_MS)
                falls = sum(len(app.falls) for app in self._apps)
                progress(f'{self._callers.counts} falls {falls}')
            report = self._report(began)
            trouble.wait()
            self._callers.wait()
            return report
        finally:
            self._fleet.stop()

    def _add_upstream(
        self, number: int, seed: int
    ) -> brittle_service.BrittleApp:
        play = self._play
        upstream = brittle_service.BrittleService(
            f'brittle-{number + 1}',
            play.slots,
            play.waiting,
            play.work_ms,
            play.limit,
            _FALL_MS,
            seed,
        )
        upstream.app.states_limit = play.trouble is not Trouble.LATE
        domain = self._fleet.domains[number % len(self._fleet.domains)]
        self._fleet.add_upstream(
            upstream, domain, shape_.PLAIN_SERVICE, play.slots
        )
        return upstream.app

    def _make_trouble(self) -> None:
        green.sleep_ms(_WARM_UP_MS)
        trouble = self._play.trouble
        if trouble is Trouble.MIXED:
            for app in self._apps[::_IGNORING_EVERY]:
                app.ignores_closes = True
            tasks = [green.spawn(self._draw_troubles) for _ in range(2)]
            for task in tasks:
                task.wait()
        else:
            self._make_one(trouble)

    def _draw_troubles(self) -> None:
        while not self._is_over():
            green.sleep_ms(self._random.uniform(0, _STEP_MS))
            self._make_one(self._random.choice(_MIXED_TROUBLES))

    def _make_one(self, trouble: Trouble) -> None:
        if trouble is Trouble.SILENCE:
            self._repeat(_SILENCES, _SILENCE_GAP_MS, self._silence_all)
        elif trouble is Trouble.ALL_KILLED:
            self._repeat(_KILLS_OF_ALL, _ALL_KILLED_GAP_MS, self._kill_all)
        elif trouble is Trouble.LATE:
            green.sleep_ms(_LEARN_MS)
            for app in self._apps:
                app.states_limit = True
        elif trouble in self._for_each:
            for router in self._fleet.running_routers():
                self._disturb([router], self._for_each[trouble])
                if self._sleep_until_over(_STEP_MS):
                    return

    def _repeat(
        self, times: int, gap_ms: int, act: ty.Callable[[], None]
    ) -> None:
        for _ in range(times):
            act()
            if self._sleep_until_over(gap_ms):
                return

    def _is_over(self) -> bool:
        return self._clock.now() >= self._ends_at

    def _sleep_until_over(self, ms: int) -> bool:
        """Sleep, and return whether the run is over."""
        green.sleep_ms(max(0, min(ms, self._ends_at - self._clock.now())))
        return self._is_over()

    def _silence_all(self) -> None:
        for app in self._apps:
            app.be_silent(_SILENCE_MS)

    def _kill_all(self) -> None:
        self._disturb(self._fleet.running_routers(), self._kill)

    def _disturb(
        self,
        routers: ty.Iterable[ty.Any],
        act: ty.Callable[[ty.Any], None],
    ) -> None:
        """Act on routers at the same time, but on each only once at a time."""
        free = [
            router
            for router in routers
            if router.is_running and router.cfg.name not in self._disturbed
        ]
        self._disturbed |= {router.cfg.name for router in free}
        tasks = [green.spawn(act, router) for router in free]
        for task in tasks:
            task.wait()
        self._disturbed -= {router.cfg.name for router in free}

    def _freeze(self, router: ty.Any) -> None:
        router.freeze()
        green.sleep_ms(_FREEZE_MS)
        router.thaw()

    def _stop(self, router: ty.Any) -> None:
        router.drain()
        self._fleet.restart_router(router)

    def _kill(self, router: ty.Any) -> None:
        router.stop()
        green.sleep_ms(_RESTART_MS)
        self._fleet.restart_router(router)

    def _report(self, began: int) -> dict[str, ty.Any]:
        play, spent_ms = self._play, self._clock.now() - began
        slot_ms = play.upstreams * play.slots * spent_ms
        completed = sum(app.completed for app in self._apps)
        return {
            'falls': sum(len(app.falls) for app in self._apps),
            'fall_times': sorted(
                at - began for app in self._apps for at in app.falls
            ),
            'refusals': sum(len(app.refusals) for app in self._apps),
            'refusal_times': sorted(
                at - began for app in self._apps for at in app.refusals
            ),
            'run_share': round(completed * play.work_ms / slot_ms, 3),
            'callers': self._callers.counts,
            'routers_restarted': len(self._fleet.routers) - play.routers,
        }
