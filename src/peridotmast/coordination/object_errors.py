"""Unexpected errors in the processing of single stored objects."""

from __future__ import annotations

import contextlib
import typing as ty

from peridotmast.coordination import objects
from peridotmast import invariants
from peridotmast import logs


class ObjectErrors:
    """Confines an error to the stored object that has caused it.

    What other programs write must not stop this one from reading the objects
    that follow.

    Parameters
    ----------
    task : str
        Name of the task that processes the objects.
    """

    def __init__(self, task: str) -> None:
        self._task = task
        self._log = logs.get('objects')
        self.on_error: ty.Callable[[str, BaseException], None] = (
            lambda task, exc: None
        )
        """Called with the name of the task and each error."""

    @contextlib.contextmanager
    def confine(self, stored: objects.StoredObject) -> ty.Iterator[None]:
        """Report an error instead of raising it; a context manager."""
        try:
            yield
        except invariants.InvariantViolation:
            # Raised in tests only, which it must end.
            raise
        except Exception as exc:
            self._log.error(
                'object_failed',
                task=self._task,
                object=stored.name,
                revision=stored.revision,
            )
            self.on_error(self._task, exc)
