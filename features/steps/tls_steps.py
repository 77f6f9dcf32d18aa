"""Steps for certificates and the access that they give."""

from __future__ import annotations

import itertools
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

ROUTER_DNS_NAME = 'router.peridotmast'
CALL_TIMEOUT_MS = 3000

PEER_CALLS = {
    'Join': pb.JoinRequest(member=pb.Member(name='anna', incarnation=1)),
    'FetchConfig': pb.ConfigRequest(),
    'FetchUpstreams': pb.UpstreamsRequest(),
    'FetchRequest': pb.RequestShowRequest(request_id='x'),
}


def tls_settings(context, name, *dns_names, host='127.0.0.1'):
    """Issue a certificate and return the TLS settings that use it."""
    files = {
        part: os.path.join(context.folder, f'{name}-{len(dns_names)}.{part}')
        for part in ('crt', 'key', 'ca')
    }
    cert = context.authority.issue_cert(host, *dns_names, common_name=name)
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
    """Fleet whose routers have router certificates."""

    def router_file(self, name, **settings):
        file = super().router_file(name, **settings)
        host = file.router.peer_listen.rpartition(':')[0]
        file.tls.CopyFrom(
            tls_settings(self.context, name, ROUTER_DNS_NAME, host=host)
        )
        return file


@given('{count:d} routers with router certificates')
def start_certified_routers(context, count):
    context.authority = trustme.CA()
    shape = shape_.FleetShape(routers=count, router={'fatal_invariants': True})
    context.fleet = _CertifiedFleet(shape, seed=7)
    context.fleet.context = context
    context.fleet.start()


@then('the routers can call each other')
def routers_call_each_other(context):
    first, second = context.fleet.routers
    directions = ((first, second), (second, first))
    for (caller, other), (method, request) in itertools.product(
        directions, PEER_CALLS.items()
    ):
        reply = caller._peers.call(
            other.peer_address, method, request, CALL_TIMEOUT_MS
        )
        assert not isinstance(reply, failures.Failure), (method, reply)


def rpc_client(context, stub, name):
    client = rpc.RpcClient(stub, tls_settings(context, name))
    context.closing.append(client.close)
    return client


@when(
    '"{name}" calls Join, FetchConfig, FetchUpstreams and FetchRequest with an'
    ' operator certificate'
)
def call_peer_rpcs(context, name):
    peers = rpc_client(context, pb_grpc.PeerStub, name)
    address = context.fleet.routers[0].peer_address
    context.replies = [
        peers.call(address, method, request, CALL_TIMEOUT_MS)
        for method, request in PEER_CALLS.items()
    ]


@then('each call is denied and no router "{name}" is known')
def denied_and_unknown(context, name):
    for reply in context.replies:
        assert isinstance(reply, failures.Failure), reply
        assert reply.reason == 'permission_denied', reply
    for router in context.fleet.routers:
        assert router.members.get(name) is None


@given('a document that gives "{name}" read access')
def gives_read_access(context, name):
    document = f'{shape_.DOCUMENT}\n[operator {name}]\nmay = read\n'
    version = context.fleet.write_document(document)
    helpers.wait_until(
        lambda: all(
            router.config.product.version >= version
            for router in context.fleet.routers
        ),
        'the document is in force',
    )


@when('"{name}" requests the status with an operator certificate')
def request_status(context, name):
    operators = rpc_client(context, pb_grpc.OperatorsStub, name)
    context.reply = operators.call(
        context.fleet.routers[0].peer_address,
        'ConfigStatus',
        pb.ConfigStatusRequest(),
        CALL_TIMEOUT_MS,
    )


@then('that call is denied')
def call_denied(context):
    assert isinstance(context.reply, failures.Failure), context.reply
    assert context.reply.reason == 'permission_denied', context.reply


@then('that call succeeds')
def call_succeeds(context):
    assert not isinstance(context.reply, failures.Failure), context.reply
