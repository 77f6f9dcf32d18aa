"""Sends arrivals to a fleet, open loop, and hands outcomes to the oracle."""

from __future__ import annotations

import itertools
import typing as ty

from peridotmast.client import caller as caller_
from peridotmast.embedded import fleet as fleet_
from peridotmast import green
from peridotmast.load import arrivals as arrivals_
from peridotmast.load import oracle as oracle_

Progress = ty.Callable[[str], None]

_CALLERS = 12


class LoadDriver:
    """Sends each arrival at its time, whatever became of the others.

    Parameters
    ----------
    fleet : fleet.Fleet
        Whom to ask.
    oracle : oracle.Oracle
        Whom to tell.
    seed : int
        Seed of the callers' choices.
    """

    def __init__(
        self, fleet: fleet_.Fleet, oracle: oracle_.Oracle, seed: int
    ) -> None:
        self._fleet = fleet
        self._oracle = oracle
        self._seed = seed
        self._callers: dict[str, caller_.Caller] = {}
        self._turns = itertools.count()
        self._tasks: list[ty.Any] = []
        self.late_ms = 0
        """How late the latest arrival was sent, in ms."""

    def run(
        self,
        arrivals: ty.Iterable[arrivals_.Arrival],
        progress: Progress = lambda line: None,
    ) -> None:
        """Send everything and wait for all outcomes."""
        began = self._fleet.clock.now()
        said = 0
        for arrival in arrivals:
            due = began + arrival.at_ms
            green.sleep_ms(max(0, due - self._fleet.clock.now()))
            self.late_ms = max(self.late_ms, self._fleet.clock.now() - due)
            self._tasks.append(green.spawn(self._send, arrival))
            if arrival.at_ms // 1000 > said:
                said = arrival.at_ms // 1000
                ended = len(self._oracle.outcomes)
                progress(f'{said} s  sent {len(self._tasks)}  ended {ended}')
        for task in self._tasks:
            task.wait()

    def _send(self, arrival: arrivals_.Arrival) -> None:
        caller = self._caller(arrival.team)
        if arrival.service:
            answer = caller.call(
                arrival.service,
                'hold',
                arrival.prompt,
                arrival.idempotent,
                arrival.deadline_ms,
            )
        else:
            answer = caller.chat(
                oracle_.MODEL,
                arrival.prompt,
                arrival.tokens,
                arrival.work,
                arrival.idempotent,
                arrival.deadline_ms,
            )
        self._oracle.add(oracle_.Outcome(arrival, answer))

    def _caller(self, team: str) -> caller_.Caller:
        """Return one of a few callers of `team`, in turn."""
        number = next(self._turns) % _CALLERS
        name = f'{team}-{number}'
        if name not in self._callers:
            domain = self._fleet.domains[number % len(self._fleet.domains)]
            self._callers[name] = self._fleet.caller(
                team, self._seed * 1000 + len(self._callers), domain
            )
        return self._callers[name]
