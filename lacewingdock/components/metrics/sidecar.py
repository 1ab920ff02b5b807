"""The sidecar's metrics and its log line for each attempt."""

import time
from typing import Any

from prometheus_client import Counter, Histogram

from lacewingdock.components.metrics.const import ATTEMPT_BOUNDS, NAME, PREFIX
from lacewingdock.components.metrics.shared import (
    register_gauge,
    register_shared_metrics,
)
from lacewingdock.components.peers import Peers
from lacewingdock.components.runs import Runs
from lacewingdock.core import Daemon
from lacewingdock.helpers.log import get_logger
from lacewingdock.links.messages import Finish, Refusal
from lacewingdock.settings import SidecarSettings
from lacewingdock.world.run import Run

OUTCOME_JOINED = "joined"
OUTCOME_WHOLE = "whole"

log = get_logger("attempt")


class SidecarMetrics:
    """Metrics of a sidecar.

    Attributes:
        kind: Kind of the upstream.
        upstream: URL of the upstream.
        attempts: Attempts by kind of upstream and outcome.
        seconds: Duration of attempts in seconds, time in the queue included.
    """

    __slots__ = ("attempts", "kind", "seconds", "upstream")

    def __init__(
        self, daemon: Daemon, settings: SidecarSettings, runs: Runs
    ) -> None:
        """Add the metrics to the daemon's registry."""
        self.kind = settings.upstream_kind
        self.upstream = settings.upstream
        self.attempts = Counter(
            f"{PREFIX}attempts",
            "Attempts by outcome",
            ("kind", "outcome"),
            registry=daemon.metrics,
        )
        self.seconds = Histogram(
            f"{PREFIX}attempt_seconds",
            "Time from an attempt's arrival to its end",
            ("kind",),
            buckets=ATTEMPT_BOUNDS,
            registry=daemon.metrics,
        )
        slots = runs.slots
        register_gauge(
            daemon,
            "running",
            "Requests on the upstream",
            lambda: slots.running,
        )
        register_gauge(
            daemon,
            "queued",
            "Requests waiting for the upstream",
            lambda: slots.queued,
        )
        runs.on_end = self.record

    def record(self, run: Run, started: float) -> None:
        """Count and log an attempt that ended at this sidecar."""
        seconds = time.monotonic() - started
        fields: dict[str, Any] = {}
        match run.outcome:
            case Finish() as finish:
                outcome = OUTCOME_WHOLE
                fields["status"] = finish.status
                fields["output_tokens"] = finish.output_tokens
            case Refusal() as refusal:
                outcome = str(refusal.code)
                fields["ran"] = refusal.ran
            case None:
                # The attempt joined a run in progress and receives its answer.
                outcome = OUTCOME_JOINED
        self.attempts.labels(self.kind, outcome).inc()
        self.seconds.labels(self.kind).observe(seconds)
        attempt = run.attempt
        log.info(
            "attempt",
            request_id=attempt.request,
            attempt_id=attempt.attempt,
            workspace=attempt.workspace,
            version=attempt.target,
            upstream=self.upstream,
            outcome=outcome,
            duration_s=round(seconds, 6),
            trace=attempt.traceparent,
            **fields,
        )

    def unload(self) -> None:
        """Do nothing: the metrics belong to the daemon's registry."""


def setup(
    daemon: Daemon, settings: SidecarSettings, peers: Peers, runs: Runs
) -> SidecarMetrics:
    """Create the sidecar's metrics and add them to the daemon."""
    register_shared_metrics(daemon, peers)
    metrics = SidecarMetrics(daemon, settings, runs)
    daemon.add(NAME, metrics)
    return metrics
