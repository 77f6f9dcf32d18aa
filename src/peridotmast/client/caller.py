"""Client of the chat API for load tests: finds routers, sends, retries."""

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

_CACHE_MS = 1000
_CONNECT_MS = 500
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_DEFAULT_RETRY_MS = 200

ANOTHER_ANSWER = 'another_answer'
"""Failure reason: an attempt does not begin with the text received so far."""


@dataclasses.dataclass
class Attempt:
    """One request sent to a router."""

    request_id: str
    address: str
    started_at: int = 0
    """Time at which the attempt began, in ms."""
    status: int = 0
    """Status of the response; 0 if there was none."""
    ended_at: int = 0
    """Time at which the attempt ended, successful or not, in ms."""
    error_reported: bool = False
    """Whether the router reported why the response is incomplete; otherwise
    the connection ended without a reason."""
    text: str = ''
    """Text of the events that the attempt has received."""


@dataclasses.dataclass
class Answer:
    """Result of a call, over all its attempts."""

    text: str = ''
    """Text received so far, over all attempts; never taken back."""
    complete: bool = False
    """Whether the response was received completely."""
    failure: ty.Optional[failures.Failure] = None
    """Why the response is incomplete; None if it is complete."""
    started_at: int = 0
    """Time at which the call started, in ms."""
    arrivals: list[int] = dataclasses.field(default_factory=list)
    """Arrival time of each event with new text, in ms."""
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    """Attempts in the order in which they were sent."""


