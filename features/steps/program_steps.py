"""Steps that run the programs as separate processes."""

from __future__ import annotations

import errno
import http.client
import ipaddress
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import time

from behave import given
from behave import then
from behave import when

from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import process_fleet
from peridotmast.embedded import shape as shape_
from peridotmast.load import oracle

BIN = os.path.dirname(sys.executable)
PROMPT = 'hello'
SETTINGS = """[router]
name = router-{number}
listen = 127.0.0.1:0
peer_listen = 127.0.0.1:0
chat_listen = 127.0.0.1:0
failure_domain = fd-{number}

[bounds]
lease_ms = 1000

{platform}"""


def start_program(context, program, text):
    path = f'{context.folder}/{program}-{len(context.processes)}.ini'
    with open(path, 'w') as file:
        file.write(text)
    process = subprocess.Popen(
        [f'{BIN}/peridotmast-{program}', '--config', path],
        stdout=open(path + '.log', 'w'),
        stderr=subprocess.STDOUT,
    )
    process.log_path = path + '.log'
    process.config_path = path
    context.processes.append(process)

    def end():
        process.kill()
        process.wait()

    context.closing.append(end)
    return process


def wait_for(condition, what, seconds=20):
    """Wait until `condition` returns a true value; return that value."""
    for _ in range(seconds * 20):
        found = condition()
        if found:
            return found
        time.sleep(0.05)
    raise AssertionError(f'not within {seconds} s: {what}')


def log_of(process):
    with open(process.log_path) as file:
        return file.read()


def wait_for_log(process, pattern):
    return wait_for(
        lambda: re.search(pattern, log_of(process)),
        f'{pattern} in {log_of(process)[-2000:]}',
    )


def run_command(context, *args, timeout=30):
    return subprocess.run(
        [f'{BIN}/peridotmast', '--router', context.peers[0], *args],
        capture_output=True,
        text=True,
        timeout=timeout,
    )


@given('a stand-in in a separate process')
def standin_process(context):
    context.processes = []
    standin = start_program(
        context, 'standin', '[standin]\nlisten = 127.0.0.1:0\n'
    )
    found = wait_for_log(
        standin, r'(?s)\[platform\]\nobjects = \S+\ncloud = \S+\n'
    )
    context.platform = found[0]


@given('a stand-in and two routers in separate processes')
def separate_processes(context):
    standin_process(context)
    context.routers = [
        start_program(
            context,
            'router',
            SETTINGS.format(number=number + 1, platform=context.platform),
        )
        for number in range(2)
    ]
    started = [
        wait_for_log(router, r'event=started .*peer_address=(\S+)')
        for router in context.routers
    ]
    context.peers = [found[1] for found in started]
    wait_for(lambda: is_fleet_complete(context), 'the fleet')
    context.addresses = chat_addresses(context)


def is_fleet_complete(context):
    listed = run_command(context, 'upstream', 'list').stdout
    nodes = run_command(context, 'node', 'list').stdout
    return listed.count('engine') == 4 and nodes.count(' ready ') == 2


def chat_addresses(context):
    """Return the chat addresses of both routers, from their logs."""
    found = []
    for router in context.routers:
        text = wait_for_log(router, r'chat_address=(\S+)')
        found.append(text[1])
    return found


def send_args(context, size, router=0):
    return [
        'send',
        context.addresses[router],
        PROMPT,
        '--key',
        'key-kalnins',
        '--model',
        oracle.MODEL,
        '--max-tokens',
        str(size),
    ]


@when('a request is sent with the command line')
def send_request(context):
    context.run = run_command(context, *send_args(context, 12))
    context.sent = getattr(context, 'sent', 0) + 1


def logged_ids(router, event):
    """Return the ids of the requests with `event` in a router's log."""
    # Match up to the space after the id: a line may be written in two parts.
    pattern = rf'event={event} .*request=(\S+) '
    return set(re.findall(pattern, log_of(router)))


def answered_ids(context):
    return set.union(*(logged_ids(r, 'answered') for r in context.routers))


