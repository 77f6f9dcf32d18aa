"""Steps for parts of prompts that crash upstreams."""

from __future__ import annotations

import itertools

from behave import given
from behave import then
from behave import when
import crash_steps
import helpers

from peridotmast import green
from peridotmast.platform import names

PATH = '/once/tag'
_numbers = itertools.count(1)


def send_prompt(router, *parts, path=PATH):
    """Send a request with shared parts; its own last part is new."""
    number = next(_numbers)
    prompt = ','.join([*(f'{part}:20' for part in parts), f'{number:x}:8'])
    return helpers.send_request(
        router.address,
        path,
        body=f'tag {number}'.encode(),
        headers=[(names.TOKEN_COUNTS, '60,4'), (names.PROMPT_PARTS, prompt)],
    )


def set_crash_part(context, part, guest):
    """Make a part crash an upstream, which is then replaced."""
    guest.upstream.app.crash_part = part

    def crash():
        context.crashed.append(guest.name)
        context.fleet.kill_upstream(guest)
        domain = guest.record.upstream.failure_domain
        set_crash_part(context, part, context.fleet.add_engine(domain))

    guest.upstream.app.on_crash = crash


@given('sound requests with the parts "{a}" and "{b}" have been answered')
@then(
    'sound requests with the parts "{a}" and "{b}" are answered at each router'
)
def send_sound_requests(context, a, b):
    for router in context.fleet.running_routers():
        answer = send_prompt(router, a, b)
        assert answer.status == 200 and answer.complete, answer


@given('the part "{part}" of a prompt crashes the upstream that runs it')
def crashing_part(context, part):
    context.crashed, context.answers = [], []
    for guest in helpers.guests(context):
        set_crash_part(context, part, guest)


@when(
    '{count:d} requests with the parts "{a}", "{b}" and "{c}" are sent, to'
    ' each router in turn'
)
def send_requests_in_turn(context, count, a, b, c):
    routers = context.fleet.running_routers()
    for router in itertools.islice(itertools.cycle(routers), count):
        context.answers.append(send_prompt(router, a, b, c))
        green.sleep_ms(crash_steps.PROPAGATION_MS)
