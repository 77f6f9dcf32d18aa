"""Takes calls on: finds what is known of them, else admits and begins."""

from __future__ import annotations

import dataclasses
import json
import typing as ty

from peridotmast import clock as clock_
from peridotmast.coordination import membership as membership_
from peridotmast import failures
from peridotmast import green
from peridotmast import logs
from peridotmast.router import admission as admission_
from peridotmast.router import call as call_
from peridotmast.router import ledger as ledger_
from peridotmast.router import once as once_
from peridotmast.router import relay as relay_
from peridotmast.router import retry
from peridotmast.router import router_metrics
from peridotmast.router import service_call
from peridotmast import rpc
from peridotmast.schema import peridotmast_pb2 as pb

_LOOKUP_MS = 700
_LOOKUP_PEERS = 12
_FORWARD_SLACK_MS = 500


@dataclasses.dataclass
class Begun:
    """A chat request that is being worked on."""

    call: call_.Call
    entry: ledger_.Entry
    items: ty.Iterator[relay_.Item]
    """The answer from the call's position on."""


class CallDesk:
    """The way of every call into a router, from callers and from peers."""

    def __init__(
        self,
        clock: clock_.Clock,
        admission: admission_.Admission,
        ledger: ledger_.Ledger,
        guard: once_.OnceGuard,
        relay: relay_.ChatRelay,
        services: service_call.ServiceCaller,
        members: membership_.Membership,
        peers: rpc.RpcClient,
        pacer: retry.RetryPacer,
        metrics: router_metrics.RouterMetrics,
    ) -> None:
        self._clock = clock
        self._admission = admission
        self._ledger = ledger
        self._guard = guard
        self._relay = relay
        self._services = services
        self._members = members
        self._peers = peers
        self._pacer = pacer
        self._metrics = metrics
        self._log = logs.get('desk', router=members.me.name)
        self.in_work = 0
        """Calls being worked on."""

    def chat(
        self, call: call_.Call, forwarded: bool = False
    ) -> ty.Union[Begun, failures.Failure]:
        """Begin, join or resume a chat request."""
        known = self._known(call)
        if isinstance(known, failures.Failure):
            return self._count_refusal(call, known)
        if known is not None:
            return self._resume(call, known)
        taken = self._take_on(call, forwarded)
        if isinstance(taken, failures.Failure):
            return self._count_refusal(call, taken)
        if isinstance(taken, ledger_.Entry):
            return Begun(call, taken, self._replay(taken, call))
        entry, place = taken.entry, taken.place
        items = self._relay.stream(call, entry, place, _position(call))
        return Begun(call, entry, self._account(call, items, taken))

    def service(
        self, call: call_.Call, forwarded: bool = False
    ) -> ty.Union[ledger_.Entry, failures.Failure]:
        """Run a service call, or return its outcome if it is known."""
        known = self._known(call)
        if isinstance(known, failures.Failure):
            return self._count_refusal(call, known)
        if known is not None:
            return self._await_end(known, call)
        taken = self._take_on(call, forwarded)
        if isinstance(taken, failures.Failure):
            return self._count_refusal(call, taken)
        if isinstance(taken, ledger_.Entry):
            return taken
        # A task of its own: a caller that goes away stops nothing.
        result = green.spawn(self._run_service, taken)
        return result.wait()

    def attach(
        self, key: str, position: int
    ) -> ty.Union[Begun, failures.Failure]:
        """Go on with a request known here or at a peer, from `position`."""
        entry = self._ledger.find(ty.cast(ty.Any, key))
        if entry is None:
            entry = self._adopt_from_peers(key)
        if entry is None:
            return failures.missing('unknown_request', key)
        if position > len(entry.tokens) and position > entry.max_tokens:
            return failures.invalid('position', 'beyond the answer')
        call = entry.call
        if call is None:
            return failures.conflict(
                'body_needed', 'send the request again with its position'
            )
        resumed = dataclasses.replace(
            call, resume=pb.ResumePoint(position=position)
        )
        return self._resume(resumed, entry)

    # ----------------------------------------------------------- what is known

    def _known(
        self, call: call_.Call
    ) -> ty.Union[ledger_.Entry, failures.Failure, None]:
        entry = self._ledger.find(call.key)
        if entry is None and call.resume is not None:
            entry = self._adopt_from_peers(call.key)
        if entry is None:
            return None
        if entry.digest != call.digest:
            return failures.conflict(
                'body_differs', 'this request id was used with another body'
            )
        if entry.state == ledger_.UNKNOWN:
            return failures.unknown('outcome_unknown', 'it may have run')
        if entry.call is None:
            entry.call = call
        return entry

    def _adopt_from_peers(self, key: str) -> ty.Optional[ledger_.Entry]:
        """Ask the peers for a request that this router does not know."""
        request = pb.LookupRequest(key=key)
        peers = self._members.peers()[:_LOOKUP_PEERS]
        pool = green.GreenPool(_LOOKUP_PEERS)
        replies = pool.imap(
            lambda peer: self._peers.call(
                peer.peer_address, 'Lookup', request, _LOOKUP_MS
            ),
            peers,
        )
        found = [
            reply.entry
            for reply in replies
            if not isinstance(reply, failures.Failure) and reply.found
        ]
        if not found:
            return None
        best = max(found, key=lambda entry: len(entry.tokens))
        if not best.idempotent and best.state != ledger_.DONE:
            # The peer still has the right to it; it is asked, not copied.
            return None
        here = self._ledger.find(ty.cast(ty.Any, key))
        return here or self._ledger.take_over(best)

    def _resume(
        self, call: call_.Call, entry: ledger_.Entry
    ) -> ty.Union[Begun, failures.Failure]:
        position = _position(call)
        if entry.ended and position > len(entry.tokens):
            return failures.invalid('position', 'beyond the answer')
        call.max_tokens = entry.max_tokens
        items = self._relay.stream(call, entry, None, position)
        return Begun(call, entry, self._account(call, items, None))

    def _await_end(
        self, entry: ledger_.Entry, call: call_.Call
    ) -> ty.Union[ledger_.Entry, failures.Failure]:
        while not entry.ended:
            left = call.deadline - self._clock.now()
            if left <= 0:
                return failures.unknown('deadline', 'still running')
            if self._ledger.find(entry.key) is not entry:
                return _first_try_failed(entry)
            with green.Timeout(left / 1000, False):
                entry.changed.wait()
        if entry.state == ledger_.UNKNOWN:
            return failures.unknown('outcome_unknown', 'it may have run')
        return entry

    # ------------------------------------------------------------- taking on

    def _take_on(
        self, call: call_.Call, forwarded: bool
    ) -> ty.Union[_Taken, ledger_.Entry, failures.Failure]:
        if self._ledger.closed:
            return failures.not_run('leaving', 'ask /resolve again', 100)
        refused = self._admission.admit(call)
        if refused is not None:
            return refused
        entry = self._ledger.begin(
            call.key, call.digest, call.idempotent, call.max_tokens
        )
        entry.call = call
        result = self._permit_and_place(call, entry, forwarded)
        if isinstance(result, _Taken):
            self._pacer.accepted()
            self._metrics.accepted.labels(
                call.team, pb.Work.Name(call.work)
            ).inc()
            return result
        self._admission.leave(call)
        if isinstance(result, failures.Failure):
            self._ledger.drop(entry)
        return result

    def _permit_and_place(
        self, call: call_.Call, entry: ledger_.Entry, forwarded: bool
    ) -> ty.Union[_Taken, ledger_.Entry, failures.Failure]:
        if call.resume is not None and call.resume.upstream:
            # Going on with a stream that runs needs no right to start one.
            self._use_resume_point(call, entry)
        elif not call.idempotent:
            permit = self._guard.permit(call)
            if isinstance(permit, once_.Elsewhere):
                return self._forward(call, entry, permit, forwarded)
            if isinstance(permit, failures.Failure):
                return permit
        elif call.resume is not None:
            self._use_resume_point(call, entry)
        place: ty.Any = None
        if not entry.upstream:
            place = self._admission.place(call)
            if isinstance(place, failures.Failure):
                if not call.idempotent:
                    self._guard.not_begun(call.key)
                return place
        return _Taken(call, entry, place)

    def _use_resume_point(
        self, call: call_.Call, entry: ledger_.Entry
    ) -> None:
        """Start from what the caller still has of a lost router's work."""
        resume = ty.cast(pb.ResumePoint, call.resume)
        if len(resume.tokens) == resume.position:
            entry.tokens = list(resume.tokens)
        if resume.upstream:
            entry.upstream = resume.upstream
            entry.set_state(ledger_.SENT)
            entry.attempts = 1

    def _forward(
        self,
        call: call_.Call,
        entry: ledger_.Entry,
        permit: once_.Elsewhere,
        forwarded: bool,
    ) -> ty.Union[ledger_.Entry, failures.Failure]:
        """Let the router that holds the right run it; return its entry."""
        if forwarded:
            return failures.unknown('owner_gone', 'the owner has changed')
        body = {**call.body, 'request_id': call.request_id}
        body['team'] = call.team
        left = call.deadline - self._clock.now()
        reply = self._peers.call(
            permit.member.peer_address,
            'Forward',
            pb.ForwardRequest(
                service=call.service,
                call=call.service_call,
                body=json.dumps(body).encode(),
                traceparent=call.traceparent,
            ),
            max(1, left) + _FORWARD_SLACK_MS,
        )
        if isinstance(reply, failures.Failure):
            return failures.unknown('owner_silent', reply.reason)
        if reply.HasField('error'):
            return failures.Failure(
                failures.FailureKind(reply.error.code),
                reply.error.reason,
                '',
                reply.error.retry_after_ms,
            )
        self._ledger.drop(entry)
        return self._ledger.take_over(reply.entry)

    def _run_service(
        self, taken: _Taken
    ) -> ty.Union[ledger_.Entry, failures.Failure]:
        self.in_work += 1
        try:
            failure = self._services.run(taken.call, taken.entry, taken.place)
        finally:
            self.in_work -= 1
            self._admission.leave(taken.call)
        if failure is None:
            self._metrics.ended.labels('answered').inc()
            return taken.entry
        self._metrics.ended.labels(failure.kind.value).inc()
        if not taken.call.idempotent and (
            failure.kind is failures.FailureKind.NOT_RUN
        ):
            self._guard.not_begun(taken.call.key)
        return failure

    # ------------------------------------------------------------- accounting

    def _replay(
        self, entry: ledger_.Entry, call: call_.Call
    ) -> ty.Iterator[relay_.Item]:
        if tokens := entry.tokens[_position(call) :]:
            yield tokens

    def _account(
        self,
        call: call_.Call,
        items: ty.Iterator[relay_.Item],
        taken: ty.Optional[_Taken],
    ) -> ty.Iterator[relay_.Item]:
        """Pass the items on and count what they come to."""
        self.in_work += 1
        outcome = 'caller_left'
        first = True
        try:
            for item in items:
                if isinstance(item, list):
                    self._metrics.tokens.inc(len(item))
                    if first:
                        self._count_first(call)
                    first = False
                elif isinstance(item, failures.Failure):
                    outcome = item.kind.value
                else:
                    outcome = 'handed_over'
                yield item
            if outcome == 'caller_left':
                outcome = 'answered'
        finally:
            self.in_work -= 1
            if taken is not None:
                self._admission.leave(call)
            self._metrics.ended.labels(outcome).inc()
            self._log.info(
                'chat_ended',
                key=call.key,
                outcome=outcome,
                ms=self._clock.now() - call.entered,
            )

    def _count_first(self, call: call_.Call) -> None:
        waited = self._clock.now() - call.entered
        work = pb.Work.Name(call.work)
        self._metrics.first_token.labels(work).observe(waited)

    def _count_refusal(
        self, call: call_.Call, failure: failures.Failure
    ) -> failures.Failure:
        self._metrics.refused.labels(failure.reason).inc()
        self._log.info('refused', key=call.key, reason=failure.reason)
        return failure


@dataclasses.dataclass
class _Taken:
    call: call_.Call
    entry: ledger_.Entry
    place: ty.Any


def _first_try_failed(entry: ledger_.Entry) -> failures.Failure:
    if entry.state == ledger_.ACCEPTED:
        return failures.not_run('refused', 'the first try was refused')
    return failures.unknown('given_up', 'the first try had no answer')


def _position(call: call_.Call) -> int:
    return call.resume.position if call.resume is not None else 0