class Caller:
    """Sends each request to a random router of those that the fleet lists.

    A refused request did not run and is retried after the retry time that the
    refusal states. A request whose connection could not be opened did not run
    either and is retried. A request that may have run is retried only if it
    is idempotent.

    A repeated chat begins anew. Its text is received only from where the text
    of the earlier attempts ends, and only if it begins with that text.

    Parameters
    ----------
    addresses : sequence of str
        Chat addresses of the initial routers.
    key : str
        API key of the team.
    failure_domain : str
        Failure domain of the caller, whose routers are listed first.
    seed : int, optional
        Seed of the choice of routers and of the request ids. Without a seed
        both are random.
    """

    def __init__(
        self,
        addresses: ty.Sequence[str],
        key: str,
        failure_domain: str = '',
        seed: ty.Optional[int] = None,
    ) -> None:
        self._initial = list(addresses)
        self._addresses = self._initial
        self._key = key
        self._failure_domain = failure_domain
        self._clock = clock_.SystemClock()
        self._calls = http_client.HttpClient(1000, self._clock)
        self._random = random.Random(seed)
        self._resolved_at = -_CACHE_MS

    def resolve(self) -> list[str]:
        """Return the routers to use; the list is cached for `_CACHE_MS`.

        If no known router answers, the initial routers are asked: the last
        list may come from a router that had just started and knew no other.
        """
        now = self._clock.now()
        if now - self._resolved_at < _CACHE_MS:
            return self._addresses
        candidates = self._random.sample(self._addresses, len(self._addresses))
        for address in dict.fromkeys([*candidates, *self._initial]):
            reply = self._calls.request(
                'GET',
                address,
                f'/resolve?failure_domain={self._failure_domain}',
            )
            if isinstance(reply, failures.Failure) or reply.status != 200:
                continue
            addresses = reply.json()['addresses']
            if addresses:
                self._addresses = addresses
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
        """Send a prompt to a model and read the streamed response."""
        body = {
            'model': model,
            'messages': [{'role': 'user', 'content': prompt}],
            'max_tokens': max_tokens,
            'stream': True,
            'work': work,
            'idempotent': idempotent,
        }
        return self._call(
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
        """Call a service that is not a model engine."""
        body = {'payload': payload, 'idempotent': idempotent}
        path = f'/v1/services/{service}/{name}'
        return self._call(path, body, idempotent, deadline_ms, None)

    def _call(
        self,
        path: str,
        body: dict[str, ty.Any],
        is_idempotent: bool,
        deadline_ms: int,
        on_text: ty.Optional[ty.Callable[[str], None]],
    ) -> Answer:
        answer = Answer(started_at=self._clock.now())
        deadline = answer.started_at + deadline_ms
        while True:
            answer.failure = None
            self._attempt(path, body, deadline, answer, on_text)
            failure = answer.failure
            if failure is None:
                return answer
            not_run = failure.kind is failures.FailureKind.NOT_RUN
            wait_ms = failure.retry_after_ms or _DEFAULT_RETRY_MS
            left_ms = deadline - self._clock.now()
            final = (
                failure.kind is failures.FailureKind.INVALID
                or failure.reason == ANOTHER_ANSWER
            )
            if final or wait_ms >= left_ms or not (not_run or is_idempotent):
                return answer
            green.sleep_ms(wait_ms)

    def _attempt(
        self,
        path: str,
        body: dict[str, ty.Any],
        deadline: int,
        answer: Answer,
        on_text: ty.Optional[ty.Callable[[str], None]],
    ) -> None:
        attempt = Attempt(
            uuid.UUID(int=self._random.getrandbits(128)).hex,
            self._random.choice(self.resolve()),
            self._clock.now(),
        )
        answer.attempts.append(attempt)
        conn = connection_.Connection(attempt.address, self._clock)
        failure = conn.connect(_CONNECT_MS)
        if failure is None:
            left_ms = deadline - self._clock.now()
            request = {**body, 'request_id': attempt.request_id}
            request['deadline_ms'] = max(1, left_ms)
            failure = conn.send(
                'POST',
                path,
                [
                    ('Host', attempt.address),
                    ('Authorization', f'Bearer {self._key}'),
                ],
                json.dumps(request).encode(),
                deadline,
            )
        if failure is None:
            failure = self._read(conn, deadline, attempt, answer, on_text)
        conn.close()
        attempt.ended_at = self._clock.now()
        answer.failure = failure
        self._resolved_at -= _CACHE_MS if failure is not None else 0

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
            content = conn.read_all(deadline, 1 << 20)
            if isinstance(content, failures.Failure):
                return content
            if head.status == 200:
                answer.text, answer.complete = content.decode(), True
                answer.arrivals = [self._clock.now()]
                return None
            attempt.error_reported = True
            return _refusal(head, content)
        return self._read_events(conn, deadline, attempt, answer, on_text)

    def _read_events(
        self,
        conn: connection_.Connection,
        deadline: int,
        attempt: Attempt,
        answer: Answer,
        on_text: ty.Callable[[str], None],
    ) -> ty.Optional[failures.Failure]:
        buffer = b''
        while True:
            data = conn.read_some(deadline)
            if isinstance(data, failures.Failure):
                return data
            if not data:
                return failures.unknown(
                    'broke_off', 'stream ended without [DONE]'
                )
            *events, buffer = (buffer + data).split(b'\n\n')
            for event in events:
                line = event.partition(b'data: ')[2]
                if line == b'[DONE]':
                    if len(attempt.text) < len(answer.text):
                        return failures.unknown(ANOTHER_ANSWER, 'shorter')
                    answer.complete = True
                    return None
                chunk = json.loads(line)
                if 'error' in chunk:
                    attempt.error_reported = True
                    return failures.unknown(chunk['error']['reason'])
                text = chunk['choices'][0]['delta'].get('content', '')
                position = len(attempt.text)
                attempt.text += text
                known = answer.text[position : position + len(text)]
                if not text.startswith(known):
                    return failures.unknown(ANOTHER_ANSWER, 'differs')
                new_text = text[len(known) :]
                if new_text:
                    answer.text += new_text
                    answer.arrivals.append(self._clock.now())
                    on_text(new_text)


def _refusal(head: connection_.ResponseHead, body: bytes) -> failures.Failure:
    try:
        reason = json.loads(body)['error']['reason']
    except (ValueError, KeyError, TypeError):
        reason = str(head.status)
    if head.status in _NOT_RUN_STATUSES:
        wait_ms = float(head.get('Retry-After') or 0) * 1000
        return failures.not_run(reason, '', int(wait_ms))
    if 400 <= head.status < 500:
        return failures.invalid(reason)
    return failures.unknown(reason)
