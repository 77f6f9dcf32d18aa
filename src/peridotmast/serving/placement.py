"""Which of the live upstreams a request goes to."""

from __future__ import annotations

import dataclasses
import itertools
import random
import typing as ty

from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import candidates as candidates_
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import upstream_limits as upstream_limits_
from peridotmast.serving import upstream_view
from peridotmast.serving import upstreams as upstreams_

Views = ty.Sequence[upstream_view.UpstreamView]

_RUNNING_TOKENS = 150
"""What a request that an engine works on delays a new one, as tokens of a
prompt: it lengthens each step in which a prompt is read by about 0.1 ms, and
its own first token takes some of them."""

_FULL_TOKENS = 60_000
"""What a full batch or memory delays a new request: about a second, in which
a slot or its memory comes free."""

_FAILING_TOKENS = 200_000
"""What a share of failures of 1 counts: an upstream that fails a tenth of its
requests is passed over for one that is 20,000 tokens (0.4 s) behind."""

_SILENCE_MS = 300
"""How long an upstream with requests of this router may say nothing as a
matter of course: it may be reading a long prompt."""

_SILENT_TOKENS = 40
"""What each further ms of silence counts. One that went dark tells nobody;
after a second, new requests go where 28,000 tokens more wait to be read."""

_DISTANCE_TOKENS = 100
"""What another failure domain costs: bytes between them are paid for, and
the way takes a few milliseconds there and back."""

_TOLD_TOKENS = 1000
"""Prompt whose coming and going is told to the others at once: of the first
tokens that were late, three in five had waited behind what no beacon had told
of yet. Without it four days were worth 0.05 less of what was owed in the
mean; shorter prompts are read before the others could go by it."""

_COMPARED_LATE = 3
"""Upstreams beside the home that are compared where a router knows late of
the others' work. Two drawn at random are nearly as good as all with fresh
knowledge, and better with old (Mitzenmacher, 2000); a third makes up for the
one that may be slow."""

LoadListener = ty.Callable[[upstream_view.UpstreamView], None]


class Policy(ty.Protocol):
    """Orders upstreams for a request."""

    def order(
        self,
        exchange: exchange_.Exchange,
        service: pb.Service,
        views: Views,
        home: ty.Optional[upstream_view.UpstreamView],
    ) -> list[upstream_view.UpstreamView]:
        """Return `views`, best first.

        Parameters
        ----------
        home : UpstreamView, optional
            The one that is to hold prompts which begin like this one.
        """


class ScoredPolicy:
    """Takes the upstream that delays the request least.

    Counted in tokens of prompt to be read first: those that are waiting
    there, those of the request which it does not hold, and what stands for
    a batch, a memory or a bad spell.

    Parameters
    ----------
    failure_domain : str
        This router's own.
    """

    def __init__(self, failure_domain: str) -> None:
        self._domain = failure_domain

    def order(
        self,
        exchange: exchange_.Exchange,
        service: pb.Service,
        views: Views,
        home: ty.Optional[upstream_view.UpstreamView],
    ) -> list[upstream_view.UpstreamView]:
        """Return `views`, best first."""
        prompt = exchange.prompt
        shared = sum(part.tokens for part in prompt.shared)
        scored = [
            (self._score(prompt, shared, service, view, home), view.name, view)
            for view in views
        ]
        scored.sort(key=lambda item: item[:2])
        return [view for _, _, view in scored]

    def _score(
        self,
        prompt: exchange_.Prompt,
        shared: int,
        service: pb.Service,
        view: upstream_view.UpstreamView,
        home: ty.Optional[upstream_view.UpstreamView],
    ) -> float:
        load = view.total_load()
        score = float(load.unread + prompt.tokens_in)
        if view is home:
            score -= shared
        score += _RUNNING_TOKENS * load.running
        if load.running >= view.slots:
            score += _FULL_TOKENS * load.running / view.slots
        needed = load.memory + prompt.tokens_in + prompt.tokens_out
        if service.engine and needed > service.memory_tokens:
            score += _FULL_TOKENS
        score += _FAILING_TOKENS * view.health.failure_share()
        score += _SILENT_TOKENS * max(0, view.silent_ms() - _SILENCE_MS)
        if view.failure_domain != self._domain:
            score += _DISTANCE_TOKENS
        return score


class LeastLoadedPolicy:
    """Takes the upstream with the smallest share of its slots in use."""

    def order(
        self,
        exchange: exchange_.Exchange,
        service: pb.Service,
        views: Views,
        home: ty.Optional[upstream_view.UpstreamView],
    ) -> list[upstream_view.UpstreamView]:
        """Return `views`, least loaded first."""
        return sorted(
            views,
            key=lambda view: (
                view.total_load().running / view.slots,
                view.name,
            ),
        )


class RoundRobinPolicy:
    """Takes upstreams in turn; the baseline."""

    def __init__(self) -> None:
        self._turns = itertools.count()

    def order(
        self,
        exchange: exchange_.Exchange,
        service: pb.Service,
        views: Views,
        home: ty.Optional[upstream_view.UpstreamView],
    ) -> list[upstream_view.UpstreamView]:
        """Return `views` in the order of names, begun at the next turn."""
        ordered = sorted(views, key=lambda view: view.name)
        start = next(self._turns) % max(1, len(ordered))
        return ordered[start:] + ordered[:start]


POLICIES: dict[str, ty.Callable[[str], Policy]] = {
    'scored': ScoredPolicy,
    'least_loaded': lambda domain: LeastLoadedPolicy(),
    'round_robin': lambda domain: RoundRobinPolicy(),
}
"""Policies by the name that settings give them."""


