"""Attributes late and failed requests to causes, from the routers' logs."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import enum
import os
import re
import statistics
import typing as ty

from peridotmast.load import plots
from peridotmast.serving import peer_sender
from peridotmast.serving import stream_versions

_KEY_VALUE = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')

_INTERVAL_S = 2
"""Length of the intervals in the table and the plot over time, in s."""

_MAX_READ_SHARE = 0.5
"""Share of the latency target above which the time to read prompts counts as
the cause of a late answer."""

_MIN_SAMPLES = 5
"""Minimum number of requests to an engine without a backlog from which its
speed is estimated."""

_SLOW_ENGINE_SHARE = 0.5
"""Share of the fleet's median speed below which an engine counts as slow."""

_MIN_TOKENS = 1000
"""Minimum number of uncached prompt tokens of a request from which speed is
estimated."""
_BROKEN_STREAM_EVENTS = frozenset(
    ('stream_broke', 'not_moved', 'answer_broken')
)
_EVENTS = frozenset(('attempt', 'answered', 'refused', *_BROKEN_STREAM_EVENTS))
_VERSION_REASONS = frozenset((peer_sender.NO_VERSION, stream_versions.UNKNOWN))


class Cause(enum.Enum):
    """Causes of late and failed requests."""

    REFUSED = 'refused by the router'
    VERSION = 'none of the version that began its stream'
    CUT = 'cut off by its upstream'
    FAILED = 'failed at its upstream'
    RETRIED = 'tried more than once'
    FULL = 'its engine had all places taken'
    OWN_PROMPT = 'its own prompt is long'
    KNOWN_QUEUE = 'waited behind prompts that were known'
    SLOW_ENGINE = 'its engine was slow'
    UNKNOWN_QUEUE = 'waited behind what was not known'


@dataclasses.dataclass
class RequestLog:
    """The logged events of one request."""

    at: float = 0.0
    """Time of the last event, in s since the epoch."""
    route: str = ''
    attempts: list[dict[str, str]] = dataclasses.field(default_factory=list)
    answered: dict[str, str] = dataclasses.field(default_factory=dict)
    refused: dict[str, str] = dataclasses.field(default_factory=dict)
    is_broken: bool = False
    reason: str = ''
    """Last reason for which the request was refused or its stream broke."""

    @property
    def first_ms(self) -> int:
        """Time to the first byte of the answer, in ms."""
        return int(self.answered.get('first_ms', 0))

    @property
    def target_ms(self) -> int:
        """Latency target of the route, in ms; 0 if it was not logged."""
        return int(self.answered.get('target_ms', 0))

    @property
    def is_late(self) -> bool:
        """Whether the first byte came after the latency target."""
        return bool(self.target_ms) and self.first_ms > self.target_ms


def run(paths: ty.Sequence[str], folder: str) -> list[str]:
    """Return tables of late and failed requests by cause and by time.

    A plot over time is written into `folder`.

    Raises
    ------
    OSError
        If a log cannot be read.
    """
    requests = read_requests(paths)
    speeds = _EngineSpeeds(requests.values())
    losses = [
        (request.at, request.route, cause)
        for request in requests.values()
        if (cause := cause_of(request, speeds)) is not None
    ]
    if losses:
        _plot(folder, losses)
    return [
        f'{len(requests)} requests, {len(losses)} late or failed',
        *_table_by_cause(losses),
        *_table_by_time(losses),
    ]


def read_requests(paths: ty.Iterable[str]) -> dict[str, RequestLog]:
    """Return the logged events of each request by request id."""
    requests: dict[str, RequestLog] = collections.defaultdict(RequestLog)
    for path in paths:
        with open(path, encoding='utf-8', errors='replace') as file:
            for line in file:
                _add_line(requests, line)
    return dict(requests)


def cause_of(request: RequestLog, speeds: _EngineSpeeds) -> ty.Optional[Cause]:
    """Return the cause if a request was late or failed, else None."""
    if request.reason in _VERSION_REASONS:
        return Cause.VERSION
    if request.refused:
        return Cause.REFUSED
    if request.is_broken:
        return Cause.CUT
    if request.answered.get('status', '').startswith('5'):
        return Cause.FAILED
    if not request.is_late or not request.attempts:
        return None
    return _cause_of_delay(request, speeds)


def _cause_of_delay(request: RequestLog, speeds: _EngineSpeeds) -> Cause:
    last = request.attempts[-1]
    if len(request.attempts) > 1:
        return Cause.RETRIED
    if int(last.get('running', 0)) >= int(last.get('slots', 0) or 1 << 30):
        return Cause.FULL
    speed = speeds.fleet
    tokens = _uncached_tokens(last)
    if speed and tokens / speed > _MAX_READ_SHARE * request.target_ms:
        return Cause.OWN_PROMPT
    own_speed = speeds.of(last.get('upstream', ''))
    if own_speed and speed and own_speed < _SLOW_ENGINE_SHARE * speed:
        return Cause.SLOW_ENGINE
    backlog = int(last.get('unread', 0))
    if (
        speed
        and (backlog + tokens) / speed > _MAX_READ_SHARE * request.target_ms
    ):
        return Cause.KNOWN_QUEUE
    return Cause.UNKNOWN_QUEUE