@then('each request that was sent has a unique id')
def check_unique_ids(context):
    # A router writes its log with a delay.
    wait_for(
        lambda: len(answered_ids(context)) == context.sent,
        f'{context.sent} ids among {answered_ids(context)}',
    )


@then('the command exits with 0 and has printed the answer of 12 tokens')
def check_printed_answer(context):
    expected = oracle.chat_text(PROMPT, 12)
    assert context.run.returncode == 0, context.run
    assert context.run.stdout.strip() == expected.strip(), context.run


@then('the command line lists 2 routers and 4 engines')
def check_listed_nodes(context):
    assert is_fleet_complete(context)
    found = run_command(context, 'resolve', context.addresses[0]).stdout
    assert set(found.split()) == set(context.addresses), found


@when('the configuration is changed with the command line')
def change_config(context):
    status = run_command(context, 'config', 'status').stdout
    context.base = re.search(r'router-1\s+\d+\s+(\d+)', status)[1]
    context.run = apply_config(context, '# one\n', '--comment', 'first change')


def apply_config(context, text, *args):
    path = f'{context.folder}/document.ini'
    with open(path, 'w') as file:
        file.write(shape_.DOCUMENT + text)
    return run_command(context, 'config', 'apply', path, *args)


@then('the configuration change is committed and in force at 2 routers')
def check_change_in_force(context):
    assert context.run.returncode == 0, context.run
    assert 'in force at 2 routers' in context.run.stdout, context.run
    history = run_command(context, 'config', 'history').stdout
    assert 'first change' in history, history


@when('the configuration is changed again, based on the previous version')
def change_config_from_previous(context):
    context.run = apply_config(context, '# two\n', '--base', context.base)


@then('the command exits with 3 and shows the conflicting change')
def check_conflict(context):
    assert context.run.returncode == 3, context.run
    assert '# one' in context.run.stderr, context.run


@when('an event is declared with the command line')
def declare_event(context):
    start = int(time.time() * 1000) + 3_600_000
    context.run = run_command(
        context, 'event', 'declare', 'opening', '--start-ms', str(start),
        '--tokens-per-second', '90000', '--model', oracle.MODEL,
    )  # fmt: skip


@then('the command line lists the event and its plan')
def check_event_listed(context):
    assert context.run.returncode == 0, context.run
    assert 'opening' in run_command(context, 'event', 'list').stdout
    plan = run_command(context, 'event', 'plan').stdout
    assert 'for opening' in plan and 'in all' in plan, plan


@when('the event is cancelled with the command line')
def cancel_event(context):
    context.run = run_command(context, 'event', 'cancel', 'opening')
    assert context.run.returncode == 0, context.run


@then('the command line lists no event')
def check_no_event_listed(context):
    assert not run_command(context, 'event', 'list').stdout.strip()


@when('a request is looked up by its id')
def look_up_request(context):
    text = log_of(context.routers[0]) + log_of(context.routers[1])
    request_id = re.findall(r'event=answered .*request=(\S+)', text)[-1]
    context.run = run_command(context, 'request', 'show', request_id)


@then('the command line shows the upstream of the request')
def check_upstream_shown(context):
    assert 'upstream=engine-' in context.run.stdout, context.run


@when('a router is killed while it streams an answer')
def kill_while_streaming(context):
    context.printed = pathlib.Path(context.folder, 'answer')
    errors = pathlib.Path(context.folder, 'answer.log')
    with context.printed.open('w') as printed, errors.open('w') as err:
        context.answer = subprocess.Popen(
            [f'{BIN}/peridotmast', *send_args(context, 400)],
            stdout=printed,
            stderr=err,
        )
    context.closing.append(context.answer.kill)
    wait_for(
        lambda: (
            context.printed.read_text()
            and any(map(has_open_request, context.routers))
        ),
        'a stream',
    )
    [context.killed_router] = filter(has_open_request, context.routers)
    context.killed_router.kill()


