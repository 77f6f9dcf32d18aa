"""Steps for slots at brittle upstreams that stand still."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
import helpers

from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.standin import brittle_service

WORK_MS = 50
LIMIT = 3


@given(
    'a fleet of 1 routers with {count:d} brittle upstreams of {slots:d} slots'
)
def start_fleet(context, count, slots):
    helpers.start_fleet(context, routers=1, services=0)
    context.brittle_apps = {}
    for number in range(count):
        service = brittle_service.BrittleService(
            f'brittle-{number}', slots, 0, WORK_MS, LIMIT, 1000
        )
        context.fleet.add_upstream(
            service, context.fleet.domains[0], shape_.PLAIN_SERVICE, slots
        )
        context.brittle_apps[service.name] = service.app
    context.router = context.fleet.routers[0]

    def views():
        return context.router.upstream_table.live(shape_.PLAIN_SERVICE)

    helpers.wait_until(lambda: len(views()) == count, 'entries')
    context.views = {view.name: view for view in views()}
    for view in context.views.values():
        helpers.wait_until(lambda v=view: ask(context, v), 'an answer of each')


def ask(context, view):
    tasks = [
        green.spawn(helpers.send_request, context.router.address, '/pages/a')
        for _ in range(len(context.views))
    ]
    for task in tasks:
        task.wait()
    return view.stated_at


@when('all of them are silent for {ms:d} ms')
def silence_all(context, ms):
    for app in context.brittle_apps.values():
        app.be_silent(ms)


@when('"{name}" is silent for {ms:d} ms, and holds a request')
def silence_one(context, name, ms):
    context.silent = context.views[name]
    context.brittle_apps[name].be_silent(ms)
    context.tasks = []

    def holds_one():
        context.tasks.append(
            green.spawn(
                helpers.send_request, context.router.address, '/pages/a'
            )
        )
        green.sleep_ms(20)
        return context.silent.local_load.running

    helpers.wait_until(holds_one, 'a request at the silent upstream')


@when('{count:d} callers send a request and leave after {ms:d} ms')
def callers_leave(context, count, ms):
    conns = [helpers.raw_connect(context.router.address) for _ in range(count)]
    for number, conn in enumerate(conns):
        lines = (
            'POST /holds/a HTTP/1.1',
            f'Host: {shape_.HOST}',
            f'X-Request-Id: left-{number}',
            'X-Deadline-Ms: 8000',
            f'Authorization: {helpers.KEY}',
            'Content-Length: 1',
        )
        conn.sendall('\r\n'.join((*lines, '', 'a')).encode())
    green.sleep_ms(ms)
    for conn in conns:
        conn.close()
    green.sleep_ms(100)


@then('the next request is refused with 503')
def check_refused(context):
    answer = helpers.send_request(context.router.address, '/holds/a')
    assert answer.status == 503, answer


@then('a request is answered within {ms:d} ms, and none was refused there')
def check_goes_on(context, ms):
    def is_answered():
        answer = helpers.send_request(context.router.address, '/holds/a')
        return answer.status == 200

    helpers.wait_until(is_answered, 'an answer', ms)
    refused = [app.refusals for app in context.brittle_apps.values()]
    assert not any(refused), refused


@then('the request is answered elsewhere, and its slot stays taken')
def check_replaced(context):
    answers = [task.wait() for task in context.tasks]
    assert all(answer.status == 200 for answer in answers), answers
    assert context.silent.left_behind == 1, context.silent.left_behind


@then('within {ms:d} ms no slot is taken any more')
def check_freed(context, ms):
    helpers.wait_until(lambda: not context.silent.left_behind, 'free', ms)
