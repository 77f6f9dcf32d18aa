"""Steps that run the programs as processes of their own."""

from __future__ import annotations

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


def begin(context, program, text):
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
    """Return what `condition` returns once it is true."""
    for _ in range(seconds * 20):
        found = condition()
        if found:
            return found
        time.sleep(0.05)
    raise AssertionError(f'not in {seconds} s: {what}')


def log_of(process):
    with open(process.log_path) as file:
        return file.read()


def in_log(process, pattern):
    return wait_for(
        lambda: re.search(pattern, log_of(process)),
        f'{pattern} in {log_of(process)[-2000:]}',
    )


def command(context, *args, timeout=30):
    return subprocess.run(
        [f'{BIN}/peridotmast', '--router', context.peers[0], *args],
        capture_output=True,
        text=True,
        timeout=timeout,
    )


@given('a stand-in as a process')
def standin_process(context):
    context.processes = []
    standin = begin(context, 'standin', '[standin]\nlisten = 127.0.0.1:0\n')
    found = in_log(standin, r'(?s)\[platform\]\nobjects = \S+\ncloud = \S+\n')
    context.platform = found[0]


@given('a stand-in and two routers, each a process')
def separate_processes(context):
    standin_process(context)
    context.routers = [
        begin(
            context,
            'router',
            SETTINGS.format(number=number + 1, platform=context.platform),
        )
        for number in range(2)
    ]
    started = [
        in_log(router, r'event=started .*peer_address=(\S+)')
        for router in context.routers
    ]
    context.peers = [found[1] for found in started]
    wait_for(lambda: is_whole(context), 'the fleet')
    context.addresses = chat_addresses(context)


def is_whole(context):
    listed = command(context, 'upstream', 'list').stdout
    nodes = command(context, 'node', 'list').stdout
    return listed.count('engine') == 4 and nodes.count(' ready ') == 2


def chat_addresses(context):
    """Return the chat addresses of both routers, by their sockets."""
    found = []
    for router in context.routers:
        text = in_log(router, r'chat_address=(\S+)')
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


@when('an answer is asked for with the command line')
def ask_by_command(context):
    context.run = command(context, *send_args(context, 12))
    context.sent = getattr(context, 'sent', 0) + 1


def ids_of(router, event):
    """Return the ids of the requests that a router's log has `event` of."""
    # With what follows it, since a line may be written in two pieces.
    pattern = rf'event={event} .*request=(\S+) '
    return set(re.findall(pattern, log_of(router)))


def answered(context):
    return set.union(*(ids_of(r, 'answered') for r in context.routers))


@then('each request that was sent has an id of its own')
def ids_differ(context):
    # What a router decides is in its log a while later.
    wait_for(
        lambda: len(answered(context)) == context.sent,
        f'{context.sent} ids among {answered(context)}',
    )


@then('the command ends with 0 and printed the answer of 12 tokens')
def printed_tokens(context):
    wanted = oracle.chat_text(PROMPT, 12)
    assert context.run.returncode == 0, context.run
    assert context.run.stdout.strip() == wanted.strip(), context.run


@then('the command line lists 2 routers and 4 engines')
def lists_all(context):
    assert is_whole(context)
    found = command(context, 'resolve', context.addresses[0]).stdout
    assert set(found.split()) == set(context.addresses), found


@when('the document is changed with the command line')
def change_document(context):
    status = command(context, 'config', 'status').stdout
    context.base = re.search(r'router-1\s+\d+\s+(\d+)', status)[1]
    context.run = apply(context, '# one\n', '--comment', 'first change')


def apply(context, text, *args):
    path = f'{context.folder}/document.ini'
    with open(path, 'w') as file:
        file.write(shape_.DOCUMENT + text)
    return command(context, 'config', 'apply', path, *args)


@then('it is committed and in force at 2 routers')
def in_force(context):
    assert context.run.returncode == 0, context.run
    assert 'in force at 2 routers' in context.run.stdout, context.run
    history = command(context, 'config', 'history').stdout
    assert 'first change' in history, history


@when('it is changed again from the version before')
def change_again(context):
    context.run = apply(context, '# two\n', '--base', context.base)


@then('the command ends with 3 and shows the other change')
def conflict_shown(context):
    assert context.run.returncode == 3, context.run
    assert '# one' in context.run.stderr, context.run


@when('an event is declared with the command line')
def declare_event(context):
    start = int(time.time() * 1000) + 3_600_000
    context.run = command(
        context, 'event', 'declare', 'opening', '--start-ms', str(start),
        '--tokens-per-second', '90000', '--model', oracle.MODEL,
    )  # fmt: skip


@then('it is listed and planned')
def listed_and_planned(context):
    assert context.run.returncode == 0, context.run
    assert 'opening' in command(context, 'event', 'list').stdout
    plan = command(context, 'event', 'plan').stdout
    assert 'for opening' in plan and 'in all' in plan, plan


@when('the event is cancelled with the command line')
def cancel_event(context):
    context.run = command(context, 'event', 'cancel', 'opening')
    assert context.run.returncode == 0, context.run


@then('no event is listed')
def none_listed(context):
    assert not command(context, 'event', 'list').stdout.strip()


@when('a request is asked about by its id')
def asked_by_id(context):
    text = log_of(context.routers[0]) + log_of(context.routers[1])
    request_id = re.findall(r'event=answered .*request=(\S+)', text)[-1]
    context.run = command(context, 'request', 'show', request_id)


@then('the command line shows where it went')
def shows_where(context):
    assert 'upstream=engine-' in context.run.stdout, context.run


@when('a router is killed while an answer streams')
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
            context.printed.read_text() and any(map(busy, context.routers))
        ),
        'a stream',
    )
    [context.busy] = filter(busy, context.routers)
    context.busy.kill()


