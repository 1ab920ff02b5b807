"""The entry's metrics and its log line for each request."""

import contextlib
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final

from prometheus_client import Counter, Histogram

from lacewingdock.components.answers import Answers
from lacewingdock.components.answers.answer import Answer
from lacewingdock.components.metrics.const import (
    END_GONE,
    END_WHOLE,
    ENVIRON_WORKSPACE,
    FIRST_TOKEN_BOUNDS,
    INTER_TOKEN_BOUNDS,
    KIND_CHAT,
    KIND_OTHER,
    KIND_SERVICE,
    NAME,
    PREFIX,
    VERDICT_GOOD,
    VERDICT_POOR,
)
from lacewingdock.components.metrics.quality import QualitySampler
from lacewingdock.components.metrics.request import ObservedRequest
from lacewingdock.components.metrics.shared import (
    CallbackCounter,
    register_gauge,
    register_shared_metrics,
)
from lacewingdock.components.metrics.tap import Tap
from lacewingdock.components.peers import Peers
from lacewingdock.const import HEADER_REQUEST_ID, HEADER_VERSION
from lacewingdock.core import Daemon
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.ratings import RatingService
from lacewingdock.settings import EntrySettings

CHAT_PATH: Final = "/v1/chat/completions"
SERVICES_PREFIX: Final = "/services/"
_ID: Final = HEADER_REQUEST_ID.lower()
_VERSION: Final = HEADER_VERSION.lower()

App = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]

log = get_logger("request")


