"""Steps for explanations of late and failed requests from logs."""

from __future__ import annotations

import itertools
import os

from behave import given
from behave import then

from peridotmast.load import explain

TARGET_MS = 600
TIMESTAMP = '2026-03-15T06:00:{:02}.000000Z'


def add_line(context, event, request, **values):
    number = next(context.numbers)
    pairs = ' '.join(f'{name}={value}' for name, value in values.items())
    timestamp = TIMESTAMP.format(number % 60)
    context.lines.append(
        f'timestamp={timestamp} level=info event={event} program=request '
        f'request={request} {pairs}'
    )


def add_attempt(context, request, **values):
    defaults = {
        'upstream': 'u-1',
        'home': 'False',
        'running': 0,
        'slots': 64,
        'unread': 0,
        'tokens': 3000,
        'shared': 0,
        'outcome': 200,
    }
    add_line(
        context, 'attempt', request, route='chat', **{**defaults, **values}
    )


def add_answer(context, request, first_ms, status=200):
    add_line(
        context,
        'answered',
        request,
        route='chat',
        status=status,
        first_ms=first_ms,
        target_ms=TARGET_MS,
    )


@given(
    'a log of {count:d} requests whose prompts idle engines read at {speed:d}'
    ' tokens per ms'
)
def make_log(context, count, speed):
    context.lines = []
    context.numbers = itertools.count()
    for number in range(count):
        add_attempt(context, f'r-{number}')
        add_answer(context, f'r-{number}', 3000 // speed)


LOG_EVENTS = {
    'a refusal': lambda c: add_line(c, 'refused', 'last', reason='team_limit'),
    'a broken stream': lambda c: (
        add_attempt(c, 'last'),
        add_line(c, 'stream_broke', 'last', upstream='u-1'),
    ),
    'a stream whose version is gone': lambda c: (
        add_attempt(c, 'last'),
        add_line(c, 'stream_broke', 'last', reason='broke_off'),
        add_line(c, 'answer_broken', 'last', reason='no_version'),
    ),
    'a stream of unknown version': lambda c: add_line(
        c, 'refused', 'last', reason='version_unknown'
    ),
    'a response with status 500': lambda c: (
        add_attempt(c, 'last', outcome=500),
        add_answer(c, 'last', 50, status=500),
    ),
    'two attempts and a first event after 900 ms': lambda c: (
        add_attempt(c, 'last', outcome='silent'),
        add_attempt(c, 'last', upstream='u-2'),
        add_answer(c, 'last', 900),
    ),
    '64 of 64 slots in use and a first event after 900 ms': lambda c: (
        add_attempt(c, 'last', running=64),
        add_answer(c, 'last', 900),
    ),
    'a prompt of 20000 tokens and a first event after 900 ms': lambda c: (
        add_attempt(c, 'last', tokens=20000),
        add_answer(c, 'last', 900),
    ),
    'a backlog of 15000 tokens and a first event after 900 ms': lambda c: (
        add_attempt(c, 'last', unread=15000, tokens=500),
        add_answer(c, 'last', 900),
    ),
    'an engine that reads 5 tokens per ms and a first event after 900 ms': (
        lambda c: (
            [
                (
                    add_attempt(c, f's-{n}', upstream='slow', tokens=1000),
                    add_answer(c, f's-{n}', 200),
                )
                for n in range(6)
            ],
            add_attempt(c, 'last', upstream='slow', tokens=4500),
            add_answer(c, 'last', 900),
        )
    ),
    'no backlog and a first event after 900 ms': lambda c: (
        add_attempt(c, 'last', tokens=500),
        add_answer(c, 'last', 900),
    ),
}


@given('one more request with {event}')
def add_request(context, event):
    LOG_EVENTS[event](context)


def explain_log(context):
    path = os.path.join(context.folder, 'router.log')
    with open(path, 'w', encoding='utf-8') as file:
        file.write('\n'.join([*context.lines, 'a line without an event']))
    return explain.run([path], context.folder)


@then('that request is explained as {cause}')
def check_cause(context, cause):
    lines = explain_log(context)
    assert any(row.startswith(cause) for row in lines), lines
    assert os.path.exists(os.path.join(context.folder, 'losses.png'))


@then('no request is explained, and the table counts {count:d} requests')
def check_no_cause(context, count):
    lines = explain_log(context)
    assert lines[0] == f'{count} requests, 0 late or failed', lines
