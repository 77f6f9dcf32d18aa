"""Why requests were late or lost, from the logs of a fleet's routers."""

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

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')

_BUCKET_S = 2
"""Width of a moment in the table over time, in s."""

_LONG_SHARE = 0.5
"""Part of the target that a prompt's own reading may take before it counts
as the cause."""

_LEAST_SAMPLES = 5
"""First tokens at an idle engine from which its speed is told."""

_SLOW_SHARE = 0.5
"""Part of the fleet's speed below which an engine counts as slow."""

_LEAST_TOKENS = 1000
_BROKE = frozenset(('stream_broke', 'not_moved'))
_EVENTS = frozenset(('attempt', 'answered', 'refused', *_BROKE))


class Cause(enum.Enum):
    """Why a request was not answered in time."""

    REFUSED = 'refused by the router'
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
    """What the logs say of one request."""

    at: float = 0.0
    """Moment of its last line, in s since 1970."""
    route: str = ''
    attempts: list[dict[str, str]] = dataclasses.field(default_factory=list)
    answered: dict[str, str] = dataclasses.field(default_factory=dict)
    refused: dict[str, str] = dataclasses.field(default_factory=dict)
    broke: bool = False

    @property
    def first_ms(self) -> int:
        """Time to its first byte, in ms."""
        return int(self.answered.get('first_ms', 0))

    @property
    def target_ms(self) -> int:
        """Latency target of its route, in ms; 0 where no line tells."""
        return int(self.answered.get('target_ms', 0))

    @property
    def is_late(self) -> bool:
        """Whether its answer began after its target."""
        return bool(self.target_ms) and self.first_ms > self.target_ms


def run(paths: ty.Sequence[str], folder: str) -> list[str]:
    """Return a table of losses by cause; plot them over time into `folder`.

    Raises
    ------
    OSError
        If a log can't be read.
    """
    asked = read_requests(paths)
    speeds = _Speeds(asked.values())
    lost = [
        (one.at, one.route, cause)
        for one in asked.values()
        if (cause := cause_of(one, speeds)) is not None
    ]
    if lost:
        _plot(folder, lost)
    return [
        f'{len(asked)} requests, {len(lost)} late or lost',
        *_by_cause(lost),
        *_by_moment(lost),
    ]


def read_requests(paths: ty.Iterable[str]) -> dict[str, RequestLog]:
    """Return what logs say of each request, by its id."""
    asked: dict[str, RequestLog] = collections.defaultdict(RequestLog)
    for path in paths:
        with open(path, encoding='utf-8', errors='replace') as file:
            for line in file:
                _take(asked, line)
    return dict(asked)


def cause_of(one: RequestLog, speeds: _Speeds) -> ty.Optional[Cause]:
    """Return why a request was late or lost; None where it was neither."""
    if one.refused:
        return Cause.REFUSED
    if one.broke:
        return Cause.CUT
    if one.answered.get('status', '').startswith('5'):
        return Cause.FAILED
    if not one.is_late or not one.attempts:
        return None
    return _late_cause(one, speeds)


def _late_cause(one: RequestLog, speeds: _Speeds) -> Cause:
    last = one.attempts[-1]
    if len(one.attempts) > 1:
        return Cause.RETRIED
    if int(last.get('running', 0)) >= int(last.get('slots', 0) or 1 << 30):
        return Cause.FULL
    speed = speeds.fleet
    tokens = _read_tokens(last)
    if speed and tokens / speed > _LONG_SHARE * one.target_ms:
        return Cause.OWN_PROMPT
    own = speeds.of(last.get('upstream', ''))
    if own and speed and own < _SLOW_SHARE * speed:
        return Cause.SLOW_ENGINE
    behind = int(last.get('unread', 0))
    if speed and (behind + tokens) / speed > _LONG_SHARE * one.target_ms:
        return Cause.KNOWN_QUEUE
    return Cause.UNKNOWN_QUEUE


