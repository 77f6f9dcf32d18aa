"""Random histories of stateful models."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful


def run(model, count, steps):
    """Run reproducible random histories of a model."""
    stateful.run_state_machine_as_test(
        model,
        settings=hypothesis.settings(
            max_examples=count,
            stateful_step_count=steps,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )
