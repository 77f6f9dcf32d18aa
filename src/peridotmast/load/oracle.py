"""Checks a run: compares the guarantees with the stand-ins' records."""

from __future__ import annotations

import collections
import dataclasses
import json
import typing as ty

from peridotmast.client import caller as caller_
from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import links as links_
from peridotmast.embedded import upstream_instance
from peridotmast import failures
from peridotmast import ini
from peridotmast.load import arrivals as arrivals_
from peridotmast.load import team_runs as team_runs_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.standin import answers
from peridotmast.standin import endless

MODEL = 'draft-7b'
"""Model that the stand-in engines serve."""
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
    'teams_over_limit',
    'overexposed_versions',
    'endless_not_ended',
    'invariant_violations',
)
"""Fields of `Verdict` that must be zero."""

_LEAVING_BOUND_MS = 2000
"""Maximum time from the reclaim notice of a VM to its last new request."""
DISCONNECT_WINDOW_MS = 500
"""Time after a router stops in which its callers notice the disconnection."""
_BLOCK_THRESHOLD = 3
"""Number of crashes at which a request must be blocked."""
_BLOCK_PROPAGATION_MS = 1000
"""Time after the last of these crashes until all routers must know of the
block."""
_MAX_CRASHES_ONCE_BLOCKED = 3
"""Maximum number of engines that the request may crash after that time."""
_LIMIT_WINDOW_MS = 4000
"""Length of the window in which requests to a limited upstream are counted."""
_LIMIT_TOLERANCE_FACTOR = 1.5
_LIMIT_TOLERANCE_REQUESTS = 5
"""Maximum number of requests in the window: the number that the limit allows,
times this factor, plus this number."""
_LIMIT_PROPAGATION_MS = 3000
"""Time within which all routers must enforce a limit that is new to them."""
_THAW_MS = 300
"""Time after a frozen router resumes in which a call that it sent before may
still arrive."""
_ENDLESS_MARGIN_MS = 5000
"""Time after the limit of a request until the connection to an upstream that
answers it without end must be closed. Routers are frozen, and links held up,
for up to 2 s each."""
_FailureKind = failures.FailureKind
_EMPTY_SPAN = (1, 0)

Span = tuple[int, int]
"""Start and end of a period, in ms."""


@dataclasses.dataclass
class Outcome:
    """A request and the answer that its caller received."""

    arrival: arrivals_.Arrival
    answer: caller_.Answer

    @property
    def failure(self) -> ty.Optional[failures.Failure]:
        """Reason for the missing answer; None if there is an answer."""
        return self.answer.failure


@dataclasses.dataclass(frozen=True)
class LimitedEngine:
    """An engine that advertised a rate limit for a period."""

    guest: upstream_instance.UpstreamInstance
    rate: float
    """The limit, in requests per second."""
    span: Span
    """Period in which the engine advertised the limit."""


@dataclasses.dataclass
class Verdict:
    """Counts of requests and guarantee violations in a run."""

    requests: int = 0
    answered_whole: int = 0
    wrong_answers: int = 0
    not_run_but_ran: int = 0
    non_idempotent_ran_twice: int = 0
    work_to_leaving_upstreams: int = 0
    cut_by_planned_stop: int = 0
    reports_that_differ: int = 0
    duties_out_of_turn: int = 0
    """Calls to the platform with a lower fencing number than an earlier
    one."""
    sent_though_blocked: int = 0
    """Crashes by a blocked request above the number that is tolerated."""
    sent_over_limit: int = 0
    """Engines that received more requests than their rate limit allows."""
    teams_over_limit: int = 0
    """Teams of which upstreams ran more than their limits allow."""
    overexposed_versions: int = 0
    """Bad versions that got more requests than their bound, or any after
    their roll-back."""
    endless_not_ended: int = 0
    """Responses without end that routers read long after their limit."""
    invariant_violations: int = 0
    endless_responses: int = 0
    """Responses without end that upstreams have sent."""
    outcome_unknown: int = 0
    """Requests that may have run and received no answer."""
    recomputed_tokens: int = 0
    moved_tokens: int = 0
    generated_tokens: int = 0
    refused: dict[str, int] = dataclasses.field(default_factory=dict)

    def violated_guarantees(self) -> list[str]:
        """Return the names of the guarantees that were violated."""
        return [name for name in GUARANTEES if getattr(self, name)]


