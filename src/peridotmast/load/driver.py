"""Sends arrivals to a fleet, open loop, and hands outcomes to the oracle."""

from __future__ import annotations

import itertools
import typing as ty

from peridotmast import client as client_
from peridotmast.embedded import fleet as fleet_
from peridotmast import failures
from peridotmast import green
from peridotmast.load import arrivals as arrivals_
from peridotmast.load import oracle as oracle_

Progress = ty.Callable[[str], None]


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
        self._clients: dict[str, client_.Client] = {}
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
        client = self._client(arrival.team)
        request_id = self._id_for(client, arrival)
        if isinstance(request_id, failures.Failure):
            return
        count = 2 if arrival.twice else 1
        senders = [
            green.spawn(self._send_one, arrival, request_id, client)
            for _ in range(count)
        ]
        for sender in senders:
            sender.wait()

    def _send_one(
        self,
        arrival: arrivals_.Arrival,
        request_id: str,
        client: client_.Client,
    ) -> None:
        outcome = oracle_.Outcome(arrival, request_id)
        if arrival.service:
            outcome.service = client.call(
                arrival.service,
                'hold',
                arrival.prompt,
                arrival.work,
                arrival.idempotent,
                request_id,
                arrival.deadline_ms,
                retry_refused=True,
            )
        else:
            outcome.answer = client.chat(
                oracle_.MODEL,
                arrival.prompt,
                arrival.tokens,
                arrival.work,
                '',
                arrival.idempotent,
                request_id,
                arrival.deadline_ms,
            )
        self._oracle.add(outcome)

    def _id_for(
        self, client: client_.Client, arrival: arrivals_.Arrival
    ) -> ty.Union[str, failures.Failure]:
        if arrival.ticket and not arrival.idempotent:
            return client.ticket()
        return client.new_id(arrival.idempotent)

    def _client(self, team: str) -> client_.Client:
        """Return one of a few callers of `team`, in turn."""
        number = next(self._turns) % _CALLERS
        name = f'{team}-{number}'
        if name not in self._clients:
            seed = self._seed * 1000 + len(self._clients)
            self._clients[name] = self._fleet.client(team, seed)
        return self._clients[name]

    _turns = itertools.count()


_CALLERS = 12
