"""Pictures and a page from results: one figure against one axis, a line with its band for each policy."""

from __future__ import annotations

import html
import random
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt

from .compare import band
from .experiment import AXIS
from .results import Results

WORDS = {
    "service": "service within the quoted time",
    "worst_10_s": "service in the worst 10 s",
    "worst_customer": "service of the worst customer",
    "found_share": "share that found a copy",
    "p50_ms": "median latency, ms",
    "p90_ms": "p90 latency, ms",
    "p99_ms": "p99 latency, ms",
    "nacked": "nacks",
    "store_fetches": "fetches from the store",
    "broken_rules": "breaches of rules",
}
SHARES = frozenset(("service", "worst_10_s", "worst_customer", "found_share"))


def number(label: str) -> float | None:
    try:
        return float(label)
    except ValueError:
        return None


def draw(results: Results, axis: str, figure: str, stem: Path) -> list[Path]:
    """SVG and PNG, under that name, of one figure against one axis. Other axes are averaged over, seeds
    make the bands."""
    rows, column = results.rows(), AXIS + axis
    labels = list(dict.fromkeys(row[column] for row in rows))
    at = {label: number(label) for label in labels}
    numeric = all(value is not None for value in at.values())
    if numeric:
        labels.sort(key=at.__getitem__)
    places = [at[label] for label in labels] if numeric else list(range(len(labels)))
    picture, plot = plt.subplots(figsize=(7.0, 4.2), layout="constrained")
    for i, policy in enumerate(sorted({row["policy"] for row in rows})):
        means, lows, highs = [], [], []
        for label in labels:
            by_seed: dict[float, list[float]] = {}
            for row in rows:
                if row[column] == label and row["policy"] == policy:
                    by_seed.setdefault(row["seed"], []).append(row[figure])
            values = [sum(v) / len(v) for v in by_seed.values()]
            low, high = band(values, random.Random(f"{policy}/{label}"))
            means.append(sum(values) / len(values) if values else float("nan"))
            lows.append(low)
            highs.append(high)
        line = plot.plot(places, means, marker="osD^v"[i % 5], label=policy)[0]
        plot.fill_between(places, lows, highs, alpha=0.2, color=line.get_color(), linewidth=0)
    if not numeric:
        plot.set_xticks(places, labels, rotation=20, ha="right")
    elif min(places) > 0 and max(places) / min(places) > 30:
        plot.set_xscale("log")
    plot.set_xlabel(axis)
    plot.set_ylabel(f"{WORDS.get(figure, figure)} (emulated)")
    if figure in SHARES:
        plot.set_ylim(0, 1.02)
    plot.grid(alpha=0.3)
    plot.legend()
    made = []
    for kind in ("svg", "png"):
        made.append(stem.with_name(f"{stem.name}.{kind}"))
        picture.savefig(made[-1], dpi=110, metadata={"Date": None} if kind == "svg" else None)
    plt.close(picture)
    return made


def page(results: Results, figures: list[str], folder: Path, title: str) -> Path:
    """All pictures and a table of means, as one page beside the pictures."""
    parts = [
        "<!doctype html><meta charset=utf-8><meta name=viewport content='width=device-width'>",
        f"<title>{html.escape(title)}</title>",
        "<style>body{font:16px sans-serif;max-width:60em;margin:1em auto}"
        "table{border-collapse:collapse}td,th{border:1px solid #bbb;padding:.2em .5em;text-align:right}"
        "img{max-width:100%}</style>",
        f"<h1>{html.escape(title)}</h1><p>Emulated. {results.count} runs; commit "
        f"{html.escape(results.meta.get('commit') or 'unknown')}, decisions "
        f"{html.escape(str(results.meta.get('decisions')))}.</p>",
    ]
    axes = results.names(AXIS)
    for number, axis in enumerate(axes):
        for figure in figures:
            name = draw(results, axis, figure, folder / f"{figure}-{number}-{_file(axis)}")[0].name
            parts.append(f"<h2>{html.escape(figure)} by {html.escape(axis)}</h2>")
            parts.append(
                f"<img src='{html.escape(name)}' alt='{html.escape(figure)} by {html.escape(axis)}'>"
            )
    groups: dict[tuple[str, ...], list[dict]] = {}
    for row in results.rows():
        groups.setdefault((*(row[AXIS + a] for a in axes), row["policy"]), []).append(row)
    head = "".join(f"<th>{html.escape(x)}" for x in (*axes, "policy", "seeds", *figures))
    parts.append(f"<h2>means</h2><table><tr>{head}")
    for key, some in groups.items():
        cells = [*key, str(len(some)), *(f"{sum(r[f] for r in some) / len(some):.4g}" for f in figures)]
        parts.append("<tr>" + "".join(f"<td>{html.escape(c)}" for c in cells))
    parts.append("</table>")
    path = folder / "report.html"
    path.write_text("\n".join(parts), encoding="utf-8")
    return path


def _file(axis: str) -> str:
    return "".join(c if c.isalnum() or c in "-_" else "-" for c in axis)
