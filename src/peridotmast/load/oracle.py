"""The judge of a run: what was promised against what the stand-ins saw."""

from __future__ import annotations

import collections
import dataclasses
import json
import typing as ty

from peridotmast.client import caller as caller_
from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import guest as guest_
from peridotmast.embedded import links as links_
from peridotmast import failures
from peridotmast.load import arrivals as arrivals_
from peridotmast.standin import answers

MODEL = 'draft-7b'
GUARANTEES = (
    'wrong_answers',
    'not_run_but_ran',
    'non_idempotent_ran_twice',
    'work_to_leaving_upstreams',
    'cut_by_planned_stop',
    'reports_that_differ',
    'duties_out_of_turn',
    'sent_though_blocked',
    'sent_over_limit',
    'invariant_violations',
)
"""Counts of a verdict that must be zero."""

_LEAVING_BOUND_MS = 2000
DISCONNECT_WINDOW_MS = 500
"""Time after a router's end in which its callers see their connections go."""
_BLOCK_THRESHOLD = 3
"""Number of crashes at which a request must be blocked."""
_BLOCK_PROPAGATION_MS = 1000
"""Time after the last of these crashes until all routers know of the block."""
_MAX_CRASHES_ONCE_BLOCKED = 3
"""Maximum number of engines that a request may crash after that time."""
_LIMIT_WINDOW_MS = 4000
"""Window in which requests to an upstream with a rate limit are counted."""
_LIMIT_TOLERANCE_FACTOR = 1.5
_LIMIT_TOLERANCE_REQUESTS = 5
"""Maximum number of requests in the window: the number that the limit allows,
times this factor, plus this number."""
_LIMIT_PROPAGATION_MS = 3000
"""Time after which all routers must enforce a limit that is new to them."""
_THAW_MS = 300
"""Time after a thaw in which a call that was on its way may still arrive."""
_Kinds = failures.FailureKind
_NO_SPAN = (1, 0)

Span = tuple[int, int]
"""First and last moment of a time, in ms."""


@dataclasses.dataclass
class Outcome:
    """What one caller saw of one request."""

    arrival: arrivals_.Arrival
    answer: caller_.Answer

    @property
    def failure(self) -> ty.Optional[failures.Failure]:
        """Why there is no answer, if there is none."""
        return self.answer.failure


@dataclasses.dataclass(frozen=True)
class LimitedEngine:
    """An engine that stated a rate limit, and when."""

    guest: guest_.Guest
    rate: float
    """The limit, in requests per second."""
    span: Span
    """When it stated the limit."""


@dataclasses.dataclass
class Verdict:
    """The counts that a run is judged by."""

    requests: int = 0
    answered_whole: int = 0
    wrong_answers: int = 0
    not_run_but_ran: int = 0
    non_idempotent_ran_twice: int = 0
    work_to_leaving_upstreams: int = 0
    cut_by_planned_stop: int = 0
    reports_that_differ: int = 0
    duties_out_of_turn: int = 0
    """Calls of the platform with a lower fencing number than one before."""
    sent_though_blocked: int = 0
    """Engines crashed by a blocked request in excess of the limit."""
    sent_over_limit: int = 0
    """Engines that received more requests than their limits allow."""
    invariant_violations: int = 0
    outcome_unknown: int = 0
    """Requests that may have run and got no answer."""
    recomputed_tokens: int = 0
    moved_tokens: int = 0
    generated_tokens: int = 0
    refused: dict[str, int] = dataclasses.field(default_factory=dict)

    def violated_guarantees(self) -> list[str]:
        """Return the promises that do not hold."""
        return [name for name in GUARANTEES if getattr(self, name)]


