"""Plots for light and dark pages and small screens."""

from __future__ import annotations

import typing as ty

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402

_TEXT_COLOR = '#7a7a7a'
_COLORS = ('#2a7f62', '#c0792a', '#5b6fb5', '#a5485f')
_SIZE = (4.6, 2.8)


def bars(
    path: str,
    names: ty.Sequence[str],
    groups: dict[str, ty.Sequence[float]],
) -> None:
    """Write a bar chart for each of `groups`, with a bar for each name."""
    figure, axes = pyplot.subplots(
        len(groups), 1, figsize=(_SIZE[0], _SIZE[1] * len(groups))
    )
    panels = [axes] if len(groups) == 1 else list(axes)
    for panel, (title, values) in zip(panels, groups.items()):
        drawn = panel.bar(names, values, color=_COLORS[: len(names)])
        panel.bar_label(drawn, color=_TEXT_COLOR, fmt='{:,.4g}')
        _style(panel, title)
    _save(figure, path)


def lines(
    path: str,
    title: str,
    series: ty.Mapping[str, tuple[ty.Sequence[float], ...]],
    x_label: str,
    y_label: str,
) -> None:
    """Write a line chart with a line for each of `series` (x and y values)."""
    figure, panel = pyplot.subplots(figsize=_SIZE)
    for color, (name, (xs, ys)) in zip(_COLORS * 3, series.items()):
        panel.plot(xs, ys, label=name, color=color, linewidth=1.6)
    panel.set_xlabel(x_label, color=_TEXT_COLOR)
    panel.set_ylabel(y_label, color=_TEXT_COLOR)
    panel.legend(frameon=False, labelcolor=_TEXT_COLOR, fontsize=8)
    _style(panel, title)
    _save(figure, path)


def _style(panel: ty.Any, title: str) -> None:
    panel.set_title(title, color=_TEXT_COLOR, fontsize=10)
    panel.tick_params(colors=_TEXT_COLOR)
    panel.margins(y=0.15)
    for name, spine in panel.spines.items():
        spine.set_visible(name in ('left', 'bottom'))
        spine.set_color(_TEXT_COLOR)


def _save(figure: ty.Any, path: str) -> None:
    figure.tight_layout()
    figure.savefig(path, dpi=160, transparent=True)
    pyplot.close(figure)
