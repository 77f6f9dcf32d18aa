"""Steps for upstreams that stop in the middle of an answer's head."""

from __future__ import annotations

import itertools
import types

from behave import given
from behave import then
from behave import when
import helpers
import promise_model
import raw_upstream

from peridotmast.embedded import shape as shape_
from peridotmast.embedded import upstream_cut
from peridotmast import green
from peridotmast.platform import names
from peridotmast.schema import peridotmast_pb2 as pb

INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
RESETS = (False, True)
VERSION = 'v1'
BEGUN = 'begun'
"""Id of a stream that has begun at this version."""
STEP = 3
"""Bytes from one cut to the next; ends of lines are cut at each byte."""


class CuttingUpstream:
    """Sends a part of a head, and closes or resets the connection."""

    def __init__(self, service):
        self.service = service
        self.before = b''
        self.cut_at = 0
        self.resets = False
        self.upstream = raw_upstream.RawUpstream(self.answer)

    def head(self, request_id):
        kind = 'text/event-stream' if self.is_stream else 'text/plain'
        frame = (
            'Transfer-Encoding: chunked'
            if self.is_stream
            else 'Content-Length: 5'
        )
        lines = (
            'HTTP/1.1 200 OK',
            f'{names.REQUEST_ID}: {request_id}',
            f'{names.SEAL}: raw.1',
            f'Content-Type: {kind}',
            frame,
        )
        return ('\r\n'.join(lines) + '\r\n\r\n').encode()

    @property
    def is_stream(self):
        return self.service == shape_.ENGINE_SERVICE

    def cuts(self):
        """Return the places at which the head is cut."""
        head = self.head('cut-000')
        return [
            place
            for place in range(1, len(head))
            if place % STEP == 0 or b'\r' in head[place - 2 : place + 2]
        ]

    def answer(self, sock, request_id, number):
        sock.sendall(self.before + self.head(request_id)[: self.cut_at])
        if self.resets:
            promise_model.reset(sock)
        return False


@given('a fleet of {count:d} routers, and an upstream that cuts its heads')
def start_cutting(context, count):
    helpers.start_fleet(context, routers=count, engines=0, services=1)
    for guest in helpers.guests(context):
        context.fleet.kill_upstream(guest)
    context.cutting = [
        CuttingUpstream(shape_.PLAIN_SERVICE),
        CuttingUpstream(shape_.ENGINE_SERVICE),
    ]
    for cutting in context.cutting:
        context.closing.append(cutting.upstream.stop)
        cutting.upstream.register(
            context.fleet, cutting.service, f'cut-{cutting.service}', VERSION
        )
    begin_stream(context.fleet.routers[0])
    for router in context.fleet.routers:
        table = router.upstream_table
        helpers.wait_until(
            lambda t=table: all(
                [view.name for view in t.live(c.service)]
                == [f'cut-{c.service}']
                for c in context.cutting
            ),
            'entries',
        )
    if count > 1:
        cut = upstream_cut.UpstreamCut(context.fleet.routers[0])
        context.closing.append(cut.close)
        addresses = [c.upstream.address for c in context.cutting]
        cut.begin(upstream_cut.CutMode.REFUSED, addresses)


def begin_stream(router):
    """Let a router know of a stream that has begun."""
    route = pb.Route(timeout_ms=60_000, resumable=True)
    exchange = types.SimpleNamespace(
        id=BEGUN, resumes=None, team='noor', route=route
    )
    router.serving.stream_versions.begin(
        exchange, shape_.ENGINE_SERVICE, VERSION
    )


WAYS = {
    'requests that may run once': ('POST', '/holds/a', ()),
    'idempotent requests': ('POST', '/pages/a', ()),
    'HEAD requests': ('HEAD', '/pages/a', ()),
    'streams': ('POST', '/chat/a', ()),
    'streams that are taken up': (
        'POST',
        '/chat/a',
        ((names.LAST_EVENT, '3'), ('Resumes', BEGUN)),
    ),
    'requests through a peer': ('POST', '/holds/a', ()),
    'streams through a peer': ('POST', '/chat/a', ()),
}


@when('{way} are sent, and the head is cut at each byte, after {before}')
def send_cut(context, way, before):
    method, path, headers = WAYS[way]
    context.answers, number = [], itertools.count()
    cutting = context.cutting[path.startswith('/chat')]
    cutting.before = INTERIM if before == 'an interim response' else b''
    for cut_at, resets in itertools.product(cutting.cuts(), RESETS):
        cutting.cut_at, cutting.resets = cut_at, resets
        context.answers.append(
            helpers.send_request(
                context.fleet.routers[0].address,
                path,
                method,
                b'' if method == 'HEAD' else b'body %d' % next(number),
                [(names.TOKEN_COUNTS, '64,10'), *headers],
                deadline_ms=3000,
                request_id=f'cut-{next(number):03}',
            )
        )
        green.sleep_ms(0)


@then('no caller gets a success, and all get an answer or a broken connection')
def check_no_success(context):
    assert len(context.answers) > 50, len(context.answers)
    successes = [a for a in context.answers if 200 <= a.status < 300]
    assert not successes, (len(successes), successes[:2])
    statuses = {a.status for a in context.answers}
    assert statuses <= {0, 502, 503, 504}, statuses
    assert 502 in statuses, statuses