@dataclasses.dataclass(frozen=True)
class Selection:
    """What an upstream was chosen by, for the log."""

    compared: int = 1
    """Upstreams that were compared."""
    is_home: bool = False
    """Whether it is to hold what the prompt begins with."""
    running: int = 0
    """Requests there, of all routers, as far as it is known."""
    unread: int = 0
    """Tokens of prompts that wait there to be read."""


class Reservation:
    """A request's work at one upstream; `release` it when done.

    Parameters
    ----------
    tell : callable
        Told of the upstream where so much was added or taken away there that
        other routers would choose otherwise.
    """

    def __init__(
        self,
        view: upstream_view.UpstreamView,
        exchange: exchange_.Exchange,
        selection: Selection = Selection(),
        tell: LoadListener = lambda view: None,
    ) -> None:
        self.view = view
        """The upstream."""
        self.selection = selection
        """What it was chosen by."""
        prompt = exchange.prompt
        self._load = upstream_view.Load(
            1, prompt.tokens_in, prompt.tokens_in + prompt.tokens_out
        )
        view.add_load(self._load)
        self._tell = tell
        self._is_telling = prompt.tokens_in >= _TOLD_TOKENS
        if self._is_telling:
            tell(view)

    def mark_prompt_read(self) -> None:
        """Note that the first event has come: its prompt is read."""
        self.view.remove_load(upstream_view.Load(unread=self._load.unread))
        self._load.unread = 0
        self._tell_end()

    def release(self) -> None:
        """Take the work away; doing so twice is the same as once."""
        self.view.remove_load(self._load)
        self._load = upstream_view.Load()
        self._tell_end()

    def _tell_end(self) -> None:
        if self._is_telling:
            self._is_telling = False
            self._tell(self.view)


class Placement:
    """Chooses among the live upstreams of a service.

    Parameters
    ----------
    table : upstreams.UpstreamTable
        The upstreams.
    policy : Policy
        Orders them.
    router : str
        Name of this router.
    limits : upstream_limits.UpstreamLimits
        Splits the limits of upstreams between routers.
    """

    def __init__(
        self,
        table: upstreams_.UpstreamTable,
        policy: Policy,
        router: str,
        limits: upstream_limits_.UpstreamLimits,
    ) -> None:
        self._table = table
        self._policy = policy
        self._router = router
        self._limits = limits
        self._candidates: dict[str, candidates_.Candidates] = {}
        self._draws = random.Random(router)
        self.has_stale_peer_data: ty.Callable[[], bool] = lambda: False
        """Whether what is known of other routers' work is older than it
        lasts."""
        self.on_load_change: LoadListener = lambda view: None
        """Told of upstreams at which this router's work has changed much."""

    def choose(
        self,
        exchange: exchange_.Exchange,
        service: pb.Service,
        avoid: ty.Collection[str] = (),
    ) -> ty.Optional[Reservation]:
        """Return a place for the request, or None where no upstream is.

        Parameters
        ----------
        avoid : collection of str
            Upstreams that it is not sent to again.
        """
        among = self._among(service.name)
        home = self._home(among, exchange.prompt, avoid)
        views = self._compared(self._usable(among.subset, avoid))
        if home is not None and home not in views:
            views.append(home)
        if not views:
            # An open breaker is a guess; with nothing else it is overruled.
            views = self._usable(among.views, avoid) or [
                view
                for view in among.views
                if view.name not in avoid and not self._limits.wait_ms(view)
            ]
        ordered = self._policy.order(exchange, service, views, home)
        if not ordered:
            return None
        best, load = ordered[0], ordered[0].total_load()
        selection = Selection(
            len(views), best is home, load.running, load.unread
        )
        self._limits.take(best)
        return Reservation(best, exchange, selection, self.on_load_change)

    def wait_ms(self, service: str, avoid: ty.Collection[str] = ()) -> int:
        """Return the time until the limit of some upstream permits a request.

        In ms; 0 if an upstream without a limit is live, if a limit permits
        one now, or if there is no upstream.
        """
        return min(
            (
                self._limits.wait_ms(view)
                for view in self._table.live(service)
                if view.name not in avoid
            ),
            default=0,
        )

    def _compared(
        self, views: list[upstream_view.UpstreamView]
    ) -> list[upstream_view.UpstreamView]:
        """Return those that are compared: few, where knowledge is late.

        Else all routers send what comes in a second to the one upstream
        that looked best to all of them at its beginning.
        """
        if len(views) <= _COMPARED_LATE or not self.has_stale_peer_data():
            return views
        return self._draws.sample(views, _COMPARED_LATE)

    def _among(self, service: str) -> candidates_.Candidates:
        live = self._table.live(service)
        known = self._candidates.get(service)
        if known is None or known.views is not live:
            known = candidates_.Candidates(self._router, live)
            self._candidates[service] = known
        return known

    def _home(
        self,
        among: candidates_.Candidates,
        prompt: exchange_.Prompt,
        avoid: ty.Collection[str],
    ) -> ty.Optional[upstream_view.UpstreamView]:
        """Return the upstream that is to hold what `prompt` begins with."""
        if not sum(part.tokens for part in prompt.shared):
            return None
        homes = among.homes(prompt.shared[-1].id)
        return next(iter(self._usable(homes, avoid)), None)

    def _usable(
        self, views: Views, avoid: ty.Collection[str]
    ) -> list[upstream_view.UpstreamView]:
        """Return the healthy upstreams whose limits permit a request."""
        return [
            view
            for view in views
            if view.name not in avoid
            and view.health.allows_request()
            and not self._limits.wait_ms(view)
        ]
