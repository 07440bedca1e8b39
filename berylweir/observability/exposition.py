"""Renders metrics in the Prometheus text format."""

from berylweir.observability import counters
from berylweir.observability import histograms


def render(metrics: counters.Counters) -> str:
    """Returns all metrics as text, one value per line, sorted by name.

    Counters get the suffix `_total`. A histogram becomes its quantiles in
    milliseconds and its number of values, with the suffix `_count`.
    """
    lines = [
        f"{_metric_name(name)}_total {count}"
        for name, count in sorted(metrics.counts.items())
    ]
    lines += [
        f"{_metric_name(name)} {value:g}"
        for name, value in sorted(metrics.gauges.items())
    ]
    for name, histogram in sorted(metrics.histograms.items()):
        lines += [
            f'{_metric_name(name)}{{quantile="{quantile:g}"}}'
            f" {histogram.quantile_ms(quantile):g}"
            for quantile in histograms.QUANTILES
        ]
        lines.append(f"{_metric_name(name)}_count {histogram.count}")
    return "\n".join(lines) + "\n"


def _metric_name(name: str) -> str:
    return "berylweir_" + name.replace(".", "_").replace("-", "_")
