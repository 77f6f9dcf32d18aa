"""The judge of a run: what was promised against what the stand-ins saw."""

from __future__ import annotations

import collections
import dataclasses
import json
import typing as ty

from peridotmast import client as client_
from peridotmast.embedded import fleet as fleet_
from peridotmast import failures
from peridotmast.load import arrivals as arrivals_
from peridotmast.router import call as call_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.standin import answers

MODEL = 'draft-7b'
PROMISES = (
    'wrong_answers',
    'not_run_but_ran',
    'non_idempotent_ran_twice',
    'work_to_leaving_upstreams',
    'cut_by_planned_stop',
    'invariant_violations',
)
"""Counts of a verdict that must be zero."""

_LEAVING_BOUND_MS = 1000
_Kinds = failures.FailureKind


@dataclasses.dataclass
class Outcome:
    """What one caller saw of one request."""

    arrival: arrivals_.Arrival
    request_id: str
    answer: ty.Optional[client_.Answer] = None
    service: ty.Union[client_.ServiceAnswer, failures.Failure, None] = None

    @property
    def failure(self) -> ty.Optional[failures.Failure]:
        """Why there is no answer, if there is none."""
        if self.answer is not None:
            return self.answer.failure
        if isinstance(self.service, failures.Failure):
            return self.service
        return None

    @property
    def key(self) -> str:
        """The request's key."""
        return f'{self.arrival.team}/{self.request_id}'


@dataclasses.dataclass
class Verdict:
    """The counts that a run is judged by."""

    requests: int = 0
    accepted: int = 0
    answered_whole: int = 0
    wrong_answers: int = 0
    not_run_but_ran: int = 0
    non_idempotent_ran_twice: int = 0
    work_to_leaving_upstreams: int = 0
    cut_by_planned_stop: int = 0
    invariant_violations: int = 0
    outcome_unknown: int = 0
    """Non-idempotent requests whose outcome could not be known."""
    recomputed_tokens: int = 0
    generated_tokens: int = 0
    refused: dict[str, int] = dataclasses.field(default_factory=dict)

    def broken(self) -> list[str]:
        """Return the promises that do not hold."""
        found = [name for name in PROMISES if getattr(self, name)]
        if self.accepted != self.answered_whole:
            found.append('answered_whole')
        return found


class Oracle:
    """Collects outcomes and judges them once the run is over."""

    def __init__(self, fleet: fleet_.Fleet) -> None:
        self._fleet = fleet
        self.outcomes: list[Outcome] = []
        """What the callers saw."""
        self.lost: list[str] = []
        """A line for each request that was not served as promised."""

    def add(self, outcome: Outcome) -> None:
        """Note what one caller saw."""
        self.outcomes.append(outcome)

    def judge(self, noticed: dict[str, int], drained: set[str]) -> Verdict:
        """Return the verdict.

        Parameters
        ----------
        noticed : dict
            When each reclaimed VM got notice, in ms.
        drained : set of str
            Routers that were stopped as planned.
        """
        verdict = Verdict(requests=len(self.outcomes))
        refused: collections.Counter[str] = collections.Counter()
        for outcome in self.outcomes:
            if outcome.answer is not None:
                self._judge_chat(outcome, verdict, drained)
            else:
                self._judge_service(outcome, verdict)
            failure = outcome.failure
            if failure is not None and failure.kind is _Kinds.NOT_RUN:
                refused[failure.reason.partition(':')[0]] += 1
                verdict.not_run_but_ran += self._ran(outcome)
        verdict.refused = dict(refused)
        verdict.non_idempotent_ran_twice = self._ran_twice()
        verdict.work_to_leaving_upstreams = self._late_work(noticed)
        for router in self._fleet.routers:
            verdict.invariant_violations += router.checks.broken
        for engine in self._fleet.engines():
            verdict.recomputed_tokens += engine.totals['recomputed']
            verdict.generated_tokens += engine.totals['generated']
        return verdict

    def _judge_chat(
        self, outcome: Outcome, verdict: Verdict, drained: set[str]
    ) -> None:
        answer = ty.cast(client_.Answer, outcome.answer)
        wanted = expected_tokens(outcome.arrival)
        if answer.tokens != wanted[: len(answer.tokens)]:
            verdict.wrong_answers += 1
            self._lose(outcome, 'wrong')
        failure = answer.failure
        kind = failure.kind if failure is not None else None
        if kind is _Kinds.OUTCOME_UNKNOWN and not outcome.arrival.idempotent:
            verdict.outcome_unknown += 1
            return
        if outcome.arrival.twice and kind is _Kinds.CONFLICT:
            # The same request on a newer connection took the stream over.
            return
        if not answer.accepted:
            return
        verdict.accepted += 1
        if answer.complete and answer.tokens == wanted:
            verdict.answered_whole += 1
            return
        self._lose(outcome, 'not whole')
        verdict.cut_by_planned_stop += bool(drained & set(answer.routers))

    def _judge_service(self, outcome: Outcome, verdict: Verdict) -> None:
        result = outcome.service
        if isinstance(result, client_.ServiceAnswer):
            verdict.accepted += 1
            own = result.body['key'] == outcome.key
            right = own and result.body['payload'] == outcome.arrival.prompt
            verdict.wrong_answers += not right
            verdict.answered_whole += right
        elif result is not None:
            if result.kind is _Kinds.OUTCOME_UNKNOWN:
                verdict.outcome_unknown += 1
                self._lose(outcome, 'unknown')

    def _ran(self, outcome: Outcome) -> bool:
        if outcome.arrival.twice:
            # Its twin at the other router may have run.
            return False
        if outcome.answer is None:
            return self._runs(outcome.key) > 0
        stream_id = _stream_id(outcome)
        return any(e.begun[stream_id] for e in self._fleet.engines())

    def _runs(self, key: str) -> int:
        return sum(service.runs[key] for service in self._fleet.services())

    def _ran_twice(self) -> int:
        once = {o.key: o for o in self.outcomes if not o.arrival.idempotent}
        twice = 0
        for key, outcome in once.items():
            if outcome.answer is None:
                runs = self._runs(key)
            else:
                stream_id = _stream_id(outcome)
                engines = self._fleet.engines()
                runs = sum(engine.begun[stream_id] for engine in engines)
            if runs > 1:
                twice += 1
                self._lose(outcome, f'ran {runs} times')
        return twice

    def _late_work(self, noticed: dict[str, int]) -> int:
        return sum(
            engine.last_begun_ms > noticed[engine.name] + _LEAVING_BOUND_MS
            for engine in self._fleet.engines()
            if engine.name in noticed
        )

    def _lose(self, outcome: Outcome, what: str) -> None:
        self.lost.append(f'{outcome.key} {what} {outcome.failure}')


def expected_tokens(arrival: arrivals_.Arrival) -> list[str]:
    """Return the answer that an arrival must get."""
    prompt = f'user: {arrival.prompt}'
    return answers.whole(MODEL, '', prompt, arrival.tokens)


def _stream_id(outcome: Outcome) -> str:
    arrival = outcome.arrival
    body = {
        'model': MODEL,
        'messages': [{'role': 'user', 'content': arrival.prompt}],
        'max_tokens': arrival.tokens,
        'team': arrival.team,
        'work': arrival.work,
        'idempotent': arrival.idempotent,
        'request_id': outcome.request_id,
    }
    config = pb.Config(
        teams=[pb.Team(name=arrival.team)],
        models=[pb.Model(name=MODEL, max_tokens=1 << 30)],
    )
    call = call_.read_chat(json.dumps(body).encode(), 0, config, {})
    assert isinstance(call, call_.Call), call
    return call.stream_id
