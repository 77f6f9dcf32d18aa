"""Client of the platform's API for usage reports and orders of upstreams."""

from __future__ import annotations

import typing as ty

from peridotmast import failures
from peridotmast.platform import names
from peridotmast.wire import http_client

NO_CAPACITY = 'none_to_have'
"""Reason of a failure that says: no such upstream is to be had there now."""

DUTIES_NOT_HELD = 'not_held'
"""Reason of a failure that says: the duties are another router's, or soon."""

_REFUSED = 409


class PlatformCloud:
    """Calls that are one router's duty at a time.

    Parameters
    ----------
    address : str
        ``IP:port`` of the API.
    timeout_ms : int
        Bound on one call.
    router : str
        Name of this router, which goes with each call.
    order_ms : callable, optional
        Returns in which time a call with a fencing number must arrive, in
        ms; 0 where none may be begun. It is asked as the call is sent:
        whoever decided on it may have waited for the store, or for a
        connection, until the duties were another router's. Without it, any
        call may be made.
    """

    def __init__(
        self,
        address: str,
        timeout_ms: int,
        router: str,
        order_ms: ty.Optional[ty.Callable[[int], int]] = None,
    ) -> None:
        self.address = address
        """Where the API is."""
        self._timeout_ms = timeout_ms
        self._http = http_client.HttpClient(timeout_ms)
        self._router = router
        self._order_ms = order_ms or (lambda fencing: timeout_ms)

    def report_usage(
        self, window: int, counts: dict[str, int], fencing: int
    ) -> ty.Optional[failures.Failure]:
        """Send one window's counts; the same ones again do no harm."""
        body = {names.WINDOW_ID: window, names.REQUEST_COUNTS: counts}
        return self._call(names.USAGE_PATH, body, fencing)

    def order(
        self,
        service: str,
        failure_domain: str,
        count: int,
        reclaimable: bool,
        fencing: int,
    ) -> ty.Optional[failures.Failure]:
        """Order so many upstreams of a service in a failure domain."""
        body = {
            names.SERVICE: service,
            names.FAILURE_DOMAIN: failure_domain,
            names.DESIRED_COUNT: count,
        }
        if reclaimable:
            body[names.RECLAIMABLE] = True
        return self._call(names.SCALE_PATH, body, fencing)

    def _call(
        self, path: str, body: dict[str, ty.Any], fencing: int
    ) -> ty.Optional[failures.Failure]:
        headers = {names.HOLDER: self._router, names.FENCING: str(fencing)}
        left = self._order_ms(fencing)
        if not left:
            return failures.not_run(DUTIES_NOT_HELD)
        reply = self._http.request(
            'POST',
            self.address,
            path,
            body,
            headers,
            timeout_ms=min(self._timeout_ms, left),
            may_send=lambda: self._order_ms(fencing) > 0,
        )
        if isinstance(reply, failures.Failure):
            return reply
        if reply.status == _REFUSED:
            return failures.conflict(NO_CAPACITY, reply.body[:200].decode())
        if reply.status not in (200, 201, 204):
            detail = reply.body[:200].decode('latin-1')
            return failures.unavailable(
                'cloud_refused', f'{reply.status} {detail}'
            )
        return None
