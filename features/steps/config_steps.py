"""Steps of configuration and membership."""

from __future__ import annotations

import random

from behave import given
from behave import then
from behave import when
import fleet_steps
import memory_store
import prometheus_client
import trustme

from peridotmast import clock as clock_
from peridotmast.coordination import config_feed as config_feed_
from peridotmast.coordination import membership as membership_
from peridotmast.embedded import fleet as fleet_
from peridotmast import failures
from peridotmast import green
from peridotmast import ini
from peridotmast import invariants as invariants_
from peridotmast.router import router as router_
from peridotmast import rpc
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.schema import peridotmast_pb2_grpc as pb_grpc


def apply(router, document, base=None):
    service = router._operator_service
    request = pb.ConfigApplyRequest(
        document=document,
        base_version=router.feed.version if base is None else base,
    )
    return service.ConfigApply(request, '')


def with_team(name):
    return fleet_.CONFIG + f'\n[team {name}]\n'


@when('a configuration with the team "{team}" is applied at "{name}"')
def applied_at(context, team, name):
    router = fleet_steps.routers_of(context)[name]
    context.reply = apply(router, with_team(team))
    context.version = context.reply.version
    assert context.version, context.reply


@when('a configuration with findings is applied at "{name}"')
def findings_applied(context, name):
    router = fleet_steps.routers_of(context)[name]
    context.version = router.feed.version
    context.reply = apply(router, '[team a]\nrate = fast\n[modle b]\n')


@then('it was refused with its findings')
def refused_with_findings(context):
    assert len(context.reply.findings) == 2, context.reply
    assert not context.reply.version


@when('two operators apply different configurations from one version')
def operators_race(context):
    routers = context.fleet.routers
    base = routers[0].feed.version
    tasks = [
        green.spawn(apply, routers[n], with_team(f'team-{n}'), base)
        for n in range(2)
    ]
    context.replies = [task.wait() for task in tasks]


@then('one was committed and the other was told of the conflict')
def one_committed(context):
    won = [reply for reply in context.replies if reply.version]
    lost = [reply for reply in context.replies if reply.conflict]
    assert len(won) == len(lost) == 1, context.replies
    context.version = won[0].version
    assert lost[0].current_version == context.version
    assert 'team-' in lost[0].current_document


@then('every router has the committed version in force')
def all_in_force(context):
    def in_force():
        versions = [router.feed.version for router in context.fleet.routers]
        return set(versions) == {context.version}

    assert context.fleet.wait_until(in_force, 8000)
    for router in context.fleet.routers:
        assert router.feed.history == sorted(set(router.feed.history))


@then('every router has the first version in force')
def first_in_force(context):
    green.sleep_ms(300)
    all_in_force(context)


@then('every router knows the team "{team}"')
def knows_team(context, team):
    for router in context.fleet.routers:
        names = [item.name for item in router.feed.config.teams]
        assert team in names, names


@when('the platform goes out')
def goes_out(context):
    context.fleet.objects.app.set_faults(outage=1.0)
    context.fleet.cloud.app.set_faults(outage=1.0)


@when('the platform shows an old version to those who start')
def shows_old(context):
    objects = context.fleet.objects._objects
    old = pb.ConfigObject(document=fleet_.CONFIG).SerializeToString()
    objects[config_feed_.CONFIG_KEY].value = old
    objects[config_feed_.CONFIG_KEY].version = 1


@when('a router is started that knows "{name}" as a seed')
def start_with_seed(context, name):
    seed = fleet_steps.routers_of(context)[name].peer_address
    context.fleet.shape.router['seeds'] = [seed]
    context.new = context.fleet.add_router('router-new')


@then('callers are served through the new router')
def served_through_new(context):
    fleet = context.fleet
    address = context.new.address
    client = fleet.client('kalnins', seed=5)
    client.resolve = lambda: [address]
    answer = client.chat(fleet_steps.MODEL, fleet_steps.prompt_of(0), 8)
    assert fleet_steps.whole(answer, 0, 8), answer.failure
    assert answer.routers == ['router-new']


@then('at most {count:d} routers watch the platform')
def few_watch(context, count):
    routers = context.fleet.routers
    assert sum(router._watch.is_due() for router in routers) == count


