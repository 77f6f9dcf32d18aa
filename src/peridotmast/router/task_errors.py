"""Unexpected errors of a router's tasks, in the log and in a metric."""

from __future__ import annotations

import itertools
import pathlib
import traceback

import prometheus_client

from peridotmast import logs

_MAX_LOGGED = 500
"""Maximum number of logged characters of an error."""

_LOGGED_FRAMES = 3
"""Number of innermost calls that the place of an error names."""


class TaskErrors:
    """Logs and counts the errors that nothing else has handled.

    Parameters
    ----------
    router : str
        Name of the router.
    registry : prometheus_client.CollectorRegistry
        Registry of the counter ``peridotmast_task_errors_total``.
    """

    def __init__(
        self, router: str, registry: prometheus_client.CollectorRegistry
    ) -> None:
        self._log = logs.get('tasks', router=router)
        self._counter = prometheus_client.Counter(
            'peridotmast_task_errors',
            'Unexpected errors of tasks, each a fault of the program.',
            ['task'],
            registry=registry,
        )

    def report(self, task: str, exc: BaseException) -> None:
        """Record an error that has ended a task, or a part of its work."""
        self._counter.labels(task).inc()
        self._log.error(
            'task_failed', task=task, error=_text_of(exc), place=_place_of(exc)
        )


def _text_of(exc: BaseException) -> str:
    """Return an error as text, also if its arguments have none."""
    try:
        return repr(exc)[:_MAX_LOGGED]
    except Exception:
        return type(exc).__name__


def _place_of(exc: BaseException) -> str:
    """Return the innermost calls at which an error was raised."""
    frames = traceback.extract_tb(exc.__traceback__)
    innermost = itertools.islice(reversed(frames), _LOGGED_FRAMES)
    return ' < '.join(
        f'{pathlib.Path(frame.filename).stem}.{frame.name}:{frame.lineno}'
        for frame in innermost
    )
