"""Random histories of stateful models."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful


def settings(count, **more):
    """Return the settings of `count` reproducible random examples."""
    return hypothesis.settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
        **more,
    )


def run(model, count, steps):
    """Run reproducible random histories of a model."""
    stateful.run_state_machine_as_test(
        model, settings=settings(count, stateful_step_count=steps)
    )