class Oracle:
    """Collects outcomes and judges them once the run is over."""

    def __init__(self, fleet: fleet_.Fleet) -> None:
        self._fleet = fleet
        self.outcomes: list[Outcome] = []
        """What the callers saw."""
        self.problems: list[str] = []
        """A line for each request that was not served as promised."""

    def add(self, outcome: Outcome) -> None:
        """Note what one caller saw."""
        self.outcomes.append(outcome)

    def judge(
        self,
        notice_times: dict[str, int],
        drain_spans: dict[str, Span],
        thaw_times: ty.Sequence[int],
        crash_times: ty.Sequence[int] = (),
        resume_times: ty.Sequence[int] = (),
        limited_engines: ty.Sequence[LimitedEngine] = (),
        kill_all_times: ty.Sequence[int] = (),
    ) -> Verdict:
        """Return the verdict.

        Parameters
        ----------
        notice_times : dict
            When each reclaimed VM got notice, in ms.
        drain_spans : dict
            Stops as planned: chat address, and from when to when, in ms.
        thaw_times : sequence of int
            When frozen routers went on, in ms.
        crash_times : sequence of int, optional
            When requests crashed engines, in ms.
        resume_times : sequence of int, optional
            When routers were added, restarted or thawed, in ms.
        limited_engines : sequence of LimitedEngine, optional
            Engines that stated rate limits, and when.
        kill_all_times : sequence of int, optional
            When all routers were killed, in ms.
        """
        verdict = Verdict(requests=len(self.outcomes))
        refused: collections.Counter[str] = collections.Counter()
        for outcome in self.outcomes:
            self._judge_one(outcome, verdict, drain_spans)
            failure = outcome.failure
            if failure is not None and failure.kind is _Kinds.NOT_RUN:
                refused[failure.reason.partition(':')[0]] += 1
        verdict.refused = dict(refused)
        verdict.work_to_leaving_upstreams = self._late_work(notice_times)
        cloud = self._fleet.cloud
        verdict.reports_that_differ = len(cloud.conflicting_reports())
        verdict.duties_out_of_turn = sum(
            not any(0 <= at - thaw <= _THAW_MS for thaw in thaw_times)
            for at in cloud.out_of_turn
        )
        verdict.sent_though_blocked = count_excess_crashes(
            crash_times, resume_times
        )
        verdict.sent_over_limit = sum(
            exceeds_limit(
                [at for at, _ in engine.guest.upstream.app.arrivals],
                engine.rate,
                engine.span,
                kill_all_times,
            )
            for engine in limited_engines
        )
        verdict.invariant_violations = self._fleet.broken_promises()
        for guest in self._fleet.guests:
            totals = getattr(guest.upstream, 'totals', {})
            verdict.recomputed_tokens += totals.get('recomputed', 0)
            verdict.moved_tokens += totals.get('moved', 0)
            verdict.generated_tokens += totals.get('generated', 0)
        return verdict

    def _judge_one(
        self, outcome: Outcome, verdict: Verdict, drain_spans: dict[str, Span]
    ) -> None:
        answer = outcome.answer
        wanted = expected(outcome.arrival)
        if not wanted.startswith(answer.text) or (
            answer.complete and answer.text != wanted
        ):
            verdict.wrong_answers += 1
            self._lose(outcome, 'wrong')
        elif answer.complete:
            verdict.answered_whole += 1
        else:
            self._lose(outcome, 'not whole')
        failure = answer.failure
        if failure is not None and failure.kind is _Kinds.OUTCOME_UNKNOWN:
            verdict.outcome_unknown += 1
            links = self._fleet.links
            verdict.cut_by_planned_stop += _was_cut(answer, drain_spans, links)
        for attempt in answer.attempts:
            self._judge_attempt(outcome, attempt, verdict)

    def _judge_attempt(
        self, outcome: Outcome, attempt: caller_.Attempt, verdict: Verdict
    ) -> None:
        runs = sum(
            guest.upstream.app.runs[attempt.request_id]
            for guest in self._fleet.guests
        )
        if attempt.status in (408, 421, 429, 503) and runs:
            verdict.not_run_but_ran += 1
            self._lose(outcome, f'refused, but ran {runs} times')
        if not outcome.arrival.idempotent and runs > 1:
            verdict.non_idempotent_ran_twice += 1
            self._lose(outcome, f'ran {runs} times')

    def _late_work(self, notice_times: dict[str, int]) -> int:
        return sum(
            at > notice_times[guest.name] + _LEAVING_BOUND_MS
            for guest in self._fleet.guests
            if guest.name in notice_times
            for at, _ in guest.upstream.app.arrivals
        )

    def _lose(self, outcome: Outcome, what: str) -> None:
        ids = ' '.join(a.request_id for a in outcome.answer.attempts)
        self.problems.append(f'{ids} {what} {outcome.failure}')


