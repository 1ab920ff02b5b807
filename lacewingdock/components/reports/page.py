"""Support for reports as one HTML page with plots and no outside assets."""

import html
import io
import re
import time
from typing import Any, Final

from lacewingdock.components.reports.burn import Burn, burn_rate, count
from lacewingdock.components.reports.const import (
    ALERTS,
    DAY_S,
    HOUR_S,
    NO_DATA,
    WINDOWS,
)
from lacewingdock.components.reports.samples import Sample, increase
from lacewingdock.components.reports.text import COLUMNS, cells
from lacewingdock.exceptions import ErrorKind, LacewingdockError

POINTS: Final = 80
UNITS: Final = (
    ("days", DAY_S),
    ("hours", HOUR_S),
    ("minutes", HOUR_S / 60),
    ("seconds", 1.0),
)
TREND_WINDOWS: Final = ("5m", "1h", "6h")
COLORS: Final = ("#1f6f8b", "#c8553d", "#588157", "#7b5ea7", "#b08900")
# Beyond this a bar would flatten all others; the number says the rest.
BAR_LIMIT: Final = 20.0

STYLE: Final = """
:root { color-scheme: light; }
body { font: 15px/1.5 system-ui, sans-serif; color: #1d2429; margin: 2rem auto;
       max-width: 72rem; padding: 0 1rem; }
h1 { font-size: 1.5rem; margin-bottom: .2rem; }
h2 { font-size: 1.15rem; margin: 2rem 0 .5rem; }
p.note, footer { color: #5b6770; font-size: .87rem; max-width: 50rem; }
div.wide { overflow-x: auto; }
table { border-collapse: collapse; width: 100%; }
th, td { padding: .3rem .55rem; text-align: right; white-space: nowrap;
         border-bottom: 1px solid #e3e7ea; font-variant-numeric: tabular-nums; }
th { font-weight: 600; color: #5b6770; }
th:nth-child(-n+2), td:nth-child(-n+2) { text-align: left; }
td.hot { color: #a32a16; font-weight: 600; }
span.alert { border-radius: .6rem; padding: .05rem .55rem; font-size: .85rem; }
span.page { background: #a32a16; color: white; }
span.ticket { background: #f3c969; }
span.ok { background: #d7ead9; }
span.none { background: #eceff1; color: #5b6770; }
svg { max-width: 100%; height: auto; }
"""


def render_page(
    burns: list[Burn],
    samples: list[Sample],
    faults: dict[str, str],
    now: float,
) -> str:
    """Return the page.

    Raises:
        LacewingdockError: BAD_COMMAND when matplotlib isn't installed.
    """
    stamp = time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime(now))
    daemons = len({sample.target for sample in samples})
    plots = [_bars(burns)]
    for workspace in dict.fromkeys(burn.workspace for burn in burns):
        own = [burn for burn in burns if burn.workspace == workspace]
        plots += [f"<h2>Burn rate of {html.escape(workspace)} over time</h2>"]
        plots += [_trend(own, samples, now)]
    missing = "".join(
        f"<li>{html.escape(target)}: {html.escape(fault)}</li>"
        for target, fault in faults.items()
    )
    if missing:
        missing = f"<h2>Daemons not read</h2><ul>{missing}</ul>"
    return f"""<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width">
<title>Service-level burn</title><style>{STYLE}</style></head><body>
<h1>Service-level burn</h1>
<p class="note">{stamp}, {daemons} daemons. A burn rate of 1 uses the error
budget up exactly by the end of 30 days; 2 in half of that. ~ marks a window
that the samples cover in part only.</p>
{_html_table(burns)}
<h2>Burn rate over the last hour</h2>
{"".join(plots)}
{missing}
<footer><p>{_alert_rules()} A latency limit is judged at the histogram bound
at or below it. What callers did wrong, and callers that went away, are no
events.</p></footer></body></html>
"""


def _alert_rules() -> str:
    rules = [
        f"{name}: burn above {bound:g} over both {long} and {short}"
        for name, long, short, bound in ALERTS
    ]
    return "Alerts: " + "; ".join(rules) + "."


def _html_table(burns: list[Burn]) -> str:
    heads = "".join(f"<th>{html.escape(c)}</th>" for c in COLUMNS)
    rows = "".join(_html_row(burn) for burn in burns)
    return (
        f'<div class="wide"><table><thead><tr>{heads}</tr></thead>'
        f"<tbody>{rows}</tbody></table></div>"
    )


def _html_row(burn: Burn) -> str:
    texts = [html.escape(text) for text in cells(burn)]
    rates = [window.burn for window in burn.windows]
    hot = [False, False, False, *((r or 0.0) > 1.0 for r in rates)]
    hot.append((burn.budget_left or 0.0) < 0.0)
    row = "".join(
        f"<td{' class=hot' if mark else ''}>{text}</td>"
        for text, mark in zip(texts[:-1], hot, strict=True)
    )
    style = "none" if burn.alert == NO_DATA else burn.alert
    return (
        f'<tr>{row}<td><span class="alert {style}">{texts[-1]}</span></td></tr>'
    )


