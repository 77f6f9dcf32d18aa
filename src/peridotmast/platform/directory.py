"""Answers for callers that ask where to connect, and for the platform."""

from __future__ import annotations

from peridotmast.coordination import members as members_
from peridotmast.coordination import router_selector
from peridotmast.platform import names
from peridotmast import web

_ADDRESSES = 64
"""Most addresses that a caller reads."""


class PlatformDirectory:
    """WSGI applications for the directory and for readiness.

    Parameters
    ----------
    members : members.Members
        The routers.
    ttl_s : float
        How long a caller may keep an answer.
    """

    def __init__(self, members: members_.Members, ttl_s: float) -> None:
        self._members = members
        self._nearest = router_selector.RouterSelector(members, _ADDRESSES)
        self._ttl_s = ttl_s
        self.resolve_app = web.WebApp('directory')
        """Tells where to connect."""
        self.resolve_app.route('GET', names.RESOLVE_PATH, self._on_resolve)
        self.readiness_app = web.WebApp('readiness')
        """Tells whether this router takes callers."""
        self.readiness_app.route('GET', names.READY_PATH, self._on_readiness)

    def _on_resolve(self, req: web.Request) -> web.Response:
        domain = req.query.get(names.FAILURE_DOMAIN, '')
        addresses = [member.address for member in self._nearest.select(domain)]
        if not addresses:
            return web.error_response(503, 'unavailable', 'no router serves')
        answer = {names.ADDRESSES: addresses, names.TTL_S: self._ttl_s}
        return web.json_response(answer)

    def _on_readiness(self, req: web.Request) -> web.Response:
        me = self._members.me
        ready = me.ready and me.state == members_.ALIVE
        if not ready:
            return web.error_response(503, 'unavailable', 'not ready')
        return web.Response(200, b'ready', 'text/plain')
