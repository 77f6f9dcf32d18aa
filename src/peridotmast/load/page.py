"""A report as an HTML page for light and dark themes and small screens."""

from __future__ import annotations

import base64
import glob
import html
import os
import typing as ty

from peridotmast.load import oracle

_STYLE = """
:root { color-scheme: light dark; }
body { font: 16px/1.5 system-ui, sans-serif; max-width: 46rem;
  margin: 0 auto; padding: 1rem; }
table { border-collapse: collapse; width: 100%; margin: .5rem 0 1.5rem; }
td, th { padding: .25rem .5rem; border-bottom: 1px solid #8884;
  text-align: right; }
td:first-child, th:first-child { text-align: left; }
h1 { font-size: 1.4rem; } h2 { font-size: 1.1rem; }
img { max-width: 100%; height: auto; }
.scroll { overflow-x: auto; }
.good { color: #2a9d6f; } .bad { color: #d0483e; }
"""

_SUMMARY_KEYS = (
    'requests',
    'answered_whole',
    'outcome_unknown',
    'generated_tokens',
    'recomputed_tokens',
    'moved_tokens',
    'cost',
    'cost_at_target',
    'cost_a_million_tokens',
)


def write(folder: str, report: dict[str, ty.Any]) -> None:
    """Write ``index.html`` into `folder`, with the plots embedded."""
    meets = report['meets_target']
    verdict = 'met' if meets else 'missed'
    parts = [
        '<!doctype html><html lang="en"><meta charset="utf-8">',
        '<meta name="viewport" content="width=device-width">',
        f'<title>peridotmast experiment</title><style>{_STYLE}</style>',
        '<h1>Experiment</h1>',
        f'<p class="{"good" if meets else "bad"}">Latency target {verdict}: '
        f'first token {report["first_token_ms"]["p95"]} of '
        f'{report["targets"]["ttft_ms"]:g} ms, between tokens '
        f'{report["between_tokens_ms"]["p95"]} of '
        f'{report["targets"]["tpot_ms"]:g} ms (95th percentile).</p>',
        _table('Summary', ((n, report[n]) for n in _SUMMARY_KEYS)),
        _table(
            'Violated guarantees', ((n, report[n]) for n in oracle.GUARANTEES)
        ),
        _workloads(report['workloads']),
        _table('Refusals by reason', report['refused'].items()),
        _table('Faults', report['faults'].items()),
        *_images(folder),
    ]
    path = os.path.join(folder, 'index.html')
    with open(path, 'w', encoding='utf-8') as file:
        file.write('\n'.join(parts))


def _table(title: str, rows: ty.Iterable[tuple[str, ty.Any]]) -> str:
    cells = ''.join(
        f'<tr><td>{html.escape(name.replace("_", " "))}<td>{_format(value)}'
        for name, value in rows
    )
    empty = '<tr><td>none<td>'
    return f'<h2>{title}</h2><table>{cells or empty}</table>'


def _workloads(workloads: dict[str, dict[str, ty.Any]]) -> str:
    rows = []
    for name, figures in workloads.items():
        first = figures['first_token_ms']
        between = figures['between_tokens_ms']
        values = (
            figures['requests'],
            figures['failed'],
            first['p50'],
            first['p95'],
            first['p99'],
            between['p95'],
        )
        cells = ''.join(f'<td>{_format(value)}' for value in values)
        rows.append(f'<tr><td>{html.escape(name)}{cells}')
    head = (
        '<tr><th>workload<th>requests<th>failed<th>first p50<th>p95<th>p99'
        '<th>between p95'
    )
    return (
        '<h2>Workloads, ms</h2><div class="scroll"><table>'
        f'{head}{"".join(rows)}</table></div>'
    )


def _images(folder: str) -> list[str]:
    parts = []
    for path in sorted(glob.glob(os.path.join(folder, '*.png'))):
        with open(path, 'rb') as file:
            data = base64.b64encode(file.read()).decode()
        name = html.escape(os.path.basename(path))
        parts.append(f'<img alt="{name}" src="data:image/png;base64,{data}">')
    return parts


def _format(value: ty.Any) -> str:
    if isinstance(value, float):
        return f'{value:,.6g}'
    return html.escape(f'{value:,}' if isinstance(value, int) else str(value))
