"""Steps for fleets, upstream faults and requests, used by many features."""

from __future__ import annotations

import re

from behave import given
from behave import then
from behave import when
import helpers

from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.platform import names
from peridotmast.standin import engine as engine_

CONFIG = shape_.CONFIG


def replace_route_keys(config, name, **values):
    """Return the configuration with some keys of a route changed."""
    lines = []
    in_section = False
    for line in config.split('\n'):
        if line.startswith('['):
            in_section = line == f'[route {name}]'
        key = line.partition('=')[0].strip()
        if in_section and key in values:
            continue
        lines.append(line)
        if line == f'[route {name}]':
            lines += [f'{k} = {v}' for k, v in values.items()]
    return '\n'.join(lines)


def change_config(context, config):
    """Write a configuration and wait until all routers have applied it."""
    version = context.fleet.write_config(config)
    context.fleet.shape.config = config
    helpers.wait_until(
        lambda: all(
            router.config.routes.version >= version
            for router in context.fleet.running_routers()
        ),
        f'configuration version {version}',
    )
    return version


@given('a fleet of {count:d} routers')
def fleet_of_routers(context, count):
    helpers.start_fleet(context, routers=count)


@given('a fleet of {count:d} routers with {services:d} services')
def fleet_with_services(context, count, services):
    helpers.start_fleet(context, routers=count, services=services)


@given(
    'a fleet of {count:d} routers with one reclaimable engine in each'
    ' failure domain'
)
def fleet_with_reclaimable_engines(context, count):
    profile = engine_.EngineProfile(step_ms=10, batch_size=32)
    fleet = helpers.start_fleet(
        context, routers=count, engines=0, engine_profile=profile
    )
    for domain in fleet.domains:
        fleet.add_engine(domain, reclaimable=True)
    wait_until_known(context, 4)


@given(
    'a fleet of {count:d} routers whose routes have a target gap of {ms:d} ms'
)
def fleet_with_target_gap(context, count, ms):
    config = replace_route_keys(CONFIG, 'chat', target_gap_ms=ms)
    config = replace_route_keys(config, 'once', target_gap_ms=ms)
    helpers.start_fleet(context, routers=count, config=config)


@given('a fleet of {count:d} routers with a write timeout of {ms:d} ms')
def fleet_with_write_timeout(context, count, ms):
    helpers.start_fleet(context, routers=count, router={'write_ms': ms})


@given(
    'a fleet of {count:d} routers that tolerate missing entries for '
    '{seconds:d} s'
)
def fleet_with_entry_tolerance(context, count, seconds):
    bounds = {'lapse_s': float(seconds)}
    helpers.start_fleet(context, routers=count, bounds=bounds)


@given('a fleet of {count:d} routers with usage windows of {seconds:d} s')
def fleet_with_windows(context, count, seconds):
    bounds = {'usage_window_s': float(seconds)}
    helpers.start_fleet(context, routers=count, bounds=bounds)


@given('a fleet of {count:d} routers whose scaling is "{scaling}"')
def fleet_with_scaling(context, count, scaling):
    document = shape_.DOCUMENT.replace('fixed', scaling)
    profile = engine_.EngineProfile(boot_ms=300)
    helpers.start_fleet(
        context, routers=count, document=document, engine_profile=profile
    )


@given(
    'a fleet of {count:d} routers with a limit of {rate:d} tokens a second'
    ' for "{team}"'
)
def fleet_with_limit(context, count, rate, team):
    config = CONFIG.replace(
        f'keys = key-{team}', f'keys = key-{team}\nrate = {rate}\nburst = 600'
    )
    helpers.start_fleet(context, routers=count, config=config)


@given('a fleet of {count:d} routers without seeds')
def fleet_without_seeds(context, count):
    helpers.start_fleet(context, routers=count, router={'seeds': []})


@given('a fleet of {count:d} routers that export spans')
def fleet_with_spans(context, count):
    context.spans = f'{context.folder}/spans.jsonl'
    helpers.start_fleet(context, routers=count, trace_file=context.spans)


