"""Steps that run the programs as processes of their own."""

from __future__ import annotations

import json
import os
import re
import signal
import subprocess
import sys
import time
from urllib import request

from behave import given
from behave import then
from behave import when
import fleet_steps

from peridotmast.embedded import fleet as fleet_

BIN = os.path.dirname(sys.executable)
PROMPT = 'hello'


def begin(context, program, text):
    path = f'{context.folder}/{program}-{len(context.processes)}.ini'
    with open(path, 'w') as file:
        file.write(text)
    process = subprocess.Popen(
        [f'{BIN}/peridotmast-{program}', '--config', path],
        stdout=subprocess.PIPE,
        stderr=open(path + '.log', 'w'),
        text=True,
    )
    process.log_path = path + '.log'
    context.processes.append(process)

    def end():
        process.kill()
        process.wait()
        process.stdout.close()

    context.closing.append(end)
    return process


def started(path):
    """Wait for a router's first log line; return its two addresses."""
    for _ in range(400):
        with open(path) as file:
            found = re.search(
                r'event=started .*address=(\S+) peer_address=(\S+)',
                file.read(),
            )
        if found:
            return found[1], found[2]
        time.sleep(0.05)
    raise AssertionError(f'no router started: {open(path).read()}')


def command(context, *args, timeout=30):
    return subprocess.run(
        [f'{BIN}/peridotmast', '--router', context.peers[0], *args],
        capture_output=True,
        text=True,
        timeout=timeout,
    )


@given('a stand-in, two routers and a controller, each a process')
def separate_processes(context):
    context.processes = []
    standin = begin(context, 'standin', '[standin]\nlisten = 127.0.0.1:0\n')
    platform = ''.join(standin.stdout.readline() for _ in range(4))
    assert 'objects' in platform, platform
    routers = [
        begin(
            context,
            'router',
            f'[router]\nname = router-{number}\n'
            'listen = 127.0.0.1:0\npeer_listen = 127.0.0.1:0\n'
            f'failure_domain = fd-{number + 1}\n'
            'drain_grace_ms = 300\nprobe_interval_ms = 200\n' + platform,
        )
        for number in range(2)
    ]
    found = [started(router.log_path) for router in routers]
    begin(context, 'controller', '[controller]\nname = c1\n' + platform)
    context.addresses = [address for address, _ in found]
    context.peers = [peer for _, peer in found]
    for _ in range(100):
        listed = command(context, 'upstream', 'list').stdout
        nodes = command(context, 'node', 'list').stdout
        if listed.count('engine') == 4 and nodes.count('alive') == 2:
            return
        time.sleep(0.1)
    raise AssertionError((listed, nodes))


def send_args(context, size):
    return [
        'send',
        context.addresses[0],
        PROMPT,
        '--team',
        'kalnins',
        '--model',
        fleet_steps.MODEL,
        '--max-tokens',
        str(size),
    ]


@when('an answer is asked for with the command line')
def ask_by_command(context):
    context.run = command(context, *send_args(context, 12))


@then('the command ends with 0 and printed 12 tokens')
def printed_tokens(context):
    assert context.run.returncode == 0, context.run
    wanted = ''.join(fleet_steps.expected(PROMPT, 12))
    assert context.run.stdout.rstrip('\n') == wanted, context.run


@then('the command line lists 2 routers and 4 engines')
def lists(context):
    nodes = command(context, 'node', 'list').stdout
    assert len(nodes.splitlines()) == 2, nodes
    engines = command(context, 'upstream', 'list').stdout
    assert engines.count(' engine ') == 4, engines


def change(context, team, *options):
    path = f'{context.folder}/{team}.ini'
    with open(path, 'w') as file:
        file.write(fleet_.CONFIG + f'\n[team {team}]\n')
    context.run = command(context, 'config', 'apply', path, *options)


@when('the configuration is changed with the command line')
def change_by_command(context):
    status = command(context, 'config', 'status').stdout
    context.base = re.search(r'committed\s+(\d+)', status)[1]
    change(context, 'first', '--comment', 'a team more')


@then('it is committed and in force at 2 routers')
def committed_in_force(context):
    assert context.run.returncode == 0, context.run
    assert 'in force at 2 routers' in context.run.stdout, context.run
    history = command(context, 'config', 'history').stdout
    assert 'a team more' in history, history


@when('it is changed again from the version before')
def change_from_before(context):
    change(context, 'second', '--base', context.base)


@then('the command ends with 3 and shows the other change')
def ends_with_conflict(context):
    assert context.run.returncode == 3, context.run
    assert '[team first]' in context.run.stderr, context.run


@when('an event is declared with the command line')
def declare_event(context):
    start = str(int(time.time() * 1000) + 86_400_000)
    done = command(
        context, 'event', 'declare', 'opening', '--start-ms', start,
        '--tokens-per-second', '5000', '--model', fleet_steps.MODEL,
    )  # fmt: skip
    assert done.returncode == 0, done


@then('it is listed and planned')
def listed_and_planned(context):
    assert 'opening' in command(context, 'event', 'list').stdout
    plan = command(context, 'event', 'plan').stdout
    assert 'VMs for opening' in plan and '#' in plan, plan


@when('the event is cancelled with the command line')
def cancel_event(context):
    done = command(context, 'event', 'cancel', 'opening')
    assert done.returncode == 0, done
    again = command(context, 'event', 'cancel', 'opening')
    assert again.returncode == 1 and 'no event' in again.stderr, again


@then('no event is listed')
def none_listed(context):
    assert not command(context, 'event', 'list').stdout.strip()
    status = command(context, 'config', 'status', '--document').stdout
    assert '[team first]' in status, status


def in_work(address):
    with request.urlopen(f'http://{address}/healthz') as reply:
        return json.load(reply)['in_work']


@when('a router is killed while an answer streams')
def killed_while_streaming(context):
    stop_busy(context, signal.SIGKILL)


@when('a router is frozen while an answer streams')
def frozen_while_streaming(context):
    stop_busy(context, signal.SIGSTOP)


@when('the frozen router goes on')
def goes_on(context):
    context.stopped.send_signal(signal.SIGCONT)


@then('both routers are alive again')
def both_alive(context):
    survivor = context.processes.index(context.survivor) - 1
    context.peers = [context.peers[survivor]]
    for _ in range(100):
        nodes = command(context, 'node', 'list').stdout
        if nodes.count('alive') == 2:
            return
        time.sleep(0.1)
    raise AssertionError(nodes)


def stop_busy(context, how):
    """Stop the router that serves an answer in the middle of it."""
    context.stream = subprocess.Popen(
        [f'{BIN}/peridotmast', *send_args(context, 400)],
        stdout=subprocess.PIPE,
        text=True,
    )
    context.read = context.stream.stdout.read(40)
    busy = [in_work(address) for address in context.addresses]
    assert sorted(busy) == [0, 1], busy
    context.stopped = context.processes[1 + busy.index(1)]
    context.stopped.send_signal(how)
    context.survivor = context.processes[1 + busy.index(0)]


@then("the answer's end is printed by the other router")
def end_printed(context):
    rest = context.stream.communicate(timeout=40)[0]
    text = (context.read + rest).rstrip('\n')
    assert context.stream.returncode == 0, text[-200:]
    assert text == ''.join(fleet_steps.expected(PROMPT, 400)), text[-80:]


@when('the other router is told to stop')
def told_to_stop(context):
    context.survivor.send_signal(signal.SIGTERM)


@then('it ends with 0 after its drain')
def ends_after_drain(context):
    assert context.survivor.wait(timeout=30) == 0
