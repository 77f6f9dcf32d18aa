"""Random arrivals for open-loop load, reproducible by their seed."""

from __future__ import annotations

import dataclasses
import hashlib
import random
import typing as ty

from peridotmast.schema import peridotmast_pb2 as pb

_WORDS = (
    'bakery joiner oven delivery invoice letter swimming robotics roster '
    'booking cake table door order sunday term parent shelf paint garden'
).split()


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request to send."""

    at_ms: int
    """Time of the request, in ms from the start of the run."""
    number: int
    workload: str
    team: str
    work: str
    service: str
    prompt: str
    tokens: int
    idempotent: bool
    deadline_ms: int


def draw(
    workloads: ty.Iterable[pb.Workload], seconds: float, seed: int
) -> list[Arrival]:
    """Return the arrivals of a run of `seconds` seconds, in order of time."""
    arrivals: list[Arrival] = []
    for workload in workloads:
        # Each workload has its own generator, so that a change to one does
        # not change the arrivals of another.
        rng = random.Random(f'{seed}|{workload.name}')
        ends = min(seconds, workload.closes_at)
        at = workload.opens_at
        while workload.rate > 0:
            at += rng.expovariate(workload.rate)
            if at >= ends:
                break
            arrivals.append(_draw_arrival(workload, rng, at, len(arrivals)))
    arrivals.sort(key=lambda arrival: (arrival.at_ms, arrival.number))
    return arrivals


def digest(arrivals: ty.Iterable[Arrival], faults: ty.Iterable[ty.Any]) -> str:
    """Return a digest that is equal for runs with the same schedule."""
    state = hashlib.blake2b(digest_size=8)
    for item in (*arrivals, *faults):
        state.update(repr(item).encode())
    return state.hexdigest()


def _draw_arrival(
    workload: pb.Workload, rng: random.Random, at: float, number: int
) -> Arrival:
    group = rng.randrange(workload.groups)
    shared = random.Random(f'{workload.name}|{group}')
    words = [
        *(shared.choice(_WORDS) for _ in range(workload.shared_words)),
        *(rng.choice(_WORDS) for _ in range(workload.prompt_words)),
    ]
    return Arrival(
        int(at * 1000),
        number,
        workload.name,
        workload.team,
        workload.work,
        workload.service,
        f'{" ".join(words)} {workload.name} {number}',
        rng.randint(workload.tokens_min, workload.tokens_max),
        workload.idempotent,
        workload.deadline_ms,
    )