@given('the route "{name}" is public')
def public_route(context, name):
    change_config(
        context,
        replace_route_keys(context.fleet.shape.config, name, public='true'),
    )


@given('the route "{name}" has a timeout of {ms:d} ms')
def route_timeout(context, name, ms):
    change_config(
        context,
        replace_route_keys(context.fleet.shape.config, name, timeout_ms=ms),
    )


@given('another service gets half of the requests of the route "{name}"')
def route_shared_with_other_service(context, name):
    config = replace_route_keys(
        context.fleet.shape.config,
        name,
        services='booking, other',
        weights='50, 50',
    )
    change_config(context, config + '\n[service other]\nslots = 16\n')
    context.fleet.add_service(context.fleet.domains[0], 'other')
    wait_until_known(context, 1, 'other')


def set_upstream_faults(context, service, **faults):
    for guest in helpers.guests(context, service):
        guest.upstream.app.faults = faults


@given('every upstream of "{service}" hangs')
def all_upstreams_hang(context, service):
    set_upstream_faults(context, service, hang=1.0)


@given('every upstream of "{service}" drops its responses')
def all_upstreams_drop_responses(context, service):
    set_upstream_faults(context, service, lose=1.0)


@given('every upstream of "{service}" refuses every request')
def all_upstreams_refuse(context, service):
    set_upstream_faults(context, service, refuse=1.0)


@given('every upstream of "{service}" fails every request')
def all_upstreams_fail(context, service):
    set_upstream_faults(context, service, error=1.0)


@given('every upstream of "{service}" takes {ms:d} ms for a request')
def all_upstreams_slow(context, service, ms):
    for guest in helpers.guests(context, service):
        guest.upstream.app._work_ms = ms


@given('one upstream of "{service}" refuses every request')
def one_upstream_refuses(context, service):
    helpers.guests(context, service)[0].upstream.app.faults = {'refuse': 1.0}


@given('one upstream of "{service}" fails every request')
def one_upstream_fails(context, service):
    helpers.guests(context, service)[0].upstream.app.faults = {'error': 1.0}


@given('engines truncate one event in {count:d}')
def engines_truncate(context, count):
    set_upstream_faults(context, shape_.ENGINE_SERVICE, cut=1 / count)


@given('no engine accepts copies of KV caches')
def no_engine_accepts_copies(context):
    for guest in helpers.guests(context, shape_.ENGINE_SERVICE):
        guest.upstream.app.moves_refused = True


@given('a router that starts while the store is down')
def router_starts_in_outage(context):
    shape = shape_.FleetShape(routers=0)
    context.fleet = fleet_.Fleet(shape, seed=7)
    context.fleet.start()
    context.fleet.store.app.set_faults(outage=1.0)
    context.router = context.fleet.add_router('router-1')


def wait_until_known(context, count, service=shape_.ENGINE_SERVICE):
    """Wait until every router knows `count` live upstreams of `service`."""
    helpers.wait_until(
        lambda: all(
            len(router.upstream_table.live(service)) == count
            for router in context.fleet.running_routers()
        ),
        f'{count} live upstreams of {service}',
    )


def router_address(context, number=0):
    return context.fleet.running_routers()[number].address


@when('a caller requests "{path}" from host "{host}" with the key "{key}"')
def request_with_key(context, path, host, key):
    send_with_key(context, path, host, key)


@when('a caller requests "{path}" from host "{host}" with the key ""')
def request_without_key(context, path, host):
    send_with_key(context, path, host, '')


def send_with_key(context, path, host, key):
    value = f'{names.KEY_SCHEME}{key}' if key else ''
    context.last = helpers.send_request(
        router_address(context), path, host=host, key=value
    )


@when('a caller posts "{text}" to "{path}"')
def post_text(context, text, path):
    context.last = helpers.send_request(
        router_address(context), path, body=text.encode()
    )
    context.answers = [*getattr(context, 'answers', ()), context.last]


