"""Policies that order the upstreams of a service for a request."""

from __future__ import annotations

import itertools
import typing as ty

from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import upstream_view

Views = ty.Sequence[upstream_view.UpstreamView]

_RUNNING_REQUEST_TOKENS = 150
"""Delay that a running request causes to a new one, in prompt tokens: it
lengthens each prefill step by about 0.1 ms, and a first token takes several
of these steps."""

_FULL_UPSTREAM_TOKENS = 60_000
"""Delay due to a full batch or a full memory, in prompt tokens: about a
second, within which a slot or enough memory becomes free."""

_FAILURE_TOKENS = 200_000
"""Penalty of an upstream that fails all of its requests, in prompt tokens. An
upstream that fails a tenth of its requests ranks like one with 20,000 more
tokens (0.4 s) to prefill."""

_SILENCE_GRACE_MS = 300
"""Time for which an upstream with requests of this router may send nothing
without a penalty, in ms: it may be prefilling a long prompt."""

_SILENCE_TOKENS_PER_MS = 40
"""Penalty for each ms after `_SILENCE_GRACE_MS` in which an upstream sends
nothing, in prompt tokens. A failed upstream may send no error; after one
second of silence, it ranks like one with 28,000 more tokens to prefill."""

_OTHER_DOMAIN_TOKENS = 100
"""Penalty of an upstream in another failure domain, in prompt tokens: traffic
between failure domains is charged for, and a round trip takes a few ms."""


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
            Upstream assigned to cache the prefix of the prompt.
        """


class ScoredPolicy:
    """Prefers the upstream with the least expected delay of the request.

    The delay is expressed as a number of prompt tokens to prefill: those
    waiting at the upstream, those of the request that the upstream has not
    cached, and equivalents for running requests, a full batch or memory,
    recent failures, silence and distance. The tokens to prefill and the delay
    due to running requests are divided by the speed of the upstream.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this router.
    """

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain

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
        score += _RUNNING_REQUEST_TOKENS * load.running
        score /= view.speed
        if load.running >= view.slots:
            score += _FULL_UPSTREAM_TOKENS * load.running / view.slots
        needed = load.memory + prompt.tokens_in + prompt.tokens_out
        if service.engine and needed > service.memory_tokens:
            score += _FULL_UPSTREAM_TOKENS
        score += _FAILURE_TOKENS * view.health.failure_share()
        score += _SILENCE_TOKENS_PER_MS * max(
            0, view.silent_ms() - _SILENCE_GRACE_MS
        )
        if view.failure_domain != self._failure_domain:
            score += _OTHER_DOMAIN_TOKENS
        return score


class LeastLoadedPolicy:
    """Prefers the upstream with the smallest share of its slots in use."""

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
    """Rotates through the upstreams; the baseline for comparisons."""

    def __init__(self) -> None:
        self._next_start = itertools.count()

    def order(
        self,
        exchange: exchange_.Exchange,
        service: pb.Service,
        views: Views,
        home: ty.Optional[upstream_view.UpstreamView],
    ) -> list[upstream_view.UpstreamView]:
        """Return `views` by name, starting one further at each call."""
        ordered = sorted(views, key=lambda view: view.name)
        start = next(self._next_start) % max(1, len(ordered))
        return ordered[start:] + ordered[:start]


POLICIES: dict[str, ty.Callable[[str], Policy]] = {
    'scored': ScoredPolicy,
    'least_loaded': lambda domain: LeastLoadedPolicy(),
    'round_robin': lambda domain: RoundRobinPolicy(),
}
"""Constructors of policies by their name in the settings."""
