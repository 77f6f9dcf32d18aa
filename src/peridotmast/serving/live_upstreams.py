"""Upstreams that may get new requests, grouped at one moment."""

from __future__ import annotations

import typing as ty

from peridotmast.serving import upstream_view

Views = list[upstream_view.UpstreamView]

VersionSelector = ty.Callable[[str, ty.Mapping[str, int]], ty.Container[str]]
"""Returns the versions in use of a service. The available ones are given, with
the lowest revision of an upstream of each."""


class LiveUpstreams:
    """The available upstreams by service, and by service and version.

    Upstreams whose entry has been missing for too long are included only if
    their service has no others, of any version.

    Parameters
    ----------
    available : sequence of UpstreamView
        Upstreams that are not known to leave or to be gone.
    cutoff : int
        Time in ms since which an entry may be missing.
    select_versions : callable
        Selects the versions in use.
    """

    def __init__(
        self,
        available: ty.Sequence[upstream_view.UpstreamView],
        cutoff: int,
        select_versions: VersionSelector,
    ) -> None:
        in_use = _versions_in_use(available, select_versions)
        by_service: tuple[dict[str, Views], dict[str, Views]] = {}, {}
        at_version: tuple[
            dict[tuple[str, str], Views], dict[tuple[str, str], Views]
        ] = {}, {}
        for view in available:
            is_confirmed = view.was_live_at(cutoff)
            key = view.service, view.version
            at_version[is_confirmed].setdefault(key, []).append(view)
            if view.version in in_use[view.service]:
                group = by_service[is_confirmed]
                group.setdefault(view.service, []).append(view)
        confirmed = {service for service, _ in at_version[True]}
        missing = {
            key: views
            for key, views in at_version[False].items()
            if key[0] not in confirmed
        }
        self.by_service = {**by_service[False], **by_service[True]}
        """Upstreams whose version is in use, by service."""
        self.at_version = {**missing, **at_version[True]}
        """Upstreams by service and version, in use or not."""


def _versions_in_use(
    available: ty.Iterable[upstream_view.UpstreamView],
    select_versions: VersionSelector,
) -> dict[str, ty.Container[str]]:
    """Return the versions in use by service."""
    ages: dict[str, dict[str, int]] = {}
    for view in available:
        lowest = ages.setdefault(view.service, {})
        revision = view.record.revision
        known = lowest.get(view.version, revision)
        lowest[view.version] = min(known, revision)
    return {
        service: select_versions(service, lowest)
        for service, lowest in ages.items()
    }
