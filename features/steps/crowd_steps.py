"""Steps for crowds of clients that do not behave."""

from __future__ import annotations

import datetime
import itertools
import pathlib
import re

from behave import given
from behave import then
from behave import when

from peridotmast.load.crowds import crowd as crowd_
from peridotmast.load.crowds import play as play_

SEED = 75
TROUBLED_WORK_MS = 1000
MIN_GAP = datetime.timedelta(milliseconds=900)
"""Time between two lines, less what the clocks and timers may differ."""


@given(
    'a router process that may use {memory:d} MB and {descriptors:d}'
    ' descriptors'
)
def set_limits(context, memory, descriptors):
    context.limits = {'memory_mb': memory, 'descriptors': descriptors}


def play(context, crowd, **values):
    context.play = play_.Play(crowd, **context.limits, **values)
    context.result = play_.run_play(context.play, SEED, context.folder)
    context.broken = context.result.violations(context.play)


@when(
    '{clients:d} clients of the kind "{kind}" press on its server "{server}",'
    ' and requests take {work:d} ms'
)
def press(context, clients, kind, server, work):
    crowd = crowd_.Crowd(
        crowd_.Kind(kind), clients, crowd_.Server[server.upper()]
    )
    play(context, crowd, work_ms=work)


@when('{clients:d} clients take streams of "{what}" of {size:d} KiB')
def take_streams(context, clients, what, size):
    crowd = crowd_.Crowd(crowd_.Kind.STREAMS, clients)
    play(context, crowd, streams=what, stream_bytes=size << 10)


@when(
    '{clients:d} clients connect {rounds:d} times each and send heads without'
    ' end'
)
def reconnect(context, clients, rounds):
    play(context, crowd_.Crowd(crowd_.Kind.HEADS, clients, rounds=rounds))


@when(
    '{clients:d} clients of the kind "{kind}" press on it, and it is stopped'
)
def press_and_stop(context, clients, kind):
    play(context, crowd_.Crowd(crowd_.Kind(kind), clients), stops=True)


@when(
    '{clients:d} clients of the kind "{kind}" press on it beside a reclaim and'
    ' a change of the limits'
)
def press_beside_troubles(context, clients, kind):
    crowd = crowd_.Crowd(crowd_.Kind(kind), clients)
    play(context, crowd, work_ms=TROUBLED_WORK_MS, troubles=True)


@then('the process runs within its memory and its descriptors')
def check_process(context):
    result, bounds = context.result, context.play
    assert result.lives, result
    assert result.peak_mb <= bounds.memory_mb, result
    assert result.descriptors <= bounds.descriptors, result


@then('ordinary callers are answered beside the crowd and after it')
def check_callers(context):
    assert not context.broken, (context.broken, context.result)


@then('the process ends by itself')
def check_stopped(context):
    assert not context.broken, (context.broken, context.result)


@then(
    'its metrics count connections closed for others, and memory below the'
    ' budget'
)
def check_metrics(context):
    closed = 'peridotmast_overload_total{action="closed_reading"}'
    metrics = context.result.metrics
    assert metrics[closed] >= 1, metrics
    budget = metrics['peridotmast_request_memory_max_bytes']
    assert metrics['peridotmast_request_memory_bytes'] <= budget, metrics


@then('its log has at most one line "overload" a second')
def check_log(context):
    log = '\n'.join(
        path.read_text() for path in pathlib.Path(context.folder).glob('*.log')
    )
    times = [
        datetime.datetime.fromisoformat(found)
        for found in re.findall(
            r'^timestamp=(\S+) \S+ event=overload ', log, re.MULTILINE
        )
    ]
    assert times, log[-2000:]
    gaps = [after - before for before, after in itertools.pairwise(times)]
    assert all(gap >= MIN_GAP for gap in gaps), gaps
