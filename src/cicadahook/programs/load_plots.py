"""Plots of the results of a load experiment."""

import collections
from collections.abc import Iterable
import json
import pathlib
from typing import Any, Final

from cicadahook.core import errors
from cicadahook.programs import experiments
from cicadahook.programs import load_results

SIZE_INCHES: Final = (9.0, 5.0)
DOTS_PER_INCH: Final = 110

Runs = Iterable[dict[str, Any]]


def draw_plots(directory: pathlib.Path) -> list[pathlib.Path]:
    """Draw the plots beside the results in `directory`; return their paths.

    Raises:
        errors.SettingsError: the directory has no readable results.
    """
    path = directory / experiments.JSON_NAME
    try:
        runs = json.loads(path.read_text(encoding="utf-8"))["runs"]
    except (OSError, ValueError, KeyError) as error:
        raise errors.SettingsError(f"{path}: no results: {error}") from error
    return [
        _plot(
            directory / "attainment.png",
            _group_over_load(runs, _read_attainment),
            "load relative to capacity",
            "share in time per accelerator",
        ),
        _plot(
            directory / "moves.png",
            _group_over_load(runs, _read_moves),
            "load relative to capacity",
            "loads of weights during the run",
        ),
        _plot(
            directory / "over_time.png",
            _group_over_time(runs),
            "second of arrival",
            "share in time",
        ),
    ]


def _read_attainment(run: dict[str, Any]) -> float:
    return float(run["attainment_per_accelerator"])


def _read_moves(run: dict[str, Any]) -> float:
    return float(run["moves"])


def _group_over_load(
    runs: Runs, read_value: Any
) -> dict[str, list[tuple[float, float]]]:
    """Return a line of (load, value) points for each policy and fault."""
    lines: dict[str, list[tuple[float, float]]] = collections.defaultdict(list)
    for run in runs:
        name = f"{run['policy']}, {run['fault']}"
        lines[name].append((run["load"], read_value(run)))
    return {name: sorted(points) for name, points in lines.items()}


def _group_over_time(runs: Runs) -> dict[str, list[tuple[float, float]]]:
    """Return a line of (second, share in time) points for each run."""
    lines = {}
    for run in runs:
        by_second = run["results"][load_results.ALL_TRAFFIC]["by_second"]
        name = f"{run['policy']}, {run['fault']}, load {run['load']:g}"
        lines[name] = [
            (float(second), in_time / count)
            for second, (count, in_time) in by_second.items()
        ]
    return lines


def _plot(
    path: pathlib.Path,
    lines: dict[str, list[tuple[float, float]]],
    x_label: str,
    y_label: str,
) -> pathlib.Path:
    """Draw one plot to `path`."""
    # matplotlib is imported here so that no other command or daemon loads it.
    # pylint: disable-next=import-outside-toplevel
    from matplotlib import figure

    drawing = figure.Figure(figsize=SIZE_INCHES, dpi=DOTS_PER_INCH)
    axes = drawing.add_subplot()
    for name, points in lines.items():
        xs, ys = zip(*points, strict=True)
        axes.plot(xs, ys, marker="o", markersize=3, label=name)
    axes.set_xlabel(x_label)
    axes.set_ylabel(y_label)
    axes.set_ylim(bottom=0)
    axes.grid(alpha=0.3)
    axes.legend(fontsize="small")
    drawing.tight_layout()
    drawing.savefig(path)
    return path