class Oracle:
    """Collects the outcomes of a run and checks them after its end."""

    def __init__(self, fleet: fleet_.Fleet) -> None:
        self._fleet = fleet
        self.outcomes: list[Outcome] = []
        """Outcomes in the order in which the requests ended."""
        self.problems: list[str] = []
        """One line for each request that violated a guarantee, or failed
        other than by a refusal."""
        self.team_runs: dict[str, team_runs_.TeamRuns] = {}
        """What upstreams ran for each team that has a limit; empty before
        the verdict."""
        self._began_ms = fleet.clock.now()

    def add(self, outcome: Outcome) -> None:
        """Record the outcome of one request."""
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
        """Check all outcomes and the records of the stand-ins.

        Parameters
        ----------
        notice_times : dict
            Time at which each reclaimed VM was given notice, in ms.
        drain_spans : dict
            Period of each planned stop of a router by its chat address, in
            ms.
        thaw_times : sequence of int
            Times at which frozen routers resumed, in ms.
        crash_times : sequence of int, optional
            Times at which requests crashed engines, in ms.
        resume_times : sequence of int, optional
            Times at which routers were added, restarted or thawed, in ms.
        limited_engines : sequence of LimitedEngine, optional
            Engines that advertised rate limits, with the periods.
        kill_all_times : sequence of int, optional
            Times at which all routers were killed, in ms.

        Returns
        -------
        Verdict
            Counts of requests and of guarantee violations.
        """
        verdict = Verdict(requests=len(self.outcomes))
        refused: collections.Counter[str] = collections.Counter()
        for outcome in self.outcomes:
            self._check_outcome(outcome, verdict, drain_spans)
            failure = outcome.failure
            if failure is not None and failure.kind is _FailureKind.NOT_RUN:
                refused[failure.reason.partition(':')[0]] += 1
        verdict.refused = dict(refused)
        verdict.work_to_leaving_upstreams = self._count_late_requests(
            notice_times
        )
        cloud = self._fleet.cloud
        verdict.reports_that_differ = len(cloud.conflicting_reports())
        verdict.duties_out_of_turn = sum(
            not any(0 <= at - thaw <= _THAW_MS for thaw in thaw_times)
            for at in cloud.stale_call_times
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
        self._summarize_team_runs()
        verdict.teams_over_limit = sum(
            found.worst > found.allowed for found in self.team_runs.values()
        )
        verdict.invariant_violations = self._fleet.invariant_violations()
        for guest in self._fleet.instances:
            responses = guest.upstream.app.endless_responses
            verdict.endless_responses += len(responses)
            verdict.endless_not_ended += count_not_ended(
                responses, self._fleet.clock.now()
            )
            totals = getattr(guest.upstream, 'totals', {})
            verdict.recomputed_tokens += totals.get('recomputed', 0)
            verdict.moved_tokens += totals.get('moved', 0)
            verdict.generated_tokens += totals.get('generated', 0)
        return verdict

    def _summarize_team_runs(self) -> None:
        config, _ = ini.load_text(self._fleet.shape.config, pb.Config)
        runs = [
            run
            for guest in self._fleet.instances
            for run in guest.upstream.app.team_runs
        ]
        sent_times = {
            attempt.request_id: attempt.started_at
            for outcome in self.outcomes
            for attempt in outcome.answer.attempts
        }
        self.team_runs = {
            team.name: team_runs_.summarize(
                team, runs, sent_times, self._began_ms
            )
            for team in config.teams
            if team.rate
        }

    def _check_outcome(
        self, outcome: Outcome, verdict: Verdict, drain_spans: dict[str, Span]
    ) -> None:
        answer = outcome.answer
        expected_text = expected_answer(outcome.arrival)
        # A retry may cover up what an earlier attempt has received.
        texts = [answer.text, *(attempt.text for attempt in answer.attempts)]
        if not all(map(expected_text.startswith, texts)) or (
            answer.complete and answer.text != expected_text
        ):
            verdict.wrong_answers += 1
            self._add_problem(outcome, 'wrong')
        elif answer.complete:
            verdict.answered_whole += 1
        elif outcome.failure is None or (
            outcome.failure.kind is not _FailureKind.NOT_RUN
        ):
            self._add_problem(outcome, 'incomplete')
        failure = answer.failure
        if (
            failure is not None
            and failure.kind is _FailureKind.OUTCOME_UNKNOWN
        ):
            verdict.outcome_unknown += 1
            last = answer.attempts[-1]
            left_ms = (
                answer.started_at + outcome.arrival.deadline_ms - last.ended_at
            )
            # A caller whose own time is over has left by itself.
            if left_ms > 0 and _was_cut_by_stop(
                answer, drain_spans, self._fleet.links
            ):
                verdict.cut_by_planned_stop += 1
                self._add_problem(outcome, 'cut by a planned stop')
        for attempt in answer.attempts:
            self._check_attempt(outcome, attempt, verdict)

    def _check_attempt(
        self, outcome: Outcome, attempt: caller_.Attempt, verdict: Verdict
    ) -> None:
        runs = sum(
            guest.upstream.app.runs[attempt.request_id]
            for guest in self._fleet.instances
        )
        if attempt.status in (408, 421, 429, 503) and runs:
            verdict.not_run_but_ran += 1
            self._add_problem(outcome, f'refused, but ran {runs} times')
        if not outcome.arrival.idempotent and runs > 1:
            verdict.non_idempotent_ran_twice += 1
            self._add_problem(outcome, f'ran {runs} times')

    def _count_late_requests(self, notice_times: dict[str, int]) -> int:
        return sum(
            at > notice_times[guest.name] + _LEAVING_BOUND_MS
            for guest in self._fleet.instances
            if guest.name in notice_times
            for at, _ in guest.upstream.app.arrivals
        )

    def _add_problem(self, outcome: Outcome, description: str) -> None:
        ids = ' '.join(a.request_id for a in outcome.answer.attempts)
        self.problems.append(f'{ids} {description} {outcome.failure}')


def _was_cut_by_stop(
    answer: caller_.Answer, drain_spans: dict[str, Span], links: links_.Links
) -> bool:
    """Return whether a planned stop of a router cut off an answer.

    Only disconnections in the period of the stop count, as a restarted router
    may reuse the address. An error that the router reported counts only with
    the reason `cut_off`: a stopping router may correctly report that an
    upstream disconnected. Without a reported error, a disconnection does not
    count if a link proxy withheld bytes of the request.
    """
    last = answer.attempts[-1]
    began, ended = drain_spans.get(
        links.target_address(last.address), _EMPTY_SPAN
    )
    reason = answer.failure.reason if answer.failure else ''
    caused_by_stop = last.request_id not in links.drop_reasons
    if last.error_reported:
        caused_by_stop = reason == 'cut_off'
    return (
        caused_by_stop
        and began <= last.ended_at <= ended + DISCONNECT_WINDOW_MS
    )


def count_excess_crashes(
    crash_times: ty.Sequence[int], resume_times: ty.Sequence[int]
) -> int:
    """Return the number of crashes by a blocked request above the limit.

    The limit rises by one for each router that starts or resumes after the
    block, as it may send the request once before it learns of the block.
    """
    times = sorted(crash_times)
    if len(times) <= _BLOCK_THRESHOLD:
        return 0
    blocked_at = times[_BLOCK_THRESHOLD - 1] + _BLOCK_PROPAGATION_MS
    crashes = sum(at > blocked_at for at in times)
    resumes = sum(at > blocked_at for at in resume_times)
    return max(0, crashes - _MAX_CRASHES_ONCE_BLOCKED - resumes)


def count_not_ended(
    responses: ty.Iterable[endless.EndlessResponse], now: int
) -> int:
    """Return how many responses without end were read for too long."""
    return sum(
        (response.ended_at or now) > response.deadline + _ENDLESS_MARGIN_MS
        for response in responses
    )


def exceeds_limit(
    arrival_times: ty.Sequence[int],
    rate: float,
    span: Span,
    kill_all_times: ty.Sequence[int] = (),
) -> bool:
    """Return whether an upstream received more requests than its limit allows.

    Requests are not counted while routers still learn the limit: after it is
    first advertised, and after all routers were killed, which loses it.

    Parameters
    ----------
    arrival_times : sequence of int
        Times at which requests arrived, in ms.
    rate : float
        Rate limit of the upstream, in requests per second.
    span : tuple of int
        Period in which the upstream advertised the limit, in ms.
    kill_all_times : sequence of int, optional
        Times at which all routers were killed, in ms.
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


def expected_answer(arrival: arrivals_.Arrival) -> str:
    """Return the text of the only correct answer to an arrival."""
    if arrival.service:
        return f'done:{arrival.prompt}'
    return chat_text(arrival.prompt, arrival.tokens)


def chat_text(prompt: str, tokens: int, model: str = MODEL) -> str:
    """Return the stand-in engines' answer to a single user message."""
    content = {
        'model': model,
        'adapter': '',
        'messages': [['user', prompt]],
        'max_tokens': tokens,
    }
    seed = answers.answer_seed('', '', json.dumps(content))
    return ''.join(answers.token(seed, at) for at in range(tokens))
