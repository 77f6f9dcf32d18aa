"""Calls to plain services beside the engines."""

from __future__ import annotations

import typing as ty

from peridotmast import failures
from peridotmast import green
from peridotmast import http_client
from peridotmast import invariants as invariants_
from peridotmast.router import admission as admission_
from peridotmast.router import call as call_
from peridotmast.router import ledger as ledger_
from peridotmast.router import retry
from peridotmast.router import upstreams as upstreams_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast import tracing

_Promise = invariants_.Promise


class ServiceCaller:
    """Runs service calls to their end, whether the caller stays or not."""

    def __init__(
        self,
        cfg: pb.RouterSettings,
        admission: admission_.Admission,
        table: upstreams_.UpstreamTable,
        ledger: ledger_.Ledger,
        pacer: retry.RetryPacer,
        checks: invariants_.Invariants,
        tracer: tracing.Tracing,
    ) -> None:
        self._cfg = cfg
        self._admission = admission
        self._table = table
        self._ledger = ledger
        self._pacer = pacer
        self._checks = checks
        self._tracer = tracer

    def run(
        self,
        call: call_.Call,
        entry: ledger_.Entry,
        place: admission_.Place,
    ) -> ty.Optional[failures.Failure]:
        """Run `call`; its answer stands in `entry` where None is returned."""
        failure = failures.not_run('no_attempt')
        for retry_number in range(1, self._cfg.attempts + 1):
            lost = self._attempt(call, entry, place)
            place.release()
            if lost is None:
                return None
            failure = lost
            if not self._may_repeat(entry):
                self._ledger.end(entry, ledger_.UNKNOWN)
                return failures.unknown(failure.reason, failure.detail)
            green.sleep_ms(self._pacer.delay_ms(retry_number))
            again = self._admission.place(call, [place.view.name])
            if isinstance(again, failures.Failure):
                failure = again
                break
            place = again
        else:
            place.release()
        return self._give_up(entry, failure)

    def _give_up(
        self, entry: ledger_.Entry, failure: failures.Failure
    ) -> failures.Failure:
        sent = entry.state != ledger_.ACCEPTED
        self._ledger.give_up(entry)
        if not sent:
            return failures.not_run(failure.reason, failure.detail, 1000)
        return failures.unknown(failure.reason, failure.detail)

    def _attempt(
        self,
        call: call_.Call,
        entry: ledger_.Entry,
        place: admission_.Place,
    ) -> ty.Optional[failures.Failure]:
        view = place.view
        span = self._tracer.start(
            'router.service', call.traceparent, upstream=view.name
        )
        stream = http_client.Stream(
            view.address,
            self._cfg.connect_timeout_ms,
            self._cfg.first_byte_timeout_ms,
        )
        try:
            failure = stream.connect() or self._send(
                call, entry, view, stream, tracing.traceparent_of(span)
            )
        finally:
            stream.close()
            span.end()
        if failure is None:
            self._table.succeeded(view)
        else:
            self._table.failed(view)
        return failure

    def _send(
        self,
        call: call_.Call,
        entry: ledger_.Entry,
        view: upstreams_.UpstreamView,
        stream: http_client.Stream,
        traceparent: str,
    ) -> ty.Optional[failures.Failure]:
        closed = self._ledger.closed and not entry.idempotent
        if view.record.state != upstreams_.LIVE or closed:
            return failures.not_run('leaving')
        fresh = entry.state == ledger_.ACCEPTED
        self._checks.check(
            _Promise.ONE_DISPATCH, entry.idempotent or fresh, entry.key
        )
        if not entry.idempotent and not fresh:
            return failures.unknown('sent_before')
        entry.attempts += 1
        entry.upstream = view.name
        entry.set_state(ledger_.SENT)
        status = stream.send(
            'POST',
            f'/v1/calls/{call.service_call}',
            {'payload': call.payload},
            {'X-Request-Key': call.key, 'traceparent': traceparent},
        )
        if isinstance(status, failures.Failure):
            return status
        body = stream.read_all()
        if isinstance(body, failures.Failure):
            return body
        if status == 503 and b'"not_run": true' in body:
            entry.set_state(ledger_.ACCEPTED)
            return failures.not_run('upstream_refused')
        entry.status, entry.answer = status, body.decode('utf-8', 'replace')
        self._ledger.end(entry, ledger_.DONE)
        return None

    def _may_repeat(self, entry: ledger_.Entry) -> bool:
        return entry.idempotent or entry.state == ledger_.ACCEPTED