class EntryMetrics:
    """Metrics of an entry; each answer is observed once.

    Attributes:
        daemon: The daemon.
        open: The latest attempt's answer and its tap, by request id.
        requests: Requests by workspace, kind, end and code.
        tokens: Tokens of complete answers by workspace, version and direction.
        first_token: Seconds to the first token.
        inter_token: Mean seconds between the tokens of an answer.
        stall: Longest pause within an answer, in seconds.
        ratings: Rated answers that callers received, by verdict.
        sampler: Rates a sample of the answers; None without a
            rating service.
    """

    __slots__ = (
        "daemon",
        "first_token",
        "inter_token",
        "open",
        "ratings",
        "requests",
        "sampler",
        "stall",
        "tokens",
    )

    def __init__(
        self,
        daemon: Daemon,
        answers: Answers,
        sampler: QualitySampler | None = None,
    ) -> None:
        """Add the metrics to the daemon's registry."""
        self.daemon = daemon
        self.sampler = sampler
        self.open: dict[str, tuple[Answer, Tap]] = {}
        answers.on_ask.append(self._on_attempt)
        by_version = ("workspace", "version")
        registry = daemon.metrics
        self.requests = Counter(
            f"{PREFIX}requests",
            "Requests by how they ended",
            ("workspace", "kind", "end", "code"),
            registry=registry,
        )
        self.tokens = Counter(
            f"{PREFIX}tokens",
            "Tokens of answers",
            (*by_version, "direction"),
            registry=registry,
        )
        self.first_token = Histogram(
            f"{PREFIX}first_token_seconds",
            "Time to the first token of a streamed answer",
            by_version,
            buckets=FIRST_TOKEN_BOUNDS,
            registry=registry,
        )
        self.inter_token = Histogram(
            f"{PREFIX}inter_token_seconds",
            "Mean time between the tokens of a streamed answer",
            by_version,
            buckets=INTER_TOKEN_BOUNDS,
            registry=registry,
        )
        self.stall = Histogram(
            f"{PREFIX}stall_seconds",
            "Longest pause within a streamed answer",
            by_version,
            buckets=INTER_TOKEN_BOUNDS,
            registry=registry,
        )
        self.ratings = Counter(
            f"{PREFIX}rated_answers",
            "Rated answers that were given to callers",
            (*by_version, "verdict"),
            registry=registry,
        )
        register_gauge(
            daemon,
            "answers_open",
            "Attempts whose answer has not ended",
            lambda: len(answers.open),
        )
        registry.register(
            CallbackCounter(
                "answers_reattached",
                "Answers taken up again over a new link",
                [],
                lambda: {"": answers.reattached.value},
            )
        )

    def observe(self, app: App) -> App:
        """Wrap the WSGI application so that each request is counted."""

        def observed(
            environ: dict[str, Any], start_response: Callable[..., Any]
        ) -> Iterable[bytes]:
            request = ObservedRequest(environ)

            def start(status: str, headers: Any, *rest: Any) -> Any:
                request.set_head(status, headers)
                return start_response(status, headers, *rest)

            return _Body(app(environ, start), request, self)

        return observed

    def _rate(
        self, answer: Answer, pieces: list[bytes], workspace: str
    ) -> None:
        """Rate a delivered answer; the caller does not wait for it."""
        assert self.sampler is not None
        good = self.sampler.is_good(answer.attempt.body, pieces)
        if good is not None:
            self.count_rating(workspace, answer.attempt.target, good)

    def count_rating(self, workspace: str, version: str, good: bool) -> None:
        """Count the verdict on an answer that a caller received."""
        verdict = VERDICT_GOOD if good else VERDICT_POOR
        self.ratings.labels(workspace, version, verdict).inc()

    def _on_attempt(self, answer: Answer) -> None:
        tap = Tap(self.sampler is not None and self.sampler.should_sample())
        answer.tap = tap.observe_piece
        self.open[answer.attempt.request] = (answer, tap)

    def record(self, request: ObservedRequest) -> None:
        """Count and log a request whose answer has ended."""
        found = self.open.pop(request.headers.get(_ID, ""), None)
        workspace = request.environ.get(ENVIRON_WORKSPACE, "")
        kind = _request_kind(request.environ.get("PATH_INFO", ""))
        self.requests.labels(
            workspace, kind, request.end, request.problem.code
        ).inc()
        fields = {
            "request_id": request.headers.get(_ID, ""),
            "workspace": workspace,
            "kind": kind,
            "status": request.status,
            "end": request.end,
            "code": request.problem.code,
            "ran": request.problem.ran,
            "bytes": request.sent,
            "duration_s": round(time.monotonic() - request.started, 6),
            "trace": request.environ.get("HTTP_TRACEPARENT", ""),
        }
        if found is not None:
            answer, tap = found
            fields |= self._record_answer(request, answer, tap, workspace)
            if tap.kept and request.end == END_WHOLE and kind == KIND_CHAT:
                self.daemon.spawn(self._rate, answer, tap.kept, workspace)
        log.info("request", **fields)

    def _record_answer(
        self,
        request: ObservedRequest,
        answer: Answer,
        tap: Tap,
        workspace: str,
    ) -> dict[str, Any]:
        """Record the metrics of an answer and return its log fields."""
        attempt, upstream = answer.attempt, answer.upstream
        version = request.headers.get(_VERSION, "")
        fields: dict[str, Any] = {
            "attempt_id": attempt.attempt,
            "version": version or attempt.target,
            "upstream": upstream.name,
            "upstream_domain": upstream.instance.failure_domain,
        }
        labels = (workspace, version)
        if version and answer.finish is not None:
            fields["input_tokens"] = answer.finish.input_tokens
            fields["output_tokens"] = answer.finish.output_tokens
            self.tokens.labels(*labels, "input").inc(fields["input_tokens"])
            self.tokens.labels(*labels, "output").inc(fields["output_tokens"])
        # The first write of a refused request is not a token.
        if request.is_stream and request.first_s is not None:
            fields["first_token_s"] = round(request.first_s, 6)
            self.first_token.labels(*labels).observe(request.first_s)
            fields["bytes"] = tap.size
            self._record_gaps(request, answer.next_offset, tap, labels)
        return fields

    def _record_gaps(
        self,
        request: ObservedRequest,
        pieces: int,
        tap: Tap,
        labels: tuple[str, str],
    ) -> None:
        # The gaps are unknown for a caller that disconnected early.
        if pieces < 2 or request.end == END_GONE:
            return
        assert request.first_s is not None
        mean = max(request.last_s - request.first_s, 0.0) / (pieces - 1)
        self.inter_token.labels(*labels).observe(mean)
        self.stall.labels(*labels).observe(tap.largest_gap_s)

    def unload(self) -> None:
        """Do nothing: the metrics belong to the daemon's registry."""


class _Body:
    """An observed response body; closing it, read or not, ends the request."""

    __slots__ = ("_body", "_metrics", "_request")

    def __init__(
        self,
        body: Iterable[bytes],
        request: ObservedRequest,
        metrics: EntryMetrics,
    ) -> None:
        self._body = body
        self._request = request
        self._metrics = metrics

    def __iter__(self) -> Iterator[bytes]:
        return self._request.observe_body(self._body)

    def close(self) -> None:
        """Count the request (called by the server)."""
        try:
            with contextlib.suppress(AttributeError):
                self._body.close()  # type: ignore[attr-defined]
        finally:
            self._metrics.record(self._request)


def _request_kind(path: str) -> str:
    if path == CHAT_PATH:
        return KIND_CHAT
    return KIND_SERVICE if path.startswith(SERVICES_PREFIX) else KIND_OTHER


def setup(
    daemon: Daemon,
    settings: EntrySettings,
    peers: Peers,
    answers: Answers,
    ratings: RatingService | None,
) -> EntryMetrics:
    """Create the entry's metrics and add them to the daemon."""
    register_shared_metrics(daemon, peers)
    sampler = None
    if ratings is not None:
        sampler = QualitySampler(
            ratings, settings.rated_share, settings.good_rating, daemon.random
        )
    metrics = EntryMetrics(daemon, answers, sampler)
    daemon.add(NAME, metrics)
    return metrics