def has_open_request(router):
    """Return whether a router has not logged the end of some request."""
    finished = logged_ids(router, 'answered') | logged_ids(router, 'refused')
    return bool(logged_ids(router, 'attempt') - finished)


@then('the other router sends the whole answer')
def check_whole_answer(context):
    [context.other] = [
        r for r in context.routers if r is not context.killed_router
    ]
    assert context.answer.wait(timeout=30) == 0, context.printed.read_text()
    expected = oracle.chat_text(PROMPT, 400)
    text = context.printed.read_text()
    # The killed router's part of the answer does not come again.
    assert text.rstrip('\n') == expected, text[-200:]
    assert has_open_request(context.killed_router)
    wait_for(
        lambda: len(answered_ids(context)) == context.sent + 1,
        f'one more than {context.sent} answers',
    )


@when('the other router receives SIGTERM')
def terminate_other_router(context):
    context.other.send_signal(signal.SIGTERM)


@then('the terminated router exits with 0 after its drain')
def check_drained_exit(context):
    assert context.other.wait(timeout=20) == 0
    assert 'event=drain_finished' in log_of(context.other)
    assert 'event=stopped' in log_of(context.other)


@when('a router receives SIGHUP after a change of its settings')
def reload_settings(context):
    router = context.routers[0]
    with open(router.config_path) as file:
        text = file.read()
    with open(router.config_path, 'w') as file:
        file.write(text.replace('[bounds]', '[bounds]\nbudget_ratio = 0.5'))
    router.send_signal(signal.SIGHUP)


@then('the router reloads the settings and continues to serve')
def check_settings_reloaded(context):
    wait_for_log(context.routers[0], 'event=settings_reloaded')
    assert context.routers[0].poll() is None
    send_request(context)
    check_printed_answer(context)


@when(
    'a router receives SIGHUP after the order under scarcity was changed to'
    ' "{order}"'
)
def change_order(context, order):
    router = context.routers[0]
    text = SETTINGS.format(number=1, platform=context.platform)
    with open(router.config_path, 'w') as file:
        file.write(f'{text}\n[scarcity]\norder = {order}\n')
    router.send_signal(signal.SIGHUP)


def show_scarcity(context):
    [node] = [
        line.split()[0]
        for line in run_command(context, 'node', 'list').stdout.splitlines()
        if line.startswith('router-1 ')
    ]
    return run_command(context, 'node', 'show', node).stdout


@then(
    'the router logs that the order is invalid and keeps the order "{order}"'
)
def check_order_kept(context, order):
    wait_for_log(
        context.routers[0], r'event=settings_invalid .*\[scarcity\] order'
    )
    output = show_scarcity(context)
    assert output == (
        f'router-1: scarcity order={order} refuse=no\nrouter-1: speeds = off\n'
    ), output


@then('the command line shows a service with sufficient capacity')
def check_scarcity_shown(context):
    wait_for(
        lambda: 'sufficient scarcity=0.00' in show_scarcity(context),
        'a service with its scarcity',
    )
    output = show_scarcity(context)
    assert 'order=priority refuse=no' in output, output


@then('the command line finds no router "{name}" to show')
def check_unknown_not_shown(context, name):
    run = run_command(context, 'node', 'show', name)
    assert run.returncode == 1
    assert run.stderr == f'no router {name}\n', run.stderr


@when('a router is suspended')
def suspend_router(context):
    context.suspended = context.routers[1]
    context.suspended.send_signal(signal.SIGSTOP)


@then('the directory lists only the other router within 5 s')
def check_only_other_listed(context):
    wait_for(
        lambda: run_command(
            context, 'resolve', context.addresses[0]
        ).stdout.split() == [context.addresses[0]],
        'the suspended router is not listed', 5,
    )  # fmt: skip


@when('the suspended router is resumed')
def resume_router(context):
    context.suspended.send_signal(signal.SIGCONT)


@then('the directory lists both routers again')
def check_both_listed(context):
    wait_for(
        lambda: set(run_command(
            context, 'resolve', context.addresses[0]
        ).stdout.split()) == set(context.addresses),
        'both routers are listed', 10,
    )  # fmt: skip


