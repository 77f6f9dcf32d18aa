"""Selection of the live upstream that a request is sent to."""

from __future__ import annotations

import dataclasses
import random
import typing as ty

from peridotmast import ids
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import candidates as candidates_
from peridotmast.serving import exchange as exchange_
from peridotmast.serving.limits import brittleness as brittleness_
from peridotmast.serving.limits import upstream_limits as upstream_limits_
from peridotmast.serving import policies
from peridotmast.serving import upstream_view
from peridotmast.serving import upstreams as upstreams_
from peridotmast.serving import version_gate
from peridotmast.wire import connection as connection_

Views = ty.Sequence[upstream_view.UpstreamView]

_REPORTED_PROMPT_TOKENS = 1000
"""Minimum length of a prompt, in tokens, whose arrival and completion are sent
to the other routers at once. Three in five first tokens that were late had
waited behind prompts that no beacon had reported yet. Without these immediate
updates, the mean result of four experiment days was lower by 0.05 (column
`worth` of `tools/days_table.py`, as a fraction of what was owed for the day).
Shorter prompts are prefilled before the other routers could use the update."""

_COMPARED_WHEN_STALE = 3
"""Number of upstreams, besides the home, that are compared while the load data
of other routers is stale. With fresh data, two random choices are nearly as
good as comparing all upstreams; with stale data they are better (Mitzenmacher,
2000). The third upstream is added because one of the three may be slow."""

_SEARCHED_FOR_PEERS = 16
"""Number of upstreams at which peers with room are searched."""

LoadListener = ty.Callable[[upstream_view.UpstreamView], None]


@dataclasses.dataclass(frozen=True)
class Selection:
    """Why an upstream was selected, for the log."""

    compared: int = 1
    """Number of upstreams that were compared."""
    is_home: bool = False
    """Whether the upstream is the home of the prompt's prefix."""
    running: int = 0
    """Number of requests of all routers known to run at the upstream."""
    unread: int = 0
    """Prompt tokens waiting for prefill at the upstream."""


class Reservation:
    """The load that a request adds to one upstream until `release`.

    Parameters
    ----------
    view : UpstreamView
        The upstream.
    exchange : Exchange
        The request.
    selection : Selection, optional
        Why the upstream was selected.
    on_load_change : callable, optional
        Called with the upstream when its load changes enough to affect the
        selection of other routers.
    """

    def __init__(
        self,
        view: upstream_view.UpstreamView,
        exchange: exchange_.Exchange,
        selection: Selection = Selection(),
        on_load_change: LoadListener = lambda view: None,
    ) -> None:
        self.view = view
        """The upstream."""
        self.conn: ty.Optional[connection_.Connection] = None
        """Connection of the attempt, once the request is sent."""
        self.selection = selection
        """Why the upstream was selected."""
        prompt = exchange.prompt
        self._load = upstream_view.Load(
            1, prompt.tokens_in, prompt.tokens_in + prompt.tokens_out
        )
        view.add_load(self._load)
        self._on_load_change = on_load_change
        self._reports_end = prompt.tokens_in >= _REPORTED_PROMPT_TOKENS
        if self._reports_end:
            on_load_change(view)

    def mark_prefill_ended(self) -> None:
        """Record the first event of the answer: the prefill has ended."""
        self.view.remove_load(upstream_view.Load(unread=self._load.unread))
        self._load.unread = 0
        self._report_end()

    def release(self) -> None:
        """Remove the load from the upstream; idempotent."""
        self.view.remove_load(self._load)
        self._load = upstream_view.Load()
        self._report_end()

    def _report_end(self) -> None:
        if self._reports_end:
            self._reports_end = False
            self._on_load_change(self.view)


