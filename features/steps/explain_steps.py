"""Steps of explanations from logs."""

from __future__ import annotations

import itertools
import os

from behave import given
from behave import then

from peridotmast.load import explain

TARGET_MS = 600
STAMP = '2026-03-15T06:00:{:02}.000000Z'


def line(context, event, request, **values):
    number = next(context.numbers)
    pairs = ' '.join(f'{name}={value}' for name, value in values.items())
    stamp = STAMP.format(number % 60)
    context.lines.append(
        f'timestamp={stamp} level=info event={event} program=request '
        f'request={request} {pairs}'
    )


def attempt(context, request, **values):
    given_ = {
        'upstream': 'u-1',
        'home': 'False',
        'running': 0,
        'slots': 64,
        'unread': 0,
        'tokens': 3000,
        'shared': 0,
        'outcome': 200,
    }
    line(context, 'attempt', request, route='chat', **{**given_, **values})


def answered(context, request, first_ms, status=200):
    line(
        context,
        'answered',
        request,
        route='chat',
        status=status,
        first_ms=first_ms,
        target_ms=TARGET_MS,
    )


@given(
    'a log of {count:d} requests that idle engines read at {speed:d} tokens a'
    ' ms'
)
def log_of(context, count, speed):
    context.lines = []
    context.numbers = itertools.count()
    for number in range(count):
        attempt(context, f'r-{number}')
        answered(context, f'r-{number}', 3000 // speed)


WHAT = {
    'a refusal': lambda c: line(c, 'refused', 'odd', reason='team_limit'),
    'a stream that broke': lambda c: (
        attempt(c, 'odd'),
        line(c, 'stream_broke', 'odd', upstream='u-1'),
    ),
    'an answer of 500': lambda c: (
        attempt(c, 'odd', outcome=500),
        answered(c, 'odd', 50, status=500),
    ),
    'two attempts and a first event after 900 ms': lambda c: (
        attempt(c, 'odd', outcome='silent'),
        attempt(c, 'odd', upstream='u-2'),
        answered(c, 'odd', 900),
    ),
    '64 of 64 places taken and a first event after 900 ms': lambda c: (
        attempt(c, 'odd', running=64),
        answered(c, 'odd', 900),
    ),
    '20000 tokens of its own and a first event after 900 ms': lambda c: (
        attempt(c, 'odd', tokens=20000),
        answered(c, 'odd', 900),
    ),
    '15000 tokens before it and a first event after 900 ms': lambda c: (
        attempt(c, 'odd', unread=15000, tokens=500),
        answered(c, 'odd', 900),
    ),
    'an engine that reads 5 tokens a ms and a first event after 900 ms': (
        lambda c: (
            [
                (
                    attempt(c, f's-{n}', upstream='slow', tokens=1000),
                    answered(c, f's-{n}', 200),
                )
                for n in range(6)
            ],
            attempt(c, 'odd', upstream='slow', tokens=4500),
            answered(c, 'odd', 900),
        )
    ),
    'nothing before it and a first event after 900 ms': lambda c: (
        attempt(c, 'odd', tokens=500),
        answered(c, 'odd', 900),
    ),
}


@given('one more request with {what}')
def one_more(context, what):
    WHAT[what](context)


def explained(context):
    path = os.path.join(context.folder, 'router.log')
    with open(path, 'w', encoding='utf-8') as file:
        file.write('\n'.join([*context.lines, 'a line of no event']))
    return explain.run([path], context.folder)


@then('it is explained as {cause}')
def is_explained(context, cause):
    found = explained(context)
    assert any(row.startswith(cause) for row in found), found
    assert os.path.exists(os.path.join(context.folder, 'losses.png'))


@then('nothing is explained, and the table says {count:d} requests')
def nothing_explained(context, count):
    found = explained(context)
    assert found[0] == f'{count} requests, 0 late or lost', found
