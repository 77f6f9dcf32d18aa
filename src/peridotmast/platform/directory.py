"""HTTP endpoints for router discovery and readiness checks."""

from __future__ import annotations

from peridotmast.coordination import members as members_
from peridotmast.coordination import router_selector
from peridotmast.platform import names
from peridotmast import web

_MAX_ADDRESSES = 64
"""Maximum number of addresses that a caller reads."""


class PlatformDirectory:
    """WSGI applications for router discovery and readiness checks.

    Parameters
    ----------
    members : members.Members
        Membership of the fleet of routers.
    ttl_s : float
        Time for which a caller may cache a response, in seconds.
    """

    def __init__(self, members: members_.Members, ttl_s: float) -> None:
        self._members = members
        self._selector = router_selector.RouterSelector(
            members, _MAX_ADDRESSES
        )
        self._ttl_s = ttl_s
        self.resolve_app = web.WebApp('directory', max_body=0)
        """Returns the addresses of the routers to connect to."""
        self.resolve_app.route('GET', names.RESOLVE_PATH, self._on_resolve)
        self.readiness_app = web.WebApp('readiness', max_body=0)
        """Reports whether this router accepts requests."""
        self.readiness_app.route('GET', names.READY_PATH, self._on_readiness)

    def _on_resolve(self, req: web.Request) -> web.Response:
        domain = req.query.get(names.FAILURE_DOMAIN, '')
        addresses = [
            member.address for member in self._selector.select(domain)
        ]
        if not addresses:
            return web.error_response(
                503, 'unavailable', 'no router is available'
            )
        body = {names.ADDRESSES: addresses, names.TTL_S: self._ttl_s}
        return web.json_response(body)

    def _on_readiness(self, req: web.Request) -> web.Response:
        me = self._members.me
        ready = me.ready and me.state == members_.ALIVE
        if not ready:
            return web.error_response(503, 'unavailable', 'not ready')
        return web.Response(200, b'ready', 'text/plain')