@when('{count:d} requests are sent to "{path}"')
def send_requests(context, count, path):
    tasks = [
        green.spawn(
            helpers.send_request,
            router_address(
                context, number % len(context.fleet.running_routers())
            ),
            path,
            body=f'seat {number}'.encode(),
        )
        for number in range(count)
    ]
    context.answers = [task.wait() for task in tasks]


@when('{count:d} callers stream {tokens:d} tokens from "{path}"')
def start_streams(context, count, tokens, path):
    context.tokens = tokens
    context.bodies = [f'letter {number}'.encode() for number in range(count)]
    context.tasks = [
        green.spawn(
            stream,
            router_address(context, n % len(context.fleet.running_routers())),
            path,
            tokens,
            body,
        )
        for n, body in enumerate(context.bodies)
    ]
    # A fixed delay alone can end before the engines receive the requests.
    helpers.wait_until(
        lambda: len(engine_arrivals(context)) >= count,
        'the requests have arrived at the engines',
    )
    green.sleep_ms(200)


def engine_arrivals(context):
    return [
        arrival
        for guest in helpers.guests(context, shape_.ENGINE_SERVICE)
        for arrival in guest.upstream.app.arrivals
    ]


def stream(address, path, tokens, body=b'letter', **options):
    headers = [(names.TOKEN_COUNTS, f'64,{tokens}')]
    return helpers.send_request(
        address, path, body=body, headers=headers, **options
    )


@then('the status is {status:d}')
def status_is(context, status):
    assert context.last.status == status, context.last


@then('the status is {status:d} with a retry time')
def status_with_time(context, status):
    assert context.last.status == status, context.last
    assert float(context.last.header(names.RETRY_AFTER)) > 0, context.last


@then(
    'the status is {status:d} after at least {least:d} ms and less than'
    ' {most:d} ms'
)
def status_within(context, status, least, most):
    assert context.last.status == status, context.last
    assert least <= context.last.ms < most, context.last.ms


@then('all requests have the status {status:d}')
def all_requests_have_status(context, status):
    found = {answer.status for answer in context.answers}
    assert found == {status}, found


@then('all requests have the status {status:d} and ran exactly once')
def all_requests_ran_once(context, status):
    all_requests_ran(context, status, 1)


@then(
    'all requests have the status {status:d} and ran exactly {count:d} times'
)
def all_requests_ran(context, status, count):
    all_requests_have_status(context, status)
    runs = [helpers.run_count(context, a.request_id) for a in context.answers]
    assert set(runs) == {count}, runs


@then('the status is {status:d} and the request ran exactly once')
def status_and_one_run(context, status):
    assert context.last.status == status, context.last
    assert helpers.run_count(context, context.last.request_id) == 1


@then('no request ran more than {count:d} times')
def no_request_ran_more_than(context, count):
    runs = [helpers.run_count(context, a.request_id) for a in context.answers]
    assert max(runs) <= count, runs


@then('no upstream received a request')
def no_upstream_request(context):
    green.sleep_ms(100)
    arrivals = [
        arrival
        for guest in context.fleet.instances
        for arrival in guest.upstream.app.arrivals
    ]
    assert not arrivals, arrivals


def expected_stream(body, tokens):
    """Return the text of the expected response of an engine to `body`."""
    from peridotmast.standin import answers

    seed = answers.answer_seed('', '', body.decode('latin-1'))
    return ''.join(answers.token(seed, at) for at in range(tokens))


def stream_text(answer):
    found = re.findall(rb'"text": "([^"]*)"', answer.body)
    return b''.join(found).decode()


def is_complete(answer, body, tokens):
    numbers = helpers.event_ids(answer.body)
    is_ordered = numbers == list(range(1, len(numbers) + 1))
    return (
        answer.complete
        and is_ordered
        and stream_text(answer) == expected_stream(body, tokens)
    )