def _was_cut(
    answer: caller_.Answer, drain_spans: dict[str, Span], links: links_.Links
) -> bool:
    """Return whether a planned stop broke an answer off.

    A next run of a router may have the address of one that was stopped; a
    stopping router may truly tell that an upstream broke off; and the proxy
    before it notes each request of which it kept bytes back for good.
    """
    last = answer.attempts[-1]
    began, ended = drain_spans.get(links.target(last.address), _NO_SPAN)
    reason = answer.failure.reason if answer.failure else ''
    silent = last.request_id not in links.broken
    if last.error_reported:
        silent = reason == 'cut_off'
    return silent and began <= last.ended_at <= ended + DISCONNECT_WINDOW_MS


def count_excess_crashes(
    crash_times: ty.Sequence[int], resume_times: ty.Sequence[int]
) -> int:
    """Return by how many crashes a blocked request exceeds the limit.

    The limit rises by one for each router that starts or resumes after the
    block: it may send the request once before it receives the update.
    """
    times = sorted(crash_times)
    if len(times) <= _BLOCK_THRESHOLD:
        return 0
    blocked_at = times[_BLOCK_THRESHOLD - 1] + _BLOCK_PROPAGATION_MS
    crashes = sum(at > blocked_at for at in times)
    resumes = sum(at > blocked_at for at in resume_times)
    return max(0, crashes - _MAX_CRASHES_ONCE_BLOCKED - resumes)


def exceeds_limit(
    arrival_times: ty.Sequence[int],
    rate: float,
    span: Span,
    kill_all_times: ty.Sequence[int] = (),
) -> bool:
    """Return whether an upstream received too many requests for its limit.

    Requests are not counted while routers still learn the limit: after it is
    first stated, and after all routers were killed and have lost it.

    Parameters
    ----------
    arrival_times : sequence of int
        When requests arrived, in ms.
    rate : float
        Limit of the upstream, in requests per second.
    span : tuple of int
        First and last moment at which it stated the limit, in ms.
    kill_all_times : sequence of int, optional
        When all routers were killed, in ms.
    """
    first, last = span
    counted = [
        at
        for at in arrival_times
        if first + _LIMIT_PROPAGATION_MS <= at <= last
        and not any(
            0 <= at - killed_at <= 2 * _LIMIT_PROPAGATION_MS
            for killed_at in kill_all_times
        )
    ]
    allowed = (
        _LIMIT_TOLERANCE_FACTOR * rate * _LIMIT_WINDOW_MS / 1000
        + _LIMIT_TOLERANCE_REQUESTS
    )
    return any(
        sum(0 <= at - start < _LIMIT_WINDOW_MS for at in counted) > allowed
        for start in counted
    )


def expected(arrival: arrivals_.Arrival) -> str:
    """Return the answer that an arrival must get."""
    if arrival.service:
        return f'done:{arrival.prompt}'
    return chat_text(arrival.prompt, arrival.tokens)


def chat_text(prompt: str, tokens: int, model: str = MODEL) -> str:
    """Return the stand-in engines' answer to one message."""
    content = {
        'model': model,
        'adapter': '',
        'messages': [['user', prompt]],
        'max_tokens': tokens,
    }
    seed = answers.answer_seed('', '', json.dumps(content))
    return ''.join(answers.token(seed, at) for at in range(tokens))
