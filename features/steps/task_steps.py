"""Steps for tasks that must not end, and errors that nobody expects."""

from __future__ import annotations

import itertools
from unittest import mock

from behave import then
from behave import when
import helpers
import histories
import hypothesis
from hypothesis import strategies
import prometheus_client

from peridotmast.coordination import registry as registry_
from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.platform import names
from peridotmast.router import task_errors
from peridotmast.schema import peridotmast_pb2 as pb

ERRORS = (
    OverflowError('int too large'),
    KeyError('name'),
    RecursionError(),
    OSError(24, 'Too many open files'),
    AssertionError(),
    # Has more digits than Python converts to text.
    ValueError(10**5000),
    green.Timeout(),
)
METRIC = 'peridotmast_task_errors_total'


def fail_times(func, count, on=lambda *args: True):
    """Return `func`, whose first `count` calls that `on` selects fail."""
    numbers = itertools.count()

    def call(*args, **kwargs):
        if on(*args) and (count is None or next(numbers) < count):
            raise OverflowError('int too large to convert to float')
        return func(*args, **kwargs)

    return call


@then(
    'in {count:d} drawn runs, each task that is supervised runs again after'
    ' each of its errors'
)
def tasks_run_again(context, count):
    @hypothesis.seed(66)
    @histories.settings(count)
    @hypothesis.given(
        strategies.lists(
            strategies.lists(strategies.sampled_from(ERRORS), max_size=4),
            min_size=1,
            max_size=5,
        )
    )
    def test(scripts):
        registry = prometheus_client.CollectorRegistry()
        tasks = green.Tasks(task_errors.TaskErrors('r', registry).report)
        waiting = set()

        def run(name, errors):
            if errors:
                raise errors.pop()
            waiting.add(name)
            green.Event().wait()

        with mock.patch.object(green, '_FIRST_RESTART_MS', 0):
            for number, errors in enumerate(scripts):
                name = f'task-{number}'
                tasks.supervise(name, run, name, list(errors))
            for _ in range(20):
                green.sleep_ms(0)
        assert len(waiting) == len(scripts), (waiting, scripts)
        for number, errors in enumerate(scripts):
            labels = {'task': f'task-{number}'}
            counted = registry.get_sample_value(METRIC, labels) or 0
            assert counted == len(errors), (counted, errors)
        tasks.stop()

    test()


def pauses_of(errors, run_ms=0):
    """Return the pauses of a task that fails after running for `run_ms`."""
    pauses, errors = [], list(errors)
    tasks = green.Tasks(lambda name, exc: None)
    times = itertools.count(0, run_ms / 1000)

    def run():
        if errors:
            raise errors.pop()

    with (
        mock.patch.object(green, 'sleep_ms', pauses.append),
        mock.patch.object(green.time, 'monotonic', lambda: next(times)),
    ):
        tasks._run_until_done('task', run)
    return pauses


@then(
    'a task that fails {count:d} times in a row pauses for {low:d} to'
    ' {high:d} ms each time'
)
def pauses_between(context, count, low, high):
    pauses = pauses_of([OSError()] * count)
    assert len(pauses) == count, pauses
    assert all(low <= pause <= high for pause in pauses), pauses
    assert max(pauses) > high / 2, pauses


@then(
    'a task that has run for a long time before it fails pauses for less than'
    ' {high:d} ms'
)
def pause_after_long(context, high):
    pauses = pauses_of([OSError()] * 5, run_ms=60_000)
    assert max(pauses) < high, pauses


@when('{what} fails unexpectedly at each router, {times}')
def inject(context, what, times):
    count = None if times == 'always' else int(times.split()[0])
    for router in context.fleet.routers:
        state = router.fleet_state
        feed, store = state._upstreams, state.store
        if what == 'the call that waits for changes':
            store.watch = fail_times(
                store.watch,
                count,
                lambda kind, *_: kind == names.UPSTREAM_KIND,
            )
        elif what == 'the processing of changes':
            feed.on_changes = fail_times(feed.on_changes, count)
        elif what == 'the reading of an entry':
            feed._read = fail_times(
                feed._read, count, lambda name, *_: name == 'foreign'
            )
        else:
            state.upstream_table.listen(
                fail_times(
                    lambda view: None, count, lambda view: view.name == 'new'
                )
            )
    entry = next(iter(context.fleet.running_upstreams(shape_.ENGINE_SERVICE)))
    spec = context.fleet.store.spec(names.UPSTREAM_KIND, entry.name)
    for name in ('foreign', 'new'):
        context.fleet.store.put(names.UPSTREAM_KIND, name, spec)
    # What changes next is no part of the change that has caused the error.
    helpers.wait_until(
        lambda: all(map(error_count, context.fleet.routers)), 'an error'
    )


def error_count(router):
    """Return the number of unexpected errors at a router."""
    return sum(
        sample.value
        for metric in router.registry.collect()
        for sample in metric.samples
        if sample.name == METRIC
    )


@when('an engine starts to leave')
def engine_leaves(context):
    engines = context.fleet.running_upstreams(shape_.ENGINE_SERVICE)
    context.leaving = engines[0]
    context.fleet.announce_leaving(context.leaving)


@then('each router has it out of use within {ms:d} ms')
def out_of_use(context, ms):
    def is_out_of_use():
        views = [
            router.upstream_table.get(context.leaving.name)
            for router in context.fleet.routers
        ]
        return not any(
            view.record.state == pb.UPSTREAM_STATE_LIVE for view in views
        )

    helpers.wait_until(is_out_of_use, 'the upstream leaves', ms)


@then('the metric of each router names the task "{task}"')
def named_in_metric(context, task):
    for router in context.fleet.routers:
        count = router.registry.get_sample_value(METRIC, {'task': task})
        assert count, router.cfg.name


@then('the log of an unexpected error names the calls that led to it')
def place_in_log(context):
    errors = task_errors.TaskErrors('r', prometheus_client.CollectorRegistry())
    errors._log = mock.Mock()
    green.Tasks(errors.report)._run('watch', fail_times(None, 1))
    ((event,), line) = errors._log.error.call_args
    assert event == 'task_failed' and line['task'] == 'watch', line
    place = line['place'].split(' < ')
    assert place[0].startswith('task_steps.call:'), place
    assert place[1].startswith('green._run:'), place


@when(
    'a second router starts, and its first {count:d} calls to read the'
    ' members raise an error'
)
def start_failing_router(context, count):
    discover = registry_.Registry._discover
    with mock.patch.object(
        registry_.Registry, '_discover', fail_times(discover, count)
    ):
        context.fleet.add_router('router-2')
        helpers.wait_until(
            lambda: context.fleet.routers[-1].fleet_state._is_registered,
            'the router is registered',
        )