class _EngineSpeeds:
    """Prompt speeds of engines, in tokens per ms.

    They are estimated from the time to the first byte of requests that were
    sent once, to an engine without a backlog.
    """

    def __init__(self, requests: ty.Iterable[RequestLog]) -> None:
        samples: dict[str, list[float]] = collections.defaultdict(list)
        for request in requests:
            if len(request.attempts) != 1 or not request.first_ms:
                continue
            attempt = request.attempts[0]
            tokens = _uncached_tokens(attempt)
            if tokens >= _MIN_TOKENS and attempt.get('unread') == '0':
                samples[attempt['upstream']].append(tokens / request.first_ms)
        self._by_upstream = {
            name: statistics.median(values)
            for name, values in samples.items()
            if len(values) >= _MIN_SAMPLES
        }
        combined = [value for values in samples.values() for value in values]
        self.fleet = statistics.median(combined) if combined else 0.0
        """Median of all engines' samples; 0 if there are none."""

    def of(self, upstream: str) -> float:
        """Return the speed of one engine; 0 if it has too few samples."""
        return self._by_upstream.get(upstream, 0.0)


def _add_line(requests: dict[str, RequestLog], line: str) -> None:
    values = dict(_KEY_VALUE.findall(line))
    event, request_id = values.get('event'), values.get('request')
    if event not in _EVENTS or not request_id:
        return
    request = requests[request_id]
    request.at = _parse_timestamp(values.get('timestamp', '')) or request.at
    request.route = values.get('route', request.route)
    request.reason = values.get('reason', request.reason)
    if event == 'attempt':
        request.attempts.append(values)
    elif event == 'answered':
        request.answered = values
    elif event == 'refused':
        request.refused = values
    else:
        request.is_broken = True


def _uncached_tokens(attempt: dict[str, str]) -> int:
    """Return the prompt tokens that the engine did not have in its cache."""
    tokens = int(attempt.get('tokens', 0))
    if attempt.get('home') == 'True':
        tokens -= int(attempt.get('shared', 0))
    return max(0, tokens)


def _parse_timestamp(text: str) -> float:
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError:
        return 0.0


def _table_by_cause(
    losses: ty.Sequence[tuple[float, str, Cause]],
) -> list[str]:
    causes = collections.Counter(cause for _, _, cause in losses)
    routes = sorted({route for _, route, _ in losses})
    counts = collections.Counter((cause, route) for _, route, cause in losses)
    head = f'{"cause":<40}{"all":>6}' + ''.join(f'{r:>14}' for r in routes)
    return ['', head] + [
        f'{cause.value:<40}{count:>6}'
        + ''.join(f'{counts[cause, route]:>14}' for route in routes)
        for cause, count in causes.most_common()
    ]


def _table_by_time(losses: ty.Sequence[tuple[float, str, Cause]]) -> list[str]:
    if not losses:
        return []
    began = min(at for at, _, _ in losses)
    intervals: dict[int, collections.Counter[Cause]] = collections.defaultdict(
        collections.Counter
    )
    for at, _, cause in losses:
        intervals[int((at - began) // _INTERVAL_S) * _INTERVAL_S][cause] += 1
    rows = sorted(intervals.items(), key=lambda item: -sum(item[1].values()))
    return ['', f'{"from second":<14}{"count":>6}  most common causes'] + [
        f'{second:<14}{sum(causes.values()):>6}  '
        + ', '.join(f'{c.value} {n}' for c, n in causes.most_common(3))
        for second, causes in rows[:10]
    ]


def _plot(folder: str, losses: ty.Sequence[tuple[float, str, Cause]]) -> None:
    os.makedirs(folder, exist_ok=True)
    began = min(at for at, _, _ in losses)
    seconds = sorted({int((at - began) // _INTERVAL_S) for at, _, _ in losses})
    common = collections.Counter(cause for _, _, cause in losses).most_common(
        4
    )
    plots.lines(
        os.path.join(folder, 'losses.png'),
        f'Late or failed requests in {_INTERVAL_S} s',
        {
            cause.value: (
                [second * _INTERVAL_S for second in seconds],
                [
                    sum(
                        c is cause and (at - began) // _INTERVAL_S == second
                        for at, _, c in losses
                    )
                    for second in seconds
                ],
            )
            for cause, _ in common
        },
        's',
        'requests',
    )
