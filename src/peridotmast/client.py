"""The callers' library: resolve, send, resume."""

from __future__ import annotations

import dataclasses
import json
import random
import typing as ty
import uuid

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import green
from peridotmast import http_client

_CONNECT_MS = 1000
_SILENCE_MS = 9000
_CALL_MS = 2000
_FIRST_PAUSE_MS = 20
_LAST_PAUSE_MS = 1000
_COMMENT = ': peridotmast '
_NO_CONNECTION = 'no_connection'


@dataclasses.dataclass
class Answer:
    """A chat answer as it grows."""

    request_id: str
    tokens: list[str] = dataclasses.field(default_factory=list)
    """Tokens received so far, in order."""
    arrivals: list[int] = dataclasses.field(default_factory=list)
    """When each came, in ms of the client's clock."""
    began: int = 0
    """When it was asked for, in ms of the client's clock."""
    complete: bool = False
    """Whether the answer's end was received."""
    accepted: bool = False
    """Whether a router accepted the request."""
    maybe_sent: bool = False
    """Whether a router may have begun it."""
    routers: list[str] = dataclasses.field(default_factory=list)
    """Routers that it went through."""
    failure: ty.Optional[failures.Failure] = None
    """Why there is no whole answer."""
    resumes: int = 0
    """Times that the stream went on over another connection."""
    upstream: str = ''
    router: str = ''

    @property
    def text(self) -> str:
        """The answer's text so far."""
        return ''.join(self.tokens)


@dataclasses.dataclass(frozen=True)
class ServiceAnswer:
    """A service's answer."""

    request_id: str
    status: int
    body: ty.Any


class Client:
    """One caller.

    Parameters
    ----------
    addresses : list of str
        Some routers' addresses, to ask the first time.
    team : str
        Team that requests are made for.
    failure_domain : str
        Where the caller is, if it knows.
    seed : int, optional
        Seed of choices and ids.
    """

    def __init__(
        self,
        addresses: ty.Sequence[str],
        team: str,
        failure_domain: str = '',
        clock: ty.Optional[clock_.Clock] = None,
        seed: ty.Optional[int] = None,
    ) -> None:
        self._seeds = list(addresses)
        self._team = team
        self._domain = failure_domain
        self._clock = clock or clock_.SystemClock()
        self._choice = random.Random(seed)
        self._http = http_client.HttpClient(_CALL_MS)
        self._known: list[str] = []
        self._keep_until = 0
        self.epoch = 0
        """Epoch of claims, from the last resolve answer."""

    def resolve(self) -> list[str]:
        """Return the addresses to use, asked for again when out of date."""
        if self._clock.now() < self._keep_until and self._known:
            return self._known
        path = f'/resolve?failure_domain={self._domain}'
        seeds = list(self._seeds)
        self._choice.shuffle(seeds)
        for address in dict.fromkeys([*self._known, *seeds]):
            reply = self._http.call('GET', address, path)
            if isinstance(reply, failures.Failure) or reply.status != 200:
                continue
            body = reply.json()
            if body['addresses']:
                self._known = body['addresses']
                self._keep_until = self._clock.now() + body['keep_ms']
                self.epoch = max(self.epoch, body['claim_epoch'])
                break
        return self._known or self._seeds

    def new_id(self, idempotent: bool = True) -> str:
        """Return a request id; one that is safe to repeat if not idempotent.

        Such an id carries the claim epoch that it was made in.
        """
        name = uuid.UUID(int=self._choice.getrandbits(128), version=4).hex
        if idempotent:
            return name
        if not self._known:
            self.resolve()
        return f'e{self.epoch}.{name}'

    def ticket(self) -> ty.Union[str, failures.Failure]:
        """Return an id that works through outages of the platform."""
        failure = failures.unavailable('no_router')
        for address in self.resolve():
            reply = self._http.call('POST', address, '/v1/tickets', {})
            if isinstance(reply, failures.Failure):
                failure = reply
            elif reply.status == 200:
                return reply.json()['ticket']
        return failure

    def chat(
        self,
        model: str,
        prompt: str,
        max_tokens: int,
        work: str = 'interactive',
        adapter: str = '',
        idempotent: bool = True,
        request_id: str = '',
        deadline_ms: int = 30_000,
        retry_refused: bool = False,
        on_tokens: ty.Callable[[list[str]], None] = lambda tokens: None,
    ) -> Answer:
        """Send a chat request and follow its answer to the end.

        Parameters
        ----------
        deadline_ms : int
            Time for the whole answer, in ms.
        retry_refused : bool
            Whether to ask again after a refusal.
        on_tokens : callable
            Called with tokens as they come.

        Returns
        -------
        Answer
            With `complete` set, or with the `failure`.
        """
        body = {
            'model': model,
            'messages': [{'role': 'user', 'content': prompt}],
            'max_tokens': max_tokens,
            'adapter': adapter,
            'stream': True,
            'team': self._team,
            'work': work,
            'idempotent': idempotent,
            'request_id': request_id or self.new_id(idempotent),
        }
        answer = Answer(str(body['request_id']), began=self._clock.now())
        follower = _Follower(self._clock, answer, on_tokens)
        path = '/v1/chat/completions'
        attempt = _Attempts(self, deadline_ms, retry_refused)
        while not answer.complete and answer.failure is None:
            body['deadline_ms'] = attempt.left_ms()
            if answer.accepted:
                body['resume'] = {
                    'position': len(answer.tokens),
                    'upstream': answer.upstream,
                    'tokens': answer.tokens,
                }
            failure = follower.follow(attempt.address(), path, body)
            if failure is not None:
                lost = failure.kind is failures.FailureKind.UNAVAILABLE
                answer.maybe_sent |= lost and failure.reason != _NO_CONNECTION
                owed = answer.accepted or answer.maybe_sent
                answer.failure = attempt.judge(failure, owed)
                answer.resumes += answer.failure is None
        return answer

    def call(
        self,
        service: str,
        name: str,
        payload: str,
        work: str = 'interactive',
        idempotent: bool = True,
        request_id: str = '',
        deadline_ms: int = 10_000,
        retry_refused: bool = False,
    ) -> ty.Union[ServiceAnswer, failures.Failure]:
        """Make a call to a plain service; its request id repeats safely."""
        request_id = request_id or self.new_id(idempotent)
        body = {
            'team': self._team,
            'work': work,
            'idempotent': idempotent,
            'request_id': request_id,
            'payload': payload,
        }
        path = f'/v1/services/{service}/{name}'
        attempt = _Attempts(self, deadline_ms, retry_refused)
        maybe_sent = False
        while True:
            left = attempt.left_ms()
            body['deadline_ms'] = left
            result = _once(attempt.address(), path, body, left + 500)
            if not isinstance(result, failures.Failure):
                return ServiceAnswer(request_id, *result)
            lost = result.kind is failures.FailureKind.UNAVAILABLE
            maybe_sent = maybe_sent or lost
            final = attempt.judge(result, maybe_sent)
            if final is not None:
                return final

    def use(self, address: str) -> None:
        """Prefer `address` for the next attempt."""
        self._known = [address, *(a for a in self._known if a != address)]

    def forget(self) -> None:
        """Ask for addresses again before the next attempt."""
        self._keep_until = 0


