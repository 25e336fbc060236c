"""Plots the results of an experiment; requires matplotlib (the extra ``plots``)."""

import statistics
from pathlib import Path

from larkpost.common.errors import InvalidRequestError
from larkpost.rehearsal.experiment.run import RunResult

PANELS = ("idle_fraction", "staleness_mean", "client_p99_ms", "tokens_wasted")


def write_plot(title: str, columns: dict[str, list[RunResult]], path: Path) -> None:
    """Writes a bar chart per panel: the median of each column, with the range over the seeds.

    Raises:
        InvalidRequestError: matplotlib is not installed.
    """
    try:
        import matplotlib
    except ImportError:
        raise InvalidRequestError(
            "matplotlib is not installed", remedy="Install the extra: pip install larkpost[plots]."
        ) from None
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 2, figsize=(12, 8))
    for axis, measure in zip(axes.flat, PANELS, strict=True):
        values = [[getattr(r, measure) for r in results] for results in columns.values()]
        medians = [statistics.median(v) for v in values]
        below = [m - min(v) for m, v in zip(medians, values, strict=True)]
        above = [max(v) - m for m, v in zip(medians, values, strict=True)]
        axis.bar(list(columns), medians, yerr=[below, above], capsize=4)
        axis.set_title(measure.replace("_", " "))
        axis.tick_params(axis="x", rotation=30)
    figure.suptitle(title)
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