class Placement:
    """Selects one of the live upstreams of a service for each request.

    Parameters
    ----------
    table : upstreams.UpstreamTable
        The upstreams.
    policy : policies.Policy
        Orders the upstreams that are compared.
    router : str
        Name of this router.
    limits : upstream_limits.UpstreamLimits
        Splits the request rate limits of upstreams between the routers.
    brittleness : brittleness.Brittleness
        Spares upstreams that fall over if they must refuse too much.
    versions : version_gate.VersionGate
        Selects the requests that try a version that is rolled out.
    """

    def __init__(
        self,
        table: upstreams_.UpstreamTable,
        policy: policies.Policy,
        router: str,
        limits: upstream_limits_.UpstreamLimits,
        brittleness: brittleness_.Brittleness,
        versions: version_gate.VersionGate,
    ) -> None:
        self._table = table
        self._policy = policy
        self._router = router
        self._limits = limits
        self._brittleness = brittleness
        self._versions = versions
        self._candidates: dict[
            tuple[str, ty.Optional[str]], candidates_.Candidates
        ] = {}
        self._random = random.Random(router)
        self.has_stale_peer_data: ty.Callable[[], bool] = lambda: False
        """Returns whether the load data of other routers is stale: older than
        the usual duration of a request."""
        self.on_load_change: LoadListener = lambda view: None
        """Called with an upstream when this router's load there has changed
        enough to affect the selection of other routers."""
        self.has_idle_connection: ty.Callable[[str], bool] = lambda a: False
        """Returns whether there is an open connection to an address."""

    def choose(
        self,
        exchange: exchange_.Exchange,
        service: pb.Service,
        avoid: ty.Collection[str] = (),
    ) -> ty.Optional[Reservation]:
        """Reserve an upstream for a request, or return None if there is none.

        A stream that has begun gets only an upstream of the version that
        began it.

        Parameters
        ----------
        avoid : collection of str
            Names of upstreams that must not be selected.
        """
        version = exchange.version
        if version is not None and not self._versions.may_go_on(
            service.name, version
        ):
            return None
        if not avoid and version is None:
            views = self._find_trial(service.name, exchange.route.name)
            if views:
                return self._reserve(exchange, service, views, None)
        candidates = self._candidates_of(service.name, version)
        home = self._find_home(candidates, exchange.prompt, avoid)
        views = self._select_compared(
            self._filter_usable(candidates.subset, avoid)
        )
        if home is not None and home not in views:
            views.append(home)
        if not views:
            # An open breaker may be wrong; without an alternative, it is
            # ignored.
            views = self._filter_usable(candidates.views, avoid) or [
                view
                for view in candidates.views
                if view.name not in avoid
                and self._has_way(view)
                and not self._wait_ms(view)
            ]
        return self._reserve(exchange, service, views, home, not avoid)

    def lacks_version(self, exchange: exchange_.Exchange, name: str) -> bool:
        """Return whether only other versions of a service could go on."""
        if exchange.version is None or not self._table.live(name):
            return False
        return not (
            self._table.at_version(name, exchange.version)
            and self._versions.may_go_on(name, exchange.version)
        )

    def count_heard(self, service: str, at: int, avoid: str) -> int:
        """Return how many live upstreams have sent data since `at`, in ms.

        Parameters
        ----------
        avoid : str
            Name of an upstream that is not counted.
        """
        return sum(
            view.heard_at >= at and view.name != avoid
            for view in self._table.live(service)
        )

    def silent_names(self, service: str, min_ms: int) -> set[str]:
        """Return the names of live upstreams at which requests only wait.

        Parameters
        ----------
        min_ms : int
            Minimum time without any data from such an upstream, in ms.
        """
        return {
            view.name
            for view in self._table.live(service)
            if view.silent_ms() >= min_ms
        }

    def wait_ms(
        self,
        service: str,
        avoid: ty.Collection[str] = (),
        version: ty.Optional[ids.SoftwareVersion] = None,
    ) -> int:
        """Return the time until an upstream accepts a request, in ms.

        0 if a live upstream neither rests nor has a limit, if its limit
        permits a request now, or if there is no upstream.
        """
        return min(
            (
                self._wait_ms(view)
                for view in self._live(service, version)
                if view.name not in avoid
            ),
            default=0,
        )

    def peers_with_room(
        self, service: str, version: ty.Optional[ids.SoftwareVersion]
    ) -> set[str]:
        """Return peers that may use upstreams of which this router may not.

        Only a few upstreams are looked at.
        """
        live = self._live(service, version)
        views = self._random.sample(live, min(len(live), _SEARCHED_FOR_PEERS))
        return self._brittleness.peers_with_room(views)

    def _reserve(
        self,
        exchange: exchange_.Exchange,
        service: pb.Service,
        views: list[upstream_view.UpstreamView],
        home: ty.Optional[upstream_view.UpstreamView],
        is_first: bool = True,
    ) -> ty.Optional[Reservation]:
        """Reserve the best of some upstreams; None if there are none."""
        ordered = self._policy.order(exchange, service, views, home)
        if not ordered:
            return None
        best, load = ordered[0], ordered[0].total_load()
        selection = Selection(
            len(views), best is home, load.running, load.unread
        )
        self._limits.take(best)
        self._versions.note_placed(best, is_first)
        return Reservation(best, exchange, selection, self.on_load_change)

    def _find_trial(
        self, service: str, route: str
    ) -> list[upstream_view.UpstreamView]:
        """Return the upstreams at which the next request is a trial."""
        names = self._versions.trial_upstreams(service, route)
        found = [self._table.get(name) for name in names]
        return self._filter_usable(
            [view for view in found if view and view.is_available], ()
        )

    def _select_compared(
        self, views: list[upstream_view.UpstreamView]
    ) -> list[upstream_view.UpstreamView]:
        """Return the upstreams to compare: a random few if data is stale.

        Otherwise, all routers would send their requests to the same upstream,
        which looks best to all of them until the next update.
        """
        if (
            len(views) <= _COMPARED_WHEN_STALE
            or not self.has_stale_peer_data()
        ):
            return views
        return self._random.sample(views, _COMPARED_WHEN_STALE)

    def _live(
        self, service: str, version: ty.Optional[ids.SoftwareVersion]
    ) -> Views:
        """Return the live upstreams, of one version if it is given."""
        if version is None:
            return self._table.live(service)
        return self._table.at_version(service, version)

    def _candidates_of(
        self, service: str, version: ty.Optional[ids.SoftwareVersion]
    ) -> candidates_.Candidates:
        live = self._live(service, version)
        key = service, version
        known = self._candidates.get(key)
        if known is None or known.views is not live:
            known = candidates_.Candidates(self._router, live)
            self._candidates[key] = known
            if not live:
                # Versions come and go.
                del self._candidates[key]
        return known

    def _find_home(
        self,
        candidates: candidates_.Candidates,
        prompt: exchange_.Prompt,
        avoid: ty.Collection[str],
    ) -> ty.Optional[upstream_view.UpstreamView]:
        """Return the home of the prompt's prefix, if it is usable."""
        if not sum(part.tokens for part in prompt.shared):
            return None
        homes = candidates.ranked_homes(prompt.shared[-1].id)
        return next(iter(self._filter_usable(homes, avoid)), None)

    def _filter_usable(
        self, views: Views, avoid: ty.Collection[str]
    ) -> list[upstream_view.UpstreamView]:
        """Return the healthy upstreams that accept a request now."""
        return [
            view
            for view in views
            if view.name not in avoid
            and view.health.allows_request()
            and self._has_way(view)
            and not self._wait_ms(view)
        ]

    def _has_way(self, view: upstream_view.UpstreamView) -> bool:
        """Return whether this router can send to an upstream."""
        if not view.is_unreachable:
            return True
        return not view.is_link_silent and self.has_idle_connection(
            view.address
        )

    def _wait_ms(self, view: upstream_view.UpstreamView) -> int:
        """Return how long this router must not send to an upstream, in ms."""
        return max(
            view.rest_ms(),
            self._limits.wait_ms(view),
            self._brittleness.wait_ms(view),
        )
