"""Steps for callers of the chat API."""

from __future__ import annotations

import json

from behave import then
from behave import when
import helpers
import raw_upstream

from peridotmast.client import caller
from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.load import oracle
from peridotmast.wire import http_client

PROMPT = 'Draft a reply about the late cake'


@when('a caller requests a streamed chat completion of {tokens:d} tokens')
def chat_streamed(context, tokens):
    context.tokens = tokens
    answer = context.fleet.caller('noor').chat(oracle.MODEL, PROMPT, tokens)
    assert answer.complete, answer
    context.received = answer.text


@when(
    'a caller requests a chat completion of {tokens:d} tokens in one response'
)
def chat_in_one_response(context, tokens):
    context.tokens = tokens
    body = {
        'model': oracle.MODEL,
        'messages': [{'role': 'user', 'content': PROMPT}],
        'max_tokens': tokens,
    }
    reply = post(context, '/v1/chat/completions', body)
    assert reply.status == 200, reply
    context.received = reply.json()['choices'][0]['message']['content']


def post(context, path, body):
    return http_client.HttpClient(8000).request(
        'POST',
        context.fleet.routers[0].chat_address,
        path,
        body,
        {'Authorization': helpers.KEY},
    )


@then('the caller receives the complete answer of the engine')
def receives_complete_answer(context):
    assert context.received == oracle.chat_text(PROMPT, context.tokens)


@when('a caller calls the service "{service}" with "{payload}"')
def call_service(context, service, payload):
    context.received = (
        context.fleet.caller('noor').call(service, 'hold', payload).text
    )


@then('the caller receives "{text}"')
def receives_text(context, text):
    assert context.received == text, context.received


@when('this is posted to "{path}"')
def post_body(context, path):
    context.reply = post(context, path, context.text.encode())


@then('the status is {status:d} and the reason contains "{reason}"')
def status_and_reason_are(context, status, reason):
    error = context.reply.json()['error']
    text = f'{error["code"]} {error["reason"]}'
    assert context.reply.status == status, context.reply
    assert reason in text, error
    assert error['not_run'] is True, error


@when(
    '{count:d} callers request {tokens:d} tokens each while an engine is '
    'killed'
)
def chats_with_engine_kill(context, count, tokens):
    context.tokens = tokens
    context.prompts = [f'{PROMPT} {number}' for number in range(count)]
    tasks = [
        green.spawn(
            context.fleet.caller('noor', seed).chat,
            oracle.MODEL,
            prompt,
            tokens,
        )
        for seed, prompt in enumerate(context.prompts)
    ]
    green.sleep_ms(300)
    busiest = max(
        helpers.guests(context, shape_.ENGINE_SERVICE),
        key=lambda guest: guest.upstream.app.in_progress,
    )
    context.fleet.kill_upstream(busiest)
    context.answers = [task.wait() for task in tasks]


@then('each caller receives the complete answer of the engine or an error')
def each_caller_receives_answer_or_error(context):
    for prompt, answer in zip(context.prompts, context.answers):
        expected = oracle.chat_text(prompt, context.tokens)
        if answer.failure is None:
            assert answer.text == expected, answer
        else:
            assert expected.startswith(answer.text), answer
    assert all(answer.complete for answer in context.answers)


@when(
    'a caller sends a non-idempotent chat of {tokens:d} tokens and its engine'
    ' is killed'
)
def chat_with_engine_kill(context, tokens):
    client = context.fleet.caller('noor')
    texts = []

    def on_text(text):
        texts.append(text)
        if len(texts) == 5:
            for guest in helpers.guests(context, shape_.ENGINE_SERVICE):
                if guest.upstream.app.in_progress:
                    context.fleet.kill_upstream(guest)

    context.answer = client.chat(
        oracle.MODEL, PROMPT, tokens, idempotent=False, on_text=on_text
    )


@then('the caller gets an error and the request ran once')
def caller_gets_error_and_one_run(context):
    answer = context.answer
    assert answer.failure is not None and not answer.complete, answer
    ids = [attempt.request_id for attempt in answer.attempts]
    assert len(ids) == 1, ids
    assert helpers.run_count(context, ids[0]) == 1


