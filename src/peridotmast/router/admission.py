"""Which requests are taken on, in what order, and where they are placed."""

from __future__ import annotations

import collections
import dataclasses
import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import green
from peridotmast.router import call as call_
from peridotmast.router import fair_queue
from peridotmast.router import policy as policy_
from peridotmast.router import token_bucket
from peridotmast.router import upstreams as upstreams_
from peridotmast.schema import peridotmast_pb2 as pb

_RATE_WINDOW_MS = 2000
_SERVICE_COST = 16.0
_RECHECK_MS = 100


@dataclasses.dataclass
class Place:
    """A request's slot at one upstream; `release` it when done."""

    view: upstreams_.UpstreamView
    _admission: Admission
    _released: bool = False

    def release(self) -> None:
        """Give the slot back; doing so twice is the same as once."""
        if not self._released:
            self._released = True
            self.view.in_flight -= 1
            self._admission.freed()


@dataclasses.dataclass
class _Ask:
    call: call_.Call
    avoid: frozenset[str]
    answer: ty.Any


class Admission:
    """Team limits, the bounded fair queue, and placement.

    A refusal is given before anything is sent anywhere, so its "not run"
    is true by construction.

    Parameters
    ----------
    clock : clock.Clock
        Times rates and waits.
    table : upstreams.UpstreamTable
        The upstreams.
    policy : policy.Policy
        Chooses among them.
    queue_limit : int
        Most requests that wait.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        table: upstreams_.UpstreamTable,
        policy: policy_.Policy,
        queue_limit: int,
    ) -> None:
        self._clock = clock
        self._table = table
        self._policy = policy
        self._queue_limit = queue_limit
        self._queue: fair_queue.FairQueue[_Ask] = fair_queue.FairQueue(clock)
        self._teams: dict[str, pb.Team] = {}
        self._buckets: dict[str, token_bucket.TokenBucket] = {}
        self._in_work: collections.Counter[str] = collections.Counter()
        self._freed_at: collections.deque[int] = collections.deque(maxlen=2000)

    def configure(self, config: pb.Config) -> None:
        """Put the teams' limits and weights into force."""
        self._teams = {team.name: team for team in config.teams}
        self._queue.set_weights(
            {team.name: team.weight for team in config.teams}
        )
        for team in config.teams:
            bucket = self._buckets.setdefault(
                team.name,
                token_bucket.TokenBucket(self._clock, team.rate, team.burst),
            )
            bucket.rate, bucket.burst = team.rate, team.burst

    @property
    def waiting(self) -> int:
        """Requests that wait for a place."""
        return self._queue.size

    def admit(self, call: call_.Call) -> ty.Optional[failures.Failure]:
        """Check the team's limits and count the request as in work.

        Returns
        -------
        Failure or None
            None where it was admitted; `leave` must follow then.
        """
        if call.deadline <= self._clock.now():
            return failures.not_run('deadline_past')
        team = self._teams.get(call.team)
        if team is None:
            return failures.not_run('unknown_team', call.team)
        if self._in_work[call.team] >= team.concurrency:
            return failures.not_run('team_concurrency', '', 500)
        bucket = self._buckets[call.team]
        if not bucket.take():
            return failures.not_run('team_rate', '', bucket.wait_ms())
        refused = self._refuse_early(call)
        if refused is None:
            self._in_work[call.team] += 1
        return refused

    def leave(self, call: call_.Call) -> None:
        """Count an admitted request as ended."""
        self._in_work[call.team] -= 1

    def place(
        self, call: call_.Call, avoid: ty.Iterable[str] = ()
    ) -> ty.Union[Place, failures.Failure]:
        """Wait for an upstream with room, until the call's deadline.

        Parameters
        ----------
        avoid : iterable of str
            Upstreams that are not taken while others have room.
        """
        ask = _Ask(call, frozenset(avoid), green.Event())
        self._queue.put(ask, call.team, call.work, _cost(call))
        self._pump()
        while not ask.answer.ready():
            left = call.deadline - self._clock.now()
            if left <= 0:
                self._queue.discard(ask)
                return failures.not_run(
                    'deadline', 'no upstream had room in time', 1000
                )
            # Breakers and late reports free places without an event.
            with green.Timeout(min(left, _RECHECK_MS) / 1000, False):
                ask.answer.wait()
            if not ask.answer.ready():
                self._pump()
        return ask.answer.wait()

    def take(self, view: upstreams_.UpstreamView) -> Place:
        """Return a place at `view` for work that is already owed to it."""
        view.in_flight += 1
        return Place(view, self)

    def freed(self) -> None:
        """Note that a place was given back and hand it on."""
        self._freed_at.append(self._clock.now())
        self._pump()

    def estimated_wait_ms(self, work: pb.Work) -> int:
        """Return how long a new request of `work` would wait, in ms."""
        ahead = self._queue.ahead(work)
        if not ahead:
            return 0
        now = self._clock.now()
        recent = sum(at > now - _RATE_WINDOW_MS for at in self._freed_at)
        if not recent:
            return 0
        return int((ahead + 1) * _RATE_WINDOW_MS / recent)

    def _refuse_early(self, call: call_.Call) -> ty.Optional[failures.Failure]:
        wait = self.estimated_wait_ms(call.work)
        if self._queue.size >= self._queue_limit:
            return failures.not_run('queue_full', '', max(wait, 1000))
        left = call.deadline - self._clock.now()
        if wait > left * 0.8:
            hint = max(1000, wait - left // 2)
            return failures.not_run('overload', f'wait {wait} ms', hint)
        return None

    def _pump(self) -> None:
        """Give places to waiting requests while any of them fits."""
        while any(map(self._try, self._queue.candidates())):
            pass

    def _try(self, waiting: fair_queue.Waiting[_Ask]) -> bool:
        ask = waiting.item
        view = self._choose(ask)
        if view is None:
            return False
        self._queue.take(waiting)
        view.in_flight += 1
        ask.answer.send(Place(view, self))
        return True

    def _choose(self, ask: _Ask) -> ty.Optional[upstreams_.UpstreamView]:
        call = ask.call
        if self._queue.oldest_first:
            # Its turn has come: it may go wherever interactive work may.
            call = dataclasses.replace(call, work=pb.WORK_INTERACTIVE)
        kind = 'service' if call.service else 'engine'
        usable = self._table.usable(kind, call.service)
        if call.model:
            now = self._clock.now()
            usable = [v for v in usable if not v.lacks(call.model, now)]
        preferred = [view for view in usable if view.name not in ask.avoid]
        return self._policy.choose(call, preferred) or self._policy.choose(
            call, usable
        )


def _cost(call: call_.Call) -> float:
    return float(call.max_tokens) or _SERVICE_COST