class _Attempts:
    """Which address next, when, and when to give up."""

    def __init__(
        self, client: Client, deadline_ms: int, retry_refused: bool
    ) -> None:
        self._client = client
        self._clock = client._clock
        self._deadline = self._clock.now() + deadline_ms
        self._retry_refused = retry_refused
        self._pause = _FIRST_PAUSE_MS
        self._tried: list[str] = []
        self._next = ''

    def left_ms(self) -> int:
        return max(1, self._deadline - self._clock.now())

    def address(self) -> str:
        if self._next:
            chosen, self._next = self._next, ''
            return chosen
        known = self._client.resolve()
        fresh = [a for a in known if a not in self._tried[-2:]] or known
        chosen = (
            fresh[0] if self._tried else self._client._choice.choice(known)
        )
        self._tried.append(chosen)
        return chosen

    def judge(
        self, failure: failures.Failure, maybe_run: bool
    ) -> ty.Optional[failures.Failure]:
        """Return the failure if it is final; else wait for the next try.

        A refusal is true of its own attempt only; where an earlier attempt
        may have begun the request, the whole is not "not run".
        """
        kinds = failures.FailureKind
        if failure.reason == 'moved':
            self._next = failure.detail
            return None
        final = failure.kind in (
            kinds.OUTCOME_UNKNOWN,
            kinds.CONFLICT,
            kinds.INVALID,
            kinds.MISSING,
        )
        leaving = failure.reason.startswith('leaving')
        refused = failure.kind is kinds.NOT_RUN and not leaving
        if final or (refused and not maybe_run and not self._retry_refused):
            return failure
        pause = max(failure.retry_after_ms, self._pause)
        if self._clock.now() + pause >= self._deadline:
            if maybe_run:
                return failures.unknown('deadline', failure.reason)
            return failure
        self._client.forget()
        green.sleep_ms(pause)
        self._pause = min(_LAST_PAUSE_MS, self._pause * 2)
        return None


