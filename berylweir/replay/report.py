"""Writes an HTML page with targets and plots of the replays."""

import base64
from collections.abc import Sequence
import html
import io
import pathlib
from typing import Any

from matplotlib import figure as matplotlib_figure

from berylweir.replay import bench
from berylweir.replay import schemas

_STYLE = (
    "body{font-family:sans-serif;max-width:75em;margin:auto}"
    "td,th{padding:.1em .6em;text-align:left}.missed{background:#fdd}"
)


def write_page(
    results: Sequence[bench.ReplayResult],
    records: Sequence[schemas.MetricRecord],
    path: pathlib.Path,
) -> None:
    """Writes the page.

    Args:
        results: Measurements of all replays.
        records: Their metrics with targets.
        path: File to write; missing directories are created.
    """
    parts = [
        "<!doctype html><meta charset=utf-8><title>Replay</title>",
        f"<style>{_STYLE}</style><h1>Replay of the committed traces</h1>",
        _target_table(records),
    ]
    results_by_trace: dict[tuple[str, str], list[bench.ReplayResult]] = {}
    for result in results:
        header = result.header
        key = (header.scenario, header.deployment)
        results_by_trace.setdefault(key, []).append(result)
    for (scenario, deployment), group in results_by_trace.items():
        parts.append(f"<h2>{scenario}, {deployment}</h2>")
        parts.append(_timeline_plots(group))
        parts.append(_latency_plot(group))
    for deployment in dict.fromkeys(r.header.deployment for r in results):
        parts.append(f"<h2>Imbalance against churn, {deployment}</h2>")
        parts.append(
            _imbalance_plot(
                [r for r in results if r.header.deployment == deployment]
            )
        )
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("\n".join(parts))


def _target_table(records: Sequence[schemas.MetricRecord]) -> str:
    rows = []
    for record in records:
        met = bench.meets_target(record)
        if met is None:
            continue
        cells = (
            record.scenario,
            record.deployment,
            record.policy,
            record.metric,
            f"{record.value:g}",
            f"{record.target:g}",
            "met" if met else "missed",
        )
        text = "".join(f"<td>{html.escape(c)}</td>" for c in cells)
        rows.append(f"<tr class={'met' if met else 'missed'}>{text}</tr>")
    return f"<h2>Targets</h2><table>{''.join(rows)}</table>"


def _image_element(figure: matplotlib_figure.Figure) -> str:
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=80, bbox_inches="tight")
    encoded = base64.b64encode(buffer.getvalue()).decode()
    return f'<img src="data:image/png;base64,{encoded}">'


def _timeline_plots(results: Sequence[bench.ReplayResult]) -> str:
    figure = matplotlib_figure.Figure(figsize=(4 * len(results), 3))
    axes: Any = figure.subplots(1, len(results), squeeze=False)
    for result, axis in zip(results, axes[0], strict=True):
        timeline = result.timeline
        axis.plot(timeline.at_s, timeline.served, label="served")
        axis.plot(timeline.at_s, timeline.refused, label="refused")
        axis.set_title(result.policy)
        axis.set_xlabel("s")
        axis.set_ylabel("requests in 0.5 s")
        unavailable_axis = axis.twinx()
        unavailable_axis.fill_between(
            timeline.at_s, timeline.unavailable, alpha=0.3, color="red"
        )
        unavailable_axis.set_ylim(0, 1)
        unavailable_axis.set_ylabel("keys without a server")
        axis.legend(loc="upper left")
    figure.tight_layout()
    return _image_element(figure)


def _latency_plot(results: Sequence[bench.ReplayResult]) -> str:
    figure = matplotlib_figure.Figure(figsize=(7, 3))
    axis: Any = figure.subplots()
    for result in results:
        if result.percentiles:
            percentiles, values = zip(*result.percentiles, strict=True)
            shares_slower = [100.0 - p for p in percentiles]
            axis.plot(shares_slower, values, marker=".", label=result.policy)
    axis.set_xscale("log")
    axis.set_yscale("log")
    axis.invert_xaxis()
    axis.set_xlabel("% of lookups slower")
    axis.set_ylabel("latency (ms)")
    axis.legend(fontsize="small")
    return _image_element(figure)


def _imbalance_plot(results: Sequence[bench.ReplayResult]) -> str:
    figure = matplotlib_figure.Figure(figsize=(8, 4))
    axis: Any = figure.subplots()
    for policy in dict.fromkeys(r.policy for r in results):
        policy_results = [
            r
            for r in results
            if r.policy == policy and "imbalance" in r.metric_values
        ]
        axis.scatter(
            [r.metric_values["churn"] for r in policy_results],
            [r.metric_values["imbalance"] for r in policy_results],
            label=policy,
        )
        for result in policy_results:
            axis.annotate(
                result.header.scenario,
                (
                    result.metric_values["churn"],
                    result.metric_values["imbalance"],
                ),
                fontsize=6,
            )
    axis.set_xlabel("churn (slices moved an hour)")
    axis.set_ylabel("imbalance (max over mean)")
    axis.legend(fontsize="small")
    return _image_element(figure)
