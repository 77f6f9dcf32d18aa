"""A caller of the chat API, for load and tests: resolves, asks, comes back."""

from __future__ import annotations

import dataclasses
import json
import random
import typing as ty
import uuid

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import green
from peridotmast.wire import connection as connection_
from peridotmast.wire import http_client

_KEEP_MS = 1000
_CONNECT_MS = 500
_REFUSED = frozenset((408, 421, 429, 503))
_DEFAULT_WAIT_MS = 200


@dataclasses.dataclass
class Attempt:
    """One request that was sent."""

    request_id: str
    address: str
    status: int = 0
    """0 where no answer came."""
    ended_at: int = 0
    """When its answer ended, one way or another, in ms."""
    error_reported: bool = False
    """Whether the router said why there is no whole answer; else its
    connection just ended."""


@dataclasses.dataclass
class Answer:
    """What came of asking."""

    text: str = ''
    """The answer, as far as it came."""
    complete: bool = False
    """Whether it came to its end."""
    failure: ty.Optional[failures.Failure] = None
    """Why it did not."""
    started_at: int = 0
    """When it was asked for, in ms."""
    arrivals: list[int] = dataclasses.field(default_factory=list)
    """When each event came, in ms."""
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    """What was sent for it."""


class Caller:
    """Asks any of the routers that the fleet names.

    A refusal is taken at its word and asked again when it says; so is a
    connection that could not be opened. What may have run is asked again
    only where it may repeat.

    Parameters
    ----------
    addresses : sequence of str
        Chat addresses to begin with.
    key : str
        Key of the team.
    failure_domain : str
        The caller's own, so that near routers come first.
    seed : int, optional
        Seed of its choices and of its requests' ids. Without one they are
        no other caller's.
    """

    def __init__(
        self,
        addresses: ty.Sequence[str],
        key: str,
        failure_domain: str = '',
        seed: ty.Optional[int] = None,
    ) -> None:
        self._first = list(addresses)
        self._addresses = self._first
        self._key = key
        self._domain = failure_domain
        self._clock = clock_.SystemClock()
        self._calls = http_client.HttpClient(1000, self._clock)
        self._choice = random.Random(seed)
        self._resolved_at = -_KEEP_MS

    def resolve(self) -> list[str]:
        """Ask which routers to use; keep the answer for a while.

        Where none of them answers, those to begin with are asked: one that
        has just started may have known of nobody else.
        """
        now = self._clock.now()
        if now - self._resolved_at < _KEEP_MS:
            return self._addresses
        known = self._choice.sample(self._addresses, len(self._addresses))
        for address in dict.fromkeys([*known, *self._first]):
            reply = self._calls.request(
                'GET', address, f'/resolve?failure_domain={self._domain}'
            )
            if isinstance(reply, failures.Failure) or reply.status != 200:
                continue
            found = reply.json()['addresses']
            if found:
                self._addresses = found
                self._resolved_at = now
                break
        return self._addresses

    def chat(
        self,
        model: str,
        prompt: str,
        max_tokens: int,
        work: str = 'interactive',
        idempotent: bool = True,
        deadline_ms: int = 20_000,
        on_text: ty.Callable[[str], None] = lambda text: None,
    ) -> Answer:
        """Ask a model and read its answer as it streams."""
        body = {
            'model': model,
            'messages': [{'role': 'user', 'content': prompt}],
            'max_tokens': max_tokens,
            'stream': True,
            'work': work,
            'idempotent': idempotent,
        }
        return self._ask(
            '/v1/chat/completions', body, idempotent, deadline_ms, on_text
        )

    def call(
        self,
        service: str,
        name: str,
        payload: str,
        idempotent: bool = False,
        deadline_ms: int = 8000,
    ) -> Answer:
        """Ask a plain service."""
        body = {'payload': payload, 'idempotent': idempotent}
        path = f'/v1/services/{service}/{name}'
        return self._ask(path, body, idempotent, deadline_ms, None)

    def _ask(
        self,
        path: str,
        body: dict[str, ty.Any],
        may_repeat: bool,
        deadline_ms: int,
        on_text: ty.Optional[ty.Callable[[str], None]],
    ) -> Answer:
        answer = Answer(started_at=self._clock.now())
        deadline = answer.started_at + deadline_ms
        while True:
            answer.text, answer.failure = '', None
            self._attempt(path, body, deadline, answer, on_text)
            failure = answer.failure
            if failure is None:
                return answer
            safe = failure.kind is failures.FailureKind.NOT_RUN
            wait = failure.retry_after_ms or _DEFAULT_WAIT_MS
            left = deadline - self._clock.now()
            final = failure.kind is failures.FailureKind.INVALID
            if final or wait >= left or not (safe or may_repeat):
                return answer
            green.sleep_ms(wait)

    def _attempt(
        self,
        path: str,
        body: dict[str, ty.Any],
        deadline: int,
        answer: Answer,
        on_text: ty.Optional[ty.Callable[[str], None]],
    ) -> None:
        attempt = Attempt(
            uuid.UUID(int=self._choice.getrandbits(128)).hex,
            self._choice.choice(self.resolve()),
        )
        answer.attempts.append(attempt)
        conn = connection_.Connection(attempt.address, self._clock)
        failure = conn.connect(_CONNECT_MS)
        if failure is None:
            left = deadline - self._clock.now()
            sent = {**body, 'request_id': attempt.request_id}
            sent['deadline_ms'] = max(1, left)
            failure = conn.send(
                'POST',
                path,
                [
                    ('Host', attempt.address),
                    ('Authorization', f'Bearer {self._key}'),
                ],
                json.dumps(sent).encode(),
                deadline,
            )
        if failure is None:
            failure = self._read(conn, deadline, attempt, answer, on_text)
        conn.close()
        attempt.ended_at = self._clock.now()
        answer.failure = failure
        self._resolved_at -= _KEEP_MS if failure is not None else 0

    def _read(
        self,
        conn: connection_.Connection,
        deadline: int,
        attempt: Attempt,
        answer: Answer,
        on_text: ty.Optional[ty.Callable[[str], None]],
    ) -> ty.Optional[failures.Failure]:
        head = conn.read_head('POST', deadline)
        if isinstance(head, failures.Failure):
            return head
        attempt.status = head.status
        if head.status != 200 or on_text is None:
            whole = conn.read_all(deadline, 1 << 20)
            if isinstance(whole, failures.Failure):
                return whole
            if head.status == 200:
                answer.text, answer.complete = whole.decode(), True
                answer.arrivals = [self._clock.now()]
                return None
            attempt.error_reported = True
            return _refusal(head, whole)
        return self._read_events(conn, deadline, attempt, answer, on_text)

    def _read_events(
        self,
        conn: connection_.Connection,
        deadline: int,
        attempt: Attempt,
        answer: Answer,
        on_text: ty.Callable[[str], None],
    ) -> ty.Optional[failures.Failure]:
        rest = b''
        while True:
            data = conn.read_some(deadline)
            if isinstance(data, failures.Failure):
                return data
            if not data:
                return failures.unknown('broke_off', 'no end was marked')
            *events, rest = (rest + data).split(b'\n\n')
            for event in events:
                line = event.partition(b'data: ')[2]
                if line == b'[DONE]':
                    answer.complete = True
                    return None
                chunk = json.loads(line)
                if 'error' in chunk:
                    attempt.error_reported = True
                    return failures.unknown(chunk['error']['reason'])
                text = chunk['choices'][0]['delta'].get('content', '')
                answer.text += text
                if text:
                    answer.arrivals.append(self._clock.now())
                    on_text(text)


def _refusal(head: connection_.ResponseHead, body: bytes) -> failures.Failure:
    try:
        reason = json.loads(body)['error']['reason']
    except (ValueError, KeyError, TypeError):
        reason = str(head.status)
    if head.status in _REFUSED:
        wait = float(head.get('Retry-After') or 0) * 1000
        return failures.not_run(reason, '', int(wait))
    if 400 <= head.status < 500:
        return failures.invalid(reason)
    return failures.unknown(reason)
