"""Client of the platform's API for usage reports and scaling orders."""

from __future__ import annotations

import typing as ty

from peridotmast import failures
from peridotmast.platform import names
from peridotmast.wire import http_client

NO_CAPACITY = 'none_to_have'
"""Failure reason: the failure domain has no capacity for the order."""

DUTIES_NOT_HELD = 'not_held'
"""Failure reason: this router does not hold the duties, or not for long."""

_CONFLICT = 409
_MAX_DETAIL_BYTES = 200
"""Maximum length of the part of an answer that a failure shows, in bytes."""


class PlatformCloud:
    """Makes the calls that only the current holder of the duties may make.

    Parameters
    ----------
    address : str
        ``IP:port`` of the API.
    timeout_ms : int
        Time-out of one call, in ms.
    router : str
        Name of this router, which is sent with each call.
    remaining_ms : callable, optional
        Returns the time in which a call with a given fencing token must
        arrive, in ms; 0 if no call may be started. It is evaluated when the
        call is sent, because waiting for the store or for a connection may
        have taken until another router held the duties. By default, calls
        are not restricted.
    """

    def __init__(
        self,
        address: str,
        timeout_ms: int,
        router: str,
        remaining_ms: ty.Optional[ty.Callable[[int], int]] = None,
    ) -> None:
        self.address = address
        """``IP:port`` of the API."""
        self._timeout_ms = timeout_ms
        self._http = http_client.HttpClient(timeout_ms)
        self._router = router
        self._remaining_ms = remaining_ms or (lambda _: timeout_ms)

    def report_usage(
        self, window: int, counts: dict[str, int], fencing: int
    ) -> ty.Optional[failures.Failure]:
        """Report the request counts of one window; repeats are harmless."""
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
        """Order `count` upstreams of a service in a failure domain."""
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
        left_ms = self._remaining_ms(fencing)
        if not left_ms:
            return failures.not_run(DUTIES_NOT_HELD)
        response = self._http.request(
            'POST',
            self.address,
            path,
            body,
            headers,
            timeout_ms=min(self._timeout_ms, left_ms),
            may_send=lambda: self._remaining_ms(fencing) > 0,
        )
        if isinstance(response, failures.Failure):
            return response
        detail = response.body[:_MAX_DETAIL_BYTES].decode('utf-8', 'replace')
        if response.status == _CONFLICT:
            return failures.conflict(NO_CAPACITY, detail)
        if response.status not in (200, 201, 204):
            return failures.unavailable(
                'cloud_refused', f'{response.status} {detail}'
            )
        return None