def busy(router):
    """Return whether a request is at a router whose end it has not logged."""
    ended = ids_of(router, 'answered') | ids_of(router, 'refused')
    return bool(ids_of(router, 'attempt') - ended)


@then('the whole answer comes from the other router')
def whole_from_other(context):
    [context.other] = [r for r in context.routers if r is not context.busy]
    assert context.answer.wait(timeout=30) == 0, context.printed.read_text()
    wanted = oracle.chat_text(PROMPT, 400)
    text = context.printed.read_text()
    assert text.rstrip('\n').endswith(wanted), text[-200:]
    # It began at the other one, which did not come to its end.
    assert text.rstrip('\n') != wanted, text[-200:]
    assert busy(context.busy)
    wait_for(
        lambda: len(answered(context)) == context.sent + 1,
        f'one more than {context.sent} answers',
    )


@when('the other router is told to stop')
def tell_to_stop(context):
    context.other.send_signal(signal.SIGTERM)


@then('it ends with 0 after its drain')
def ends_after_drain(context):
    assert context.other.wait(timeout=20) == 0
    assert 'event=drain_over' in log_of(context.other)
    assert 'event=stopped' in log_of(context.other)


@when('a router gets SIGHUP with changed settings')
def hup_router(context):
    router = context.routers[0]
    with open(router.config_path) as file:
        text = file.read()
    with open(router.config_path, 'w') as file:
        file.write(text.replace('[bounds]', '[bounds]\nbudget_ratio = 0.5'))
    router.send_signal(signal.SIGHUP)


@then('it goes on with them')
def goes_on(context):
    in_log(context.routers[0], 'event=settings_reloaded')
    assert context.routers[0].poll() is None
    ask_by_command(context)
    printed_tokens(context)


@when('a router is frozen')
def freeze(context):
    context.frozen = context.routers[1]
    context.frozen.send_signal(signal.SIGSTOP)


@then('the directory names only the other within 5 s')
def only_other(context):
    wait_for(
        lambda: command(
            context, 'resolve', context.addresses[0]
        ).stdout.split() == [context.addresses[0]],
        'the frozen router is out', 5,
    )  # fmt: skip


@when('the frozen router goes on')
def thaw(context):
    context.frozen.send_signal(signal.SIGCONT)


@then('both are named again')
def both_named(context):
    wait_for(
        lambda: set(command(
            context, 'resolve', context.addresses[0]
        ).stdout.split()) == set(context.addresses),
        'both are named', 10,
    )  # fmt: skip


@then('the log is one line of key=value pairs an event')
def log_lines(context):
    lines = log_of(context.routers[0]).splitlines()
    assert len(lines) > 5
    for line in lines:
        assert re.match(r'timestamp=\S+ level=\w+ event=\w+ ', line), line
    json.dumps(lines)


@when(
    'a router stands still for {seconds:d} s while it is asked which there are'
)
def stand_still(context, seconds):
    router, address = context.routers[0], context.addresses[0]
    router.send_signal(signal.SIGSTOP)
    try:
        # The kernel takes it; it is answered before any beacon is read.
        conn = http.client.HTTPConnection(address, timeout=20)
        conn.request('GET', '/resolve')
        time.sleep(seconds)
    finally:
        router.send_signal(signal.SIGCONT)
    context.named = json.loads(conn.getresponse().read())['addresses']
    conn.close()


@then('it names both')
def names_both(context):
    assert set(context.named) == set(context.addresses), context.named


@when('two fleets of stand-ins are told to take free ports')
def start_standins(context):
    context.fleets = []
    for _ in range(2):
        fleet = fleet_.Fleet(
            shape_.FleetShape(routers=0), listen='127.0.0.1:0'
        )
        context.closing.append(fleet.stop)
        fleet.start()
        context.fleets.append(fleet)


@then('no address is listened at by both')
def share_none(context):
    found = [
        [fleet.store.address, fleet.cloud.address]
        + [guest.record.upstream.address for guest in fleet.instances]
        for fleet in context.fleets
    ]
    assert all(len(addresses) > 2 for addresses in found), found
    assert not set(found[0]) & set(found[1]), found


@when('two routers are started at one address')
def start_at_one_address(context):
    # Of all that lead to this machine, so that no other run has the same.
    own = ipaddress.IPv4Address('127.1.0.0') + random.randrange(1 << 16)
    context.routers = [
        begin(
            context,
            'router',
            SETTINGS.format(
                number=number + 1, platform=context.platform
            ).replace('\nlisten = 127.0.0.1:0', f'\nlisten = {own}:8700'),
        )
        for number in range(2)
    ]


@then('one serves, and one ends with 1 and says that the address is taken')
def one_ends(context):
    ended = wait_for(
        lambda: [r for r in context.routers if r.poll() is not None],
        'a router that ends',
    )
    assert [router.returncode for router in ended] == [1], ended
    text = log_of(ended[0])
    assert re.search(r'event=cannot_start .*:8700\b.*in use', text), text
    other = next(r for r in context.routers if r not in ended)
    in_log(other, 'event=ready ')
    assert other.poll() is None


@given('a fleet whose router is a process')
def fleet_of_process(context):
    shape = shape_.FleetShape(routers=1, domains=1, services=0)
    context.processes = process_fleet.ProcessFleet(shape, 0, context.folder)
    context.closing.append(context.processes.stop)
    context.processes.start()


@when(
    'it is killed, and its ports on this machine are given to another program'
)
def ports_given(context):
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
        other.bind(('127.0.0.1', int(address.rpartition(':')[2])))
        other.listen()


@then('it comes back at its address')
def comes_back(context):
    context.processes.restart_router(context.killed)
    [router] = context.processes.running_routers()
    assert router.address == context.killed.address, router.address
