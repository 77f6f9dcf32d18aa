"""An open-loop load generator that passes outcomes to the oracle."""

from __future__ import annotations

import itertools
import typing as ty

from peridotmast.client import caller as caller_
from peridotmast.embedded import fleet as fleet_
from peridotmast import green
from peridotmast.load import arrivals as arrivals_
from peridotmast.load import oracle as oracle_

Progress = ty.Callable[[str], None]
"""Called with each progress message."""

_CALLERS_PER_TEAM = 12


class LoadDriver:
    """Sends each request at its scheduled time, without regard to the others.

    Parameters
    ----------
    fleet : fleet.Fleet
        Fleet that receives the requests.
    oracle : oracle.Oracle
        Oracle that receives the outcomes.
    seed : int
        Seed of the callers' random choices.
    """

    def __init__(
        self, fleet: fleet_.Fleet, oracle: oracle_.Oracle, seed: int
    ) -> None:
        self._fleet = fleet
        self._oracle = oracle
        self._seed = seed
        self._callers: dict[str, caller_.Caller] = {}
        self._send_counter = itertools.count()
        self._tasks: list[ty.Any] = []
        self.late_ms = 0
        """Maximum delay of a request beyond its scheduled time, in ms."""

    def run(
        self,
        arrivals: ty.Iterable[arrivals_.Arrival],
        progress: Progress = lambda line: None,
    ) -> None:
        """Send all requests and wait for their outcomes."""
        began = self._fleet.clock.now()
        last_second = 0
        for arrival in arrivals:
            due = began + arrival.at_ms
            green.sleep_ms(max(0, due - self._fleet.clock.now()))
            self.late_ms = max(self.late_ms, self._fleet.clock.now() - due)
            self._tasks.append(green.spawn(self._send, arrival))
            if arrival.at_ms // 1000 > last_second:
                last_second = arrival.at_ms // 1000
                ended = len(self._oracle.outcomes)
                progress(
                    f'{last_second} s  sent {len(self._tasks)}  ended {ended}'
                )
        for task in self._tasks:
            task.wait()

    def _send(self, arrival: arrivals_.Arrival) -> None:
        caller = self._next_caller(arrival.team)
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

    def _next_caller(self, team: str) -> caller_.Caller:
        """Return a caller of `team`, with the callers in rotation."""
        number = next(self._send_counter) % _CALLERS_PER_TEAM
        name = f'{team}-{number}'
        if name not in self._callers:
            domain = self._fleet.domains[number % len(self._fleet.domains)]
            self._callers[name] = self._fleet.caller(
                team, self._seed * 1000 + len(self._callers), domain
            )
        return self._callers[name]