@when('"{name}" learns of {count:d} upstreams and tells nobody')
def learns_silently(context, name, count):
    router = fleet_steps.routers_of(context)[name]
    context.names = [f'quiet-{number}' for number in range(count)]
    for quiet in context.names:
        upstream = pb.Upstream(
            name=quiet,
            address='127.0.0.1:1',
            failure_domain='fd-1',
            kind='service',
            service='nothing',
        )
        record = pb.UpstreamRecord(
            upstream=upstream, state=pb.UPSTREAM_STATE_LIVE
        )
        assert router.table.merge(record)


@then('every router knows them')
def knows_them(context):
    def known():
        return all(
            router.table.get(name) is not None
            for router in context.fleet.routers
            for name in context.names
        )

    assert context.fleet.wait_until(known, 15_000)


# ------------------------------------------------------------ without sockets


def make_feed(objects, clock):
    checks = invariants_.Invariants(
        prometheus_client.CollectorRegistry(), fatal=True
    )
    store = memory_store.MemoryStore(objects, clock)
    return config_feed_.ConfigFeed(store, checks)


@given('a feed on a store')
def a_feed(context):
    context.clock = clock_.ManualClock()
    context.objects = memory_store.Objects()
    context.feed = make_feed(context.objects, context.clock)
    context.versions = {}


@when('"{name}" is committed')
def is_committed(context, name):
    context.committed = context.feed.commit(
        f'[team {name}]\n', context.feed.version, 'anna', name, 0
    )
    context.versions[name] = context.feed.version, context.feed.document


@when('the version of "{name}" is offered again')
def offered_again(context, name):
    assert not context.feed.offer(*context.versions[name])


@then('the commit is known to have taken effect')
def known_committed(context):
    assert not isinstance(context.committed, failures.Failure)


@then('the commit is not known to have taken effect')
def not_known_committed(context):
    assert isinstance(context.committed, failures.Failure)


@then('the version in force is that of "{name}"')
def version_of(context, name):
    assert context.feed.version == context.versions[name][0]
    assert context.feed.config.teams[0].name == name


@then('no version is in force')
def none_in_force(context):
    assert context.feed.version == 0


@then('in {count:d} random histories no feed ever goes back')
def random_feeds(context, count):
    for seed in range(count):
        _feed_history(random.Random(seed))


def _feed_history(draws):
    """Commit, read, pass on and restart at random; judge by the store."""
    clock = clock_.ManualClock()
    objects = memory_store.Objects()
    feeds = [make_feed(objects, clock) for _ in range(3)]
    seen = []
    accepted = {}
    for step in range(40):
        objects.out = draws.random() < 0.15
        objects.lose_replies = int(draws.random() < 0.15)
        objects.drop_writes = int(draws.random() < 0.1)
        number = draws.randrange(3)
        feed, peer = feeds[number], draws.choice(feeds)
        before = feed.version
        action = draws.choice(('commit', 'read', 'peer', 'stale', 'restart'))
        if action == 'commit':
            text = f'[team t{step}]\n'
            result = feed.commit(text, feed.version, 'anna', '', step)
            if not isinstance(result, failures.Failure):
                assert accepted.get(result.version, text) == text
                accepted[result.version] = text
        elif action == 'read':
            feed.refresh()
        elif action == 'peer' and peer.version:
            feed.offer(peer.version, peer.document)
        elif action == 'stale' and seen:
            feed.offer(*draws.choice(seen))
        elif action == 'restart':
            objects.out = False
            fresh = feeds[number] = make_feed(objects, clock)
            fresh.refresh()
            assert fresh.version >= before, 'a restart went back'
            feed = fresh
        assert feed.version >= before, 'a version went back'
        if feed.version:
            seen.append((feed.version, feed.document))
    objects.out = False
    for feed in feeds:
        feed.refresh()
    assert len({feed.version for feed in feeds}) == 1
    if accepted:
        assert feeds[0].version >= max(accepted)


@then('in {count:d} random orders all memberships come out alike')
def random_members(context, count):
    for seed in range(count):
        _member_orders(random.Random(seed))