def _pyplot() -> Any:
    try:
        import matplotlib
    except ImportError as error:
        raise LacewingdockError(
            ErrorKind.BAD_COMMAND,
            "--html needs matplotlib: install lacewingdock[reports]",
        ) from error
    matplotlib.use("svg")
    matplotlib.rcParams.update(
        {
            "font.family": "sans-serif",
            "font.size": 10,
            "axes.spines.top": False,
            "axes.spines.right": False,
            "svg.fonttype": "none",
        }
    )
    from matplotlib import pyplot

    return pyplot


def _svg(figure: Any) -> str:
    out = io.StringIO()
    figure.savefig(
        out, format="svg", bbox_inches="tight", metadata={"Date": None}
    )
    _pyplot().close(figure)
    # Only the element itself belongs inside a page.
    return re.sub(r"^.*?(?=<svg)", "", out.getvalue(), flags=re.DOTALL)


def _bars(burns: list[Burn]) -> str:
    """Plot each objective's burn over the last hour."""
    rows = [
        (f"{burn.workspace}: {burn.label()}", rate)
        for burn in reversed(burns)
        if (rate := _last_hour(burn)) is not None
    ]
    if not rows:
        return '<p class="note">No events in the last hour.</p>'
    pyplot = _pyplot()
    figure, axes = pyplot.subplots(figsize=(9, 0.6 + 0.34 * len(rows)))
    names, rates = zip(*rows, strict=True)
    shown = [min(rate, BAR_LIMIT) for rate in rates]
    colors = ["#c8553d" if rate > 1.0 else "#588157" for rate in rates]
    bars = axes.barh(names, shown, color=colors, height=0.6)
    axes.bar_label(bars, [f"{rate:.2f}" for rate in rates], padding=4)
    axes.axvline(1.0, color="#5b6770", linewidth=1, linestyle="--")
    axes.set_xlim(0, max(1.5, max(shown) * 1.15))
    axes.set_xlabel("burn rate (dashed: all of the budget in 30 days)")
    return _svg(figure)


def _last_hour(burn: Burn) -> float | None:
    return next(w.burn for w in burn.windows if w.window == "1h")


def _trend(burns: list[Burn], samples: list[Sample], now: float) -> str:
    """Plot the burn rate over time, each point over a trailing window."""
    times = sorted({sample.time for sample in samples})
    if len(times) < 2 or times[-1] - times[0] < 1.0:
        return (
            '<p class="note">One reading shows no course. Keep readings with'
            " <code>--samples FILE</code>, or read on with"
            " <code>--every_s</code>.</p>"
        )
    window = _window_for(times[-1] - times[0])
    unit, unit_s = _unit_for(times[-1] - times[0])
    pyplot = _pyplot()
    figure, axes = pyplot.subplots(figsize=(9, 2.8))
    step = (times[-1] - times[0]) / POINTS
    ends = [times[0] + step * index for index in range(1, POINTS + 1)]
    for color, burn in zip(COLORS * len(burns), burns, strict=False):
        points = [_burn_at(burn, samples, end, WINDOWS[window]) for end in ends]
        axes.plot(
            [(end - now) / unit_s for end in ends],
            [float("nan") if rate is None else rate for rate in points],
            color=color,
            linewidth=1.6,
            label=burn.label(),
        )
    axes.axhline(1.0, color="#5b6770", linewidth=1, linestyle="--")
    axes.set_ylim(bottom=0)
    axes.set_xlabel(f"{unit} before now")
    axes.set_ylabel(f"burn rate over {window}")
    axes.legend(
        frameon=False, loc="upper left", bbox_to_anchor=(1.0, 1.0), fontsize=9
    )
    return _svg(figure)


def _unit_for(length_s: float) -> tuple[str, float]:
    """Choose the unit of time in which a length reads well."""
    fitting = [unit for unit in UNITS if length_s >= 2 * unit[1]]
    return fitting[0] if fitting else UNITS[-1]


def _window_for(length_s: float) -> str:
    """Choose the longest trailing window that leaves a course to see."""
    fitting = [w for w in TREND_WINDOWS if WINDOWS[w] * 4 <= length_s]
    return fitting[-1] if fitting else TREND_WINDOWS[0]


def _burn_at(
    burn: Burn, samples: list[Sample], end: float, seconds: float
) -> float | None:
    span = increase(samples, end, seconds)
    events, _ = count(span.counts, burn.workspace, burn.measure, burn.limit_s)
    return burn_rate(events, burn.target)
