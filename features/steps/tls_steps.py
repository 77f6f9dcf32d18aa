"""Steps of certificates and what they allow."""

from __future__ import annotations

import os

from behave import given
from behave import then
from behave import when
import helpers
import trustme

from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import shape as shape_
from peridotmast import failures
from peridotmast import ini
from peridotmast import rpc
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.schema import peridotmast_pb2_grpc as pb_grpc

ROUTERS = 'router.peridotmast'
CALL_MS = 3000

CALLS = {
    'Join': pb.JoinRequest(member=pb.Member(name='anna', incarnation=1)),
    'FetchConfig': pb.ConfigRequest(),
    'FetchUpstreams': pb.UpstreamsRequest(),
    'FetchRequest': pb.RequestShowRequest(request_id='x'),
}


def certified(context, name, *others):
    """Return the settings of one who has a certificate."""
    files = {
        part: os.path.join(context.folder, f'{name}-{len(others)}.{part}')
        for part in ('crt', 'key', 'ca')
    }
    cert = context.authority.issue_cert('127.0.0.1', *others, common_name=name)
    cert.cert_chain_pems[0].write_to_path(files['crt'])
    cert.private_key_pem.write_to_path(files['key'])
    context.authority.cert_pem.write_to_path(files['ca'])
    return ini.defaults(
        pb.TlsSettings,
        cert_file=files['crt'],
        key_file=files['key'],
        ca_file=files['ca'],
    )


class _CertifiedFleet(fleet_.Fleet):
    """A fleet whose routers have certificates."""

    def router_file(self, name, **settings):
        file = super().router_file(name, **settings)
        file.tls.CopyFrom(certified(self.context, name, ROUTERS))
        return file


@given('{count:d} routers with certificates of routers')
def certified_routers(context, count):
    context.authority = trustme.CA()
    shape = shape_.FleetShape(routers=count, router={'fatal_invariants': True})
    context.fleet = _CertifiedFleet(shape, seed=7)
    context.fleet.context = context
    context.fleet.start()


@then('each has heard of the other by a call')
def heard_by_call(context):
    first, second = context.fleet.routers
    news = [
        router._catch_up.fetch_upstreams(other.peer_address)
        for router, other in ((first, second), (second, first))
    ]
    assert news == [False, False], news
    reply = first._peers.call(
        second.peer_address, 'FetchConfig', pb.ConfigRequest(), CALL_MS
    )
    assert not isinstance(reply, failures.Failure), reply


def client(context, stub, name):
    made = rpc.RpcClient(stub, certified(context, name))
    context.closing.append(made.close)
    return made


@when(
    '"{name}" calls Join, FetchConfig, FetchUpstreams and FetchRequest with an'
    " operator's certificate"
)
def calls_peers(context, name):
    peers = client(context, pb_grpc.PeerStub, name)
    address = context.fleet.routers[0].peer_address
    context.replies = [
        peers.call(address, method, request, CALL_MS)
        for method, request in CALLS.items()
    ]


@then('each call is denied and no router "{name}" is known')
def denied_and_unknown(context, name):
    for reply in context.replies:
        assert isinstance(reply, failures.Failure), reply
        assert reply.reason == 'permission_denied', reply
    for router in context.fleet.routers:
        assert router.members.get(name) is None


@given('a document in which "{name}" may read')
def may_read(context, name):
    document = f'{shape_.DOCUMENT}\n[operator {name}]\nmay = read\n'
    version = context.fleet.write_document(document)
    helpers.wait_until(
        lambda: all(
            router.config.product.version >= version
            for router in context.fleet.routers
        ),
        'the document is in force',
    )


@when('"{name}" asks for the status with an operator\'s certificate')
def asks_status(context, name):
    operators = client(context, pb_grpc.OperatorsStub, name)
    context.reply = operators.call(
        context.fleet.routers[0].peer_address,
        'ConfigStatus',
        pb.ConfigStatusRequest(),
        CALL_MS,
    )


@then('that call is denied')
def call_denied(context):
    assert isinstance(context.reply, failures.Failure), context.reply
    assert context.reply.reason == 'permission_denied', context.reply


@then('that call is answered')
def call_answered(context):
    assert not isinstance(context.reply, failures.Failure), context.reply