class _Speeds:
    """Tokens a ms that engines read, from those that had nothing to read."""

    def __init__(self, asked: ty.Iterable[RequestLog]) -> None:
        found: dict[str, list[float]] = collections.defaultdict(list)
        for one in asked:
            if len(one.attempts) != 1 or not one.first_ms:
                continue
            attempt = one.attempts[0]
            tokens = _read_tokens(attempt)
            if tokens >= _LEAST_TOKENS and attempt.get('unread') == '0':
                found[attempt['upstream']].append(tokens / one.first_ms)
        self._by_upstream = {
            name: statistics.median(values)
            for name, values in found.items()
            if len(values) >= _LEAST_SAMPLES
        }
        every = [value for values in found.values() for value in values]
        self.fleet = statistics.median(every) if every else 0.0
        """The middle one of all."""

    def of(self, upstream: str) -> float:
        """Return one engine's; 0 where too little is known."""
        return self._by_upstream.get(upstream, 0.0)


def _take(asked: dict[str, RequestLog], line: str) -> None:
    values = dict(_PAIR.findall(line))
    event, request = values.get('event'), values.get('request')
    if event not in _EVENTS or not request:
        return
    one = asked[request]
    one.at = _moment(values.get('timestamp', '')) or one.at
    one.route = values.get('route', one.route)
    if event == 'attempt':
        one.attempts.append(values)
    elif event == 'answered':
        one.answered = values
    elif event == 'refused':
        one.refused = values
    else:
        one.broke = True


def _read_tokens(attempt: dict[str, str]) -> int:
    """Return the tokens that the engine had to read for a request."""
    tokens = int(attempt.get('tokens', 0))
    if attempt.get('home') == 'True':
        tokens -= int(attempt.get('shared', 0))
    return max(0, tokens)


def _moment(text: str) -> float:
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError:
        return 0.0


def _by_cause(lost: ty.Sequence[tuple[float, str, Cause]]) -> list[str]:
    causes = collections.Counter(cause for _, _, cause in lost)
    routes = sorted({route for _, route, _ in lost})
    counts = collections.Counter((cause, route) for _, route, cause in lost)
    head = f'{"cause":<40}{"all":>6}' + ''.join(f'{r:>14}' for r in routes)
    return ['', head] + [
        f'{cause.value:<40}{count:>6}'
        + ''.join(f'{counts[cause, route]:>14}' for route in routes)
        for cause, count in causes.most_common()
    ]


def _by_moment(lost: ty.Sequence[tuple[float, str, Cause]]) -> list[str]:
    if not lost:
        return []
    began = min(at for at, _, _ in lost)
    moments: dict[int, collections.Counter[Cause]] = collections.defaultdict(
        collections.Counter
    )
    for at, _, cause in lost:
        moments[int((at - began) // _BUCKET_S) * _BUCKET_S][cause] += 1
    rows = sorted(moments.items(), key=lambda item: -sum(item[1].values()))
    return ['', f'{"from second":<14}{"lost":>6}  most of them'] + [
        f'{second:<14}{sum(causes.values()):>6}  '
        + ', '.join(f'{c.value} {n}' for c, n in causes.most_common(3))
        for second, causes in rows[:10]
    ]


def _plot(folder: str, lost: ty.Sequence[tuple[float, str, Cause]]) -> None:
    os.makedirs(folder, exist_ok=True)
    began = min(at for at, _, _ in lost)
    seconds = sorted({int((at - began) // _BUCKET_S) for at, _, _ in lost})
    common = collections.Counter(cause for _, _, cause in lost).most_common(4)
    plots.lines(
        os.path.join(folder, 'losses.png'),
        f'Late or lost, in {_BUCKET_S} s',
        {
            cause.value: (
                [second * _BUCKET_S for second in seconds],
                [
                    sum(
                        c is cause and (at - began) // _BUCKET_S == second
                        for at, _, c in lost
                    )
                    for second in seconds
                ],
            )
            for cause, _ in common
        },
        's',
        'requests',
    )