@then('the log has one line of key=value pairs for each event')
def check_log_lines(context):
    lines = log_of(context.routers[0]).splitlines()
    assert len(lines) > 5
    for line in lines:
        assert re.match(r'timestamp=\S+ level=\w+ event=\w+ ', line), line
    json.dumps(lines)


@when(
    'a router receives a directory request while it is suspended for'
    ' {seconds:d} s'
)
def request_while_suspended(context, seconds):
    router, address = context.routers[0], context.addresses[0]
    router.send_signal(signal.SIGSTOP)
    try:
        # The kernel accepts the request. The resumed router answers it before
        # it reads any beacon.
        conn = http.client.HTTPConnection(address, timeout=20)
        conn.request('GET', '/resolve')
        time.sleep(seconds)
    finally:
        router.send_signal(signal.SIGCONT)
    context.listed = json.loads(conn.getresponse().read())['addresses']
    conn.close()


@then('the answer of the router lists both routers')
def check_answer_lists_both(context):
    assert set(context.listed) == set(context.addresses), context.listed


@when('two fleets of stand-ins are started on free ports')
def start_standins(context):
    context.fleets = []
    for _ in range(2):
        fleet = fleet_.Fleet(
            shape_.FleetShape(routers=0), listen='127.0.0.1:0'
        )
        context.closing.append(fleet.stop)
        fleet.start()
        context.fleets.append(fleet)


@then('the fleets share no address')
def check_no_shared_address(context):
    found = [
        [fleet.store.address, fleet.cloud.address]
        + [guest.record.upstream.address for guest in fleet.instances]
        for fleet in context.fleets
    ]
    assert all(len(addresses) > 2 for addresses in found), found
    assert not set(found[0]) & set(found[1]), found


@when('two routers are started with the same address')
def start_at_one_address(context):
    # A random loopback address, so that concurrent test runs do not collide.
    host = ipaddress.IPv4Address('127.1.0.0') + random.randrange(1 << 16)
    context.routers = [
        start_program(
            context,
            'router',
            SETTINGS.format(
                number=number + 1, platform=context.platform
            ).replace('\nlisten = 127.0.0.1:0', f'\nlisten = {host}:8700'),
        )
        for number in range(2)
    ]


@then(
    'one router serves, and the other exits with 1 and logs that the address'
    ' is in use'
)
def check_one_serves_one_exits(context):
    exited = wait_for(
        lambda: [r for r in context.routers if r.poll() is not None],
        'a router that exits',
    )
    assert [router.returncode for router in exited] == [1], exited
    text = log_of(exited[0])
    assert re.search(r'event=cannot_start .*:8700\b.*in use', text), text
    other = next(r for r in context.routers if r not in exited)
    wait_for_log(other, 'event=ready ')
    assert other.poll() is None


@given('a fleet with one router in a separate process')
def fleet_with_router_process(context):
    shape = shape_.FleetShape(routers=1, domains=1, services=0)
    context.processes = process_fleet.ProcessFleet(shape, 0, context.folder)
    context.closing.append(context.processes.stop)
    context.processes.start()


@when('the router is killed, and another program binds its ports at 127.0.0.1')
def kill_and_bind_ports(context):
    [context.killed] = context.processes.routers
    context.killed.stop()
    addresses = (
        context.killed.address,
        context.killed.chat_address,
        context.killed.peer_address,
    )
    for address in addresses:
        other = socket.socket()
        context.closing.append(other.close)
        try:
            other.bind(('127.0.0.1', int(address.rpartition(':')[2])))
        except OSError as exc:
            # The port belongs to another program already.
            assert exc.errno == errno.EADDRINUSE, exc
        else:
            other.listen()


@then('the killed router restarts at its address')
def check_router_restarted(context):
    context.processes.restart_router(context.killed)
    [router] = context.processes.running_routers()
    assert router.address == context.killed.address, router.address
