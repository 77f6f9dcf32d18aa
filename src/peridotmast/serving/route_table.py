"""Lookup of routes by host and path, and of teams by API key."""

from __future__ import annotations

import random
import typing as ty

from peridotmast.schema import peridotmast_pb2 as pb


class RouteTable:
    """Routes by host and path and teams by API key of one configuration.

    Parameters
    ----------
    config : pb.Config
        The configuration.
    seed : int
        Seed of the random choice between the services of a split route.
    """

    def __init__(self, config: pb.Config, seed: int = 0) -> None:
        self._choice = random.Random(seed)
        self._hosts: dict[str, dict[str, pb.Route]] = {}
        for route in config.routes:
            host = self._hosts.setdefault(route.host.lower(), {})
            host[route.prefix] = route
        self._teams = {key: team for team in config.teams for key in team.keys}
        self.teams = {team.name: team for team in config.teams}
        """Teams by name."""
        self.services = {service.name: service for service in config.services}
        """Services by name."""

    @property
    def requires_key(self) -> bool:
        """Whether routes that are not public require an API key."""
        return bool(self.teams)

    def route(self, host: str, path: str) -> ty.Optional[pb.Route]:
        """Return the route of `host` with the longest prefix of `path`.

        Parameters
        ----------
        host : str
            Host header, with or without a port.
        path : str
            Raw path without the query.
        """
        host = host.lower()
        routes = self._hosts.get(host)
        if routes is None:
            routes = self._hosts.get(host.rpartition(':')[0], {})
        # Every prefix ends with a slash, so only the path up to each of its
        # slashes can match.
        end = path.rfind('/')
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def team_of(self, key: str) -> ty.Optional[pb.Team]:
        """Return the team of an API key; None if it is unknown."""
        return self._teams.get(key)

    def pick_service(self, route: pb.Route) -> str:
        """Return the service of one request on `route`, chosen by weight."""
        services = route.services
        if len(services) == 1:
            return services[0]
        weights = route.weights or [1] * len(services)
        return self._choice.choices(services, weights)[0]
