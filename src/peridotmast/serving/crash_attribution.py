"""Decides which of the suspects of a crash another one accounts for."""

from __future__ import annotations

import typing as ty

from peridotmast.serving import crash_keys
from peridotmast.serving import crash_suspect

_Suspect = crash_suspect.Suspect
_CrashesByRun = crash_suspect.CrashesByRun


def exclude_attributed(
    suspect: _Suspect,
    crashes: _CrashesByRun,
    suspects: ty.Iterable[_Suspect],
    valid_crashes: ty.Callable[[_Suspect], _CrashesByRun],
) -> _CrashesByRun:
    """Return the crashes that are not attributed to another suspect.

    Crashes are not attributed to a suspect that has more than one crash
    fewer than this one: it may only have been queued at one of the
    upstreams. A difference of one is allowed, as the last crash of the
    other suspect may not be known yet.

    Parameters
    ----------
    crashes : dict
        Valid crashes of `suspect`.
    valid_crashes : callable
        Returns the crashes of a suspect that count despite later answers.
    """
    answered = [run for run, c in crashes.items() if c.was_answering]
    if not answered:
        return crashes
    min_crashes = len(crashes) - 1
    others = [
        valid_crashes(other)
        for other in suspects
        if other is not suspect
        and len(other.crashes) >= min_crashes
        and any(
            run in other.crashes and not other.crashes[run].was_answering
            for run in answered
        )
    ]
    attributed_runs = {
        run
        for other_crashes in others
        if len(other_crashes) >= min_crashes
        for run, crash in other_crashes.items()
        if not crash.was_answering
    }
    return {
        run: crash
        for run, crash in crashes.items()
        if not (crash.was_answering and run in attributed_runs)
    }


def is_ambiguous(
    suspect: _Suspect,
    crashes: _CrashesByRun,
    keys: crash_keys.CrashKeys,
    suspects: ty.Iterable[_Suspect],
) -> bool:
    """Return whether what a request lacks may explain a suspect's crashes.

    A part that so far came only together with a crashing one is blocked with
    it. A request with the first part alone shows which one it is.

    Parameters
    ----------
    crashes : dict
        Valid crashes of `suspect`.
    keys : crash_keys.CrashKeys
        The request, which has `suspect`.
    """
    explained = {
        run
        for other in suspects
        if other.is_blocked and other.key not in keys.all()
        for run in other.crashes
    }
    return not suspect.has_enough(
        {run: c for run, c in crashes.items() if run not in explained}
    )