class _Follower:
    """Reads one answer's events into it, over one or more connections."""

    def __init__(
        self,
        clock: clock_.Clock,
        answer: Answer,
        on_tokens: ty.Callable[[list[str]], None],
    ) -> None:
        self._clock = clock
        self._answer = answer
        self._on_tokens = on_tokens
        self._rest = b''

    def follow(
        self, address: str, path: str, body: dict[str, ty.Any]
    ) -> ty.Optional[failures.Failure]:
        """Return None at the answer's end, else why it broke off."""
        stream = http_client.Stream(address, _CONNECT_MS, body['deadline_ms'])
        self._rest = b''
        try:
            if stream.connect() is not None:
                return failures.unavailable(_NO_CONNECTION, address)
            status = stream.send('POST', path, body)
            if isinstance(status, failures.Failure):
                return failures.unavailable(status.reason, status.detail)
            if status != 200:
                return _refusal(stream.read_all(), status)
            self._answer.accepted = True
            stream.set_silence(_SILENCE_MS)
            return self._read(stream)
        finally:
            stream.close()

    def _read(
        self, stream: http_client.Stream
    ) -> ty.Optional[failures.Failure]:
        while True:
            data = stream.read_some()
            if isinstance(data, failures.Failure) or not data:
                return failures.unavailable('broke_off')
            *events, self._rest = (self._rest + data).split(b'\n\n')
            before = len(self._answer.tokens)
            for event in events:
                failure = self._event(event.decode())
                if failure is not None:
                    return failure
                if self._answer.complete:
                    break
            if fresh := self._answer.tokens[before:]:
                now = self._clock.now()
                self._answer.arrivals += [now] * len(fresh)
                self._on_tokens(fresh)
            if self._answer.complete:
                return None

    def _event(self, event: str) -> ty.Optional[failures.Failure]:
        if event.startswith(_COMMENT):
            return self._comment(json.loads(event[len(_COMMENT) :]))
        position = -1
        for line in event.split('\n'):
            field, _, value = line.partition(': ')
            if field == 'id':
                position = int(value)
            elif field == 'data':
                return self._data(position, value)
        return None

    def _comment(
        self, values: dict[str, str]
    ) -> ty.Optional[failures.Failure]:
        self._answer.upstream = values.get('upstream', self._answer.upstream)
        if 'router' in values:
            self._answer.router = values['router']
            self._answer.routers.append(values['router'])
        if 'moved' in values:
            return failures.unavailable('moved', values['moved'])
        return None

    def _data(
        self, position: int, value: str
    ) -> ty.Optional[failures.Failure]:
        if value == '[DONE]':
            self._answer.complete = True
            return None
        data = json.loads(value)
        if 'error' in data:
            return _failure(data['error'])
        content = data['choices'][0]['delta'].get('content')
        if content is not None and position == len(self._answer.tokens) + 1:
            self._answer.tokens.append(content)
        return None


def _once(
    address: str, path: str, body: dict[str, ty.Any], silence_ms: int
) -> ty.Union[tuple[int, ty.Any], failures.Failure]:
    stream = http_client.Stream(address, _CONNECT_MS, silence_ms)
    try:
        if stream.connect() is not None:
            return failures.not_run('leaving_or_gone', address)
        status = stream.send('POST', path, body)
        if isinstance(status, failures.Failure):
            return failures.unavailable(status.reason, status.detail)
        data = stream.read_all()
        if isinstance(data, failures.Failure):
            return failures.unavailable('broke_off')
        if status >= 400:
            return _refusal(data, status)
        return status, json.loads(data or b'null')
    finally:
        stream.close()


def _refusal(
    data: ty.Union[bytes, failures.Failure], status: int
) -> failures.Failure:
    if isinstance(data, failures.Failure):
        return failures.unavailable('broke_off')
    try:
        return _failure(json.loads(data)['error'])
    except (ValueError, KeyError, TypeError):
        return failures.unavailable('bad_answer', str(status))


def _failure(error: dict[str, ty.Any]) -> failures.Failure:
    code = error['code']
    reason = error.get('reason', '')
    if code == 'moved':
        return failures.unavailable('moved', reason)
    known = [kind.value for kind in failures.FailureKind]
    kind = failures.FailureKind(code if code in known else 'unavailable')
    return failures.Failure(
        kind, reason, retry_after_ms=int(error.get('retry_after_ms', 0))
    )