@then('the reply is JSON')
def reply_is_json(context):
    json.loads(context.reply.body)


@when('all engines fail every request')
def all_engines_fail(context):
    for guest in context.fleet.running_upstreams(shape_.ENGINE_SERVICE):
        guest.upstream.app.faults = {'error': 1.0}


@when('a caller sends a non-idempotent chat of {tokens:d} tokens')
def chat_non_idempotent(context, tokens):
    context.answer = context.fleet.caller('noor').chat(
        oracle.MODEL, PROMPT, tokens, idempotent=False, deadline_ms=3000
    )


@then('the caller is told that the engine failed')
def caller_told_engine_failed(context):
    assert not context.answer.complete, context.answer
    assert context.answer.failure.reason == 'engine_failed: 500'
    [attempt] = context.answer.attempts
    assert attempt.status == 504, attempt


@when('a caller is told of only one router, which then stops')
def stop_only_listed_router(context):
    fleet = context.fleet
    context.caller = fleet.caller('noor', 1)
    first = fleet.routers[0]
    # A beacon received now would add the other router again.
    first.beacons.stop()
    for peer in list(first.members.peers()):
        first.members._peers.pop(peer.member.name)
    context.caller._addresses = [first.chat_address]
    assert context.caller.resolve() == [first.chat_address]
    context.caller._resolved_at -= 2000
    first.stop()


@then('the other router answers the caller')
def other_router_answers(context):
    answer = context.caller.chat(oracle.MODEL, PROMPT, 4, deadline_ms=3000)
    assert answer.complete, answer
    other = context.fleet.routers[1].chat_address
    assert answer.attempts[-1].address == other, answer.attempts


class ScriptedRouter:
    """A router of the chat API whose first answer breaks off.

    Parameters
    ----------
    second : str
        Words of the second answer, separated by blanks, or ``status N``.
    """

    def __init__(self, second):
        self._second = second
        self._chats = 0
        self._router = raw_upstream.RawUpstream(self._answer)
        self.address = self._router.address
        self.stop = self._router.stop

    def _answer(self, sock, request_id, number):
        if self._router.requests[-1].startswith(b'GET /resolve'):
            body = json.dumps({'addresses': [self.address]}).encode()
            sock.sendall(response(200, body))
            return True
        self._chats += 1
        if self._chats == 1:
            sock.sendall(response(200) + chat_events('a b'))
            return False
        name, _, status = self._second.partition(' ')
        if name == 'status':
            error = json.dumps({'error': {'reason': 'no_route'}}).encode()
            sock.sendall(response(int(status), error))
            return False
        sock.sendall(response(200) + chat_events(self._second))
        sock.sendall(b'data: [DONE]\n\n')
        return False


def response(status, body=None):
    """Return a response; without a body, the head of a stream."""
    length = b'' if body is None else b'Content-Length: %d\r\n' % len(body)
    return b'HTTP/1.1 %d X\r\n%s\r\n%s' % (status, length, body or b'')


def chat_events(text):
    """Return an event for each word of a text."""
    return b''.join(
        b'data: %s\n\n'
        % json.dumps(
            {'choices': [{'delta': {'content': f'{word} '}}]}
        ).encode()
        for word in text.split()
    )


@then('a caller whose first attempt brings "a b " receives')
def caller_receives_one_answer(context):
    found = []
    for row in context.table:
        router = ScriptedRouter(row['second attempt'])
        context.closing.append(router.stop)
        passed_on = []
        answer = caller.Caller([router.address], 'key-noor').chat(
            oracle.MODEL, PROMPT, 3, deadline_ms=3000, on_text=passed_on.append
        )
        text = ''.join(passed_on)
        assert answer.text == text, (answer, text)
        assert len(answer.arrivals) == len(passed_on), answer
        assert answer.complete is (answer.failure is None), answer
        failure = answer.failure
        result = 'complete' if failure is None else failure.reason
        found.append([row['second attempt'], text.strip(), result])
    assert found == [row.cells for row in context.table], found
