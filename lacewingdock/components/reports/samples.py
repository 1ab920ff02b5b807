"""Support for samples of the daemons' counters, kept in a file.

Daemons have no disk and count from their start. The one who reports keeps
what it read; a counter that starts again with its process is told by the
process's start time.
"""

import os
import time
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

import msgspec
from prometheus_client.parser import text_string_to_metric_families
from prometheus_client.samples import Sample as MetricSample

from lacewingdock.components.metrics.const import PREFIX
from lacewingdock.components.reports.const import PERIOD, THINNING, WINDOWS
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.http_client import get
from lacewingdock.helpers.json import decode_json

READERS: Final = 32
Counts = dict[str, float]


@dataclass(slots=True)
class Sample:
    """What one daemon had counted at one time.

    Attributes:
        time: Unix time of the reading.
        target: "IP:PORT" of the daemon's admin port.
        start: Unix time of its process's start.
        counts: Counters by key, "MEASURE/WORKSPACE/DETAIL...".
    """

    time: float
    target: str
    start: float
    counts: Counts = field(default_factory=dict)


@dataclass(slots=True)
class Reading:
    """One round of reading.

    Attributes:
        samples: One for each daemon that answered.
        faults: What went wrong, by target.
    """

    samples: list[Sample]
    faults: dict[str, str]


def read_targets(targets: Iterable[str]) -> Reading:
    """Read the counters of daemons, several at once."""
    reading = Reading([], {})

    def read(target: str) -> None:
        try:
            text = get(f"http://{target}/metrics").decode()
            reading.samples.append(parse_metrics(text, target, time.time()))
        except (OSError, ValueError) as error:
            reading.faults[target] = str(error)

    with ThreadPoolExecutor(READERS) as pool:
        list(pool.map(read, targets))
    return reading


def parse_metrics(text: str, target: str, now: float) -> Sample:
    """Take the counters that reports use out of a daemon's metrics.

    Raises:
        ValueError: The text is no metrics.
    """
    sample = Sample(now, target, 0.0)
    for family in text_string_to_metric_families(text):
        for metric in family.samples:
            if metric.name == "process_start_time_seconds":
                sample.start = metric.value
            elif key := _key(metric):
                counts = sample.counts
                counts[key] = counts.get(key, 0.0) + metric.value
    return sample


def _key(metric: MetricSample) -> str:
    """Name the counter that a sample adds to; versions are added up."""
    labels = {"end": "", "code": "", "le": "", "verdict": "", **metric.labels}
    workspace = labels.get("workspace", "")
    match metric.name.removeprefix(PREFIX):
        case "requests_total":
            return f"requests/{workspace}/{labels['end']}/{labels['code']}"
        case "first_token_seconds_bucket":
            return f"first_token/{workspace}/{labels['le']}"
        case "inter_token_seconds_bucket":
            return f"inter_token/{workspace}/{labels['le']}"
        case "rated_answers_total":
            return f"quality/{workspace}/{labels['verdict']}"
        case _:
            return ""


def load_samples(path: str) -> list[Sample]:
    """Read the kept samples; a missing file has none.

    Raises:
        LacewingdockError: BAD_COMMAND when it is no file of samples.
    """
    try:
        lines = Path(path).read_bytes().splitlines()
        return [decode_json(line, Sample) for line in lines]
    except FileNotFoundError:
        return []
    except (OSError, msgspec.DecodeError) as error:
        raise LacewingdockError(
            ErrorKind.BAD_COMMAND, f"samples {path!r}: {error}"
        ) from error


def save_samples(path: str, samples: list[Sample]) -> None:
    """Write the samples worth keeping, all or nothing.

    Raises:
        LacewingdockError: BAD_COMMAND when the file can't be written.
    """
    lines = [msgspec.json.encode(s) + b"\n" for s in thin(samples)]
    spare = f"{path}.new"
    try:
        # A report that is interrupted must not lose a month of samples.
        Path(spare).write_bytes(b"".join(lines))
        os.replace(spare, path)
    except OSError as error:
        raise LacewingdockError(
            ErrorKind.BAD_COMMAND, f"samples {path!r}: {error}"
        ) from error


def thin(samples: list[Sample]) -> list[Sample]:
    """Drop what is too old, and keep fewer of the older ones."""
    if not samples:
        return []
    now = max(sample.time for sample in samples)
    kept: dict[tuple[str, float, float], Sample] = {}
    for sample in sorted(samples, key=lambda s: s.time):
        age = now - sample.time
        if age > WINDOWS[PERIOD]:
            continue
        step = next((every for old, every in THINNING if age > old), 0.0)
        place = sample.time // step if step else sample.time
        # The last one of each step holds what came before it.
        kept[(sample.target, sample.start, place)] = sample
    return list(kept.values())


@dataclass(slots=True)
class Span:
    """What was counted in a window.

    Attributes:
        counts: Increases of the counters, of all daemons together.
        covered_s: Seconds of the window that samples speak for, of the
            daemon with the longest record.
    """

    counts: Counts = field(default_factory=dict)
    covered_s: float = 0.0


def increase(samples: list[Sample], end: float, seconds: float) -> Span:
    """Add up what was counted in the window that ends at a time."""
    span = Span()
    begin = end - seconds
    by_target: dict[str, list[Sample]] = {}
    for sample in sorted(samples, key=lambda s: s.time):
        if sample.time <= end:
            by_target.setdefault(sample.target, []).append(sample)
    for series in by_target.values():
        _add_series(span, series, begin)
    return span


def _add_series(span: Span, series: list[Sample], begin: float) -> None:
    before = [s for s in series if s.time <= begin]
    inside = [s for s in series if s.time > begin]
    last = before[-1] if before else None
    covered = 0.0
    for sample in inside:
        if last is not None and last.start == sample.start:
            _add(span.counts, sample.counts, last.counts)
            covered += sample.time - max(last.time, begin)
        elif sample.start >= begin:
            # A new process counts from nothing.
            _add(span.counts, sample.counts, {})
            covered += sample.time - sample.start
        last = sample
    span.covered_s = max(span.covered_s, covered)


def _add(total: Counts, now: Counts, before: Counts) -> None:
    for key, value in now.items():
        # A counter that fell started again, whatever the start time says.
        base = before.get(key, 0.0)
        grown = value - base if value >= base else value
        total[key] = total.get(key, 0.0) + grown