def _member_orders(draws):
    statements = [
        pb.Member(
            name=f'r{draws.randrange(4)}',
            incarnation=draws.randint(1, 2),
            revision=draws.randint(0, 3),
            state=draws.randint(1, 4),
        )
        for _ in range(30)
    ]
    found = []
    for _ in range(3):
        draws.shuffle(statements)
        me = pb.Member(name='me', incarnation=1, state=pb.MEMBER_STATE_ALIVE)
        members = membership_.Membership(me, clock_.ManualClock(), 100)
        for statement in [*statements, *statements]:
            members.merge(statement)
        known = {
            member.name: (member.incarnation, member.revision, member.state)
            for member in members.all()
            if member.state != pb.MEMBER_STATE_DEAD
        }
        found.append((known, members.digest.parts))
    assert found[0] == found[1] == found[2], found


# ------------------------------------------------------------------------ TLS


def write_keys(context, authority, name):
    """Write a certificate for `name`; return its TLS settings."""
    issued = authority.issue_cert('127.0.0.1', common_name=name)
    base = f'{context.folder}/{name}'
    issued.private_key_pem.write_to_path(f'{base}.key')
    issued.cert_chain_pems[0].write_to_path(f'{base}.crt')
    authority.cert_pem.write_to_path(f'{context.folder}/ca.crt')
    return pb.TlsSettings(
        cert_file=f'{base}.crt',
        key_file=f'{base}.key',
        ca_file=f'{context.folder}/ca.crt',
    )


@given('two routers that talk over TLS')
def tls_routers(context):
    context.authority = trustme.CA()
    config = fleet_.CONFIG + (
        '\n[operator anna]\nmay = read, config\n[operator ben]\nmay = read\n'
    )
    shape = fleet_.FleetShape(
        routers=0, controllers=0, domains=1, config=config
    )
    fleet = context.fleet = fleet_.Fleet(shape)
    fleet.start()
    for number in range(2):
        name = f'router-{number}'
        settings = ini.defaults(
            pb.RouterSettings,
            name=name,
            listen='127.0.0.1:0',
            peer_listen='127.0.0.1:0',
            failure_domain='fd-1',
            **fleet_steps.FAST,
        )
        router = router_.Router(
            pb.RouterFile(
                router=settings,
                platform=fleet.platform_settings(),
                telemetry=pb.TelemetrySettings(),
                tls=write_keys(context, context.authority, name),
            )
        )
        fleet.routers.append(router)
        router.start()


@then('the routers know each other')
def know_each_other(context):
    context.fleet.wait_ready()


def ask_as(context, tls, method, request):
    client = rpc.RpcClient(pb_grpc.OperatorsStub, tls)
    context.closing.append(client.close)
    address = context.fleet.routers[0].peer_address
    return client.call(address, method, request, 3000)


def status_and_apply(context, name):
    tls = write_keys(context, context.authority, name)
    status = ask_as(context, tls, 'ConfigStatus', pb.ConfigStatusRequest())
    request = pb.ConfigApplyRequest(
        document=context.fleet.shape.config + f'\n# by {name}\n',
        base_version=getattr(status, 'committed_version', 0),
    )
    return status, ask_as(context, tls, 'ConfigApply', request)


@then('the operator "{name}" may read and configure')
def may_both(context, name):
    status, applied = status_and_apply(context, name)
    assert len(status.nodes) == 2, status
    assert applied.version > status.committed_version, applied


@then('the operator "{name}" may read but not configure')
def may_read(context, name):
    status, applied = status_and_apply(context, name)
    assert len(status.nodes) == 2, status
    assert isinstance(applied, failures.Failure), applied
    assert applied.reason == 'permission_denied', applied


@then('an operator whose certificate is from elsewhere gets nothing')
def from_elsewhere(context):
    folder, context.folder = context.folder, context.folder + '/other'
    import os

    os.makedirs(context.folder)
    tls = write_keys(context, trustme.CA(), 'anna')
    tls.ca_file = f'{folder}/ca.crt'
    context.folder = folder
    reply = ask_as(context, tls, 'ConfigStatus', pb.ConfigStatusRequest())
    assert isinstance(reply, failures.Failure), reply


@when('the keys are replaced on disk')
def keys_replaced(context):
    context.authority = trustme.CA()
    for router in context.fleet.routers:
        write_keys(context, context.authority, router.cfg.name)


@then('an operator with a new certificate gets in without a restart')
def new_certificate(context):
    status, _ = status_and_apply(context, 'anna')
    assert not isinstance(status, failures.Failure), status
