"""Support for settings from flags and environment variables."""

import os
import typing
from collections.abc import Mapping
from dataclasses import MISSING, Field, dataclass, fields
from typing import Annotated, Any, Final, TypeVar

import msgspec
from msgspec import Meta

from lacewingdock.const import ENV_PREFIX, MAX_FRAME_BYTES
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.describe import allowed
from lacewingdock.world.names import Name

_OCTET: Final = r"(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
_HOST: Final = rf"{_OCTET}(\.{_OCTET}){{3}}"
_PORT: Final = (
    r"(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}"
    r"|[1-5][0-9]{4}|[0-9]{1,4})"
)
_URL: Final = rf"https?://{_HOST}:{_PORT}"
# Maximum size of a body in bytes. A request is sent to a sidecar in one frame,
# which needs room for the other fields besides the body.
MAX_BODY_LIMIT: Final = MAX_FRAME_BYTES - 256 * 1024

Host = Annotated[
    str, Meta(pattern=rf"^{_HOST}\Z", description="an IPv4 address")
]
Url = Annotated[
    str,
    Meta(pattern=rf"^{_URL}\Z", description="a URL http(s)://IP:PORT"),
]
OptionalUrl = Annotated[
    str,
    Meta(
        pattern=rf"^({_URL})?\Z",
        description="a URL http(s)://IP:PORT, or empty",
    ),
]
Port = Annotated[int, Meta(ge=0, le=65535)]
Seconds = Annotated[float, Meta(gt=0.0, le=86400.0)]

# Settings read from the environment only, as other users of the machine can see
# flags.
SECRET_SETTINGS: Final = frozenset({"operator_key"})

T = TypeVar("T")


@dataclass(slots=True, kw_only=True)
class DaemonSettings:
    """Settings shared by the entry and sidecar daemons.

    Attributes:
        instance: Name of this instance, unique in the deployment.
        failure_domain: Failure domain of the instance.
        host: IP address that the instance listens on and is reached at.
        platform: URL of the platform's object API.
        admin_port: Port of /metrics, /healthz and /readyz.
        link_port: Port for links from other daemons; 0 selects a free port.
        link_keys_file: File of link keys, one "ID SECRET" per line; the
            first signs, all are accepted.
        plain_links: Whether links without keys are allowed.
        start_peers: Number of peers that must send their configuration
            before it is applied while the platform does not answer.
        grace_s: Maximum seconds that a stop waits for running requests.
        linger_s: Minimum seconds that a stopping daemon continues to serve,
            until senders have learnt of the stop.
        log_level: Lowest level that is logged.
    """

    instance: Name
    failure_domain: Name
    host: Host = "127.0.0.1"
    platform: Url
    admin_port: Port = 0
    link_port: Port = 0
    link_keys_file: str = ""
    plain_links: bool = False
    start_peers: Annotated[int, Meta(ge=1, le=100)] = 2
    grace_s: Seconds = 30.0
    linger_s: Seconds = 0.4
    log_level: typing.Literal["debug", "info", "warning", "error"] = "info"


@dataclass(slots=True, kw_only=True)
class EntrySettings(DaemonSettings):
    """Settings of the entry daemon.

    Attributes:
        port: Port for callers.
        threads: Number of caller connections served concurrently.
        session_keys_file: File of session-token keys, in the format of
            link_keys_file.
        ratings: URL of the rating service; empty for none.
        tls_cert: PEM certificate chain for the callers' port.
        tls_key: PEM private key for the callers' port.
        plain_callers: Whether callers may connect without TLS.
        max_body_bytes: Maximum size of a request body, in bytes.
        slow_caller_s: Seconds that a caller may stall a read or write.
        request_s: Timeout in seconds for receiving a complete request.
        deadline_s: Default deadline of an answer in seconds; a caller may
            request up to ten times this value.
        subset: Number of links kept per model version.
        rated_share: Share of the delivered chat answers that the rating
            service rates afterwards, for the quality objective of the report.
        good_rating: Lowest rating of a good answer in that sample.
        linger_s: As for all daemons; must exceed the time that the load
            balancer needs to notice that /readyz fails.
    """

    linger_s: Seconds = 5.0
    port: Port
    threads: Annotated[int, Meta(ge=4, le=2000)] = 320
    session_keys_file: str = ""
    ratings: OptionalUrl = ""
    tls_cert: str = ""
    tls_key: str = ""
    plain_callers: bool = False
    max_body_bytes: Annotated[int, Meta(ge=1024, le=MAX_BODY_LIMIT)] = (
        1024 * 1024
    )
    slow_caller_s: Seconds = 10.0
    request_s: Seconds = 30.0
    deadline_s: Seconds = 120.0
    subset: Annotated[int, Meta(ge=2, le=1000)] = 24
    rated_share: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.01
    good_rating: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.5


@dataclass(slots=True, kw_only=True)
class SidecarSettings(DaemonSettings):
    """Settings of the sidecar daemon.

    Attributes:
        upstream: URL of the upstream instance behind this sidecar.
        upstream_kind: "model" for an engine or "service" for a plain service.
        service: Name of the plain service; empty for an engine.
        capacity: Number of requests that the upstream runs concurrently.
        queue: Maximum number of requests queued for the upstream.
        resume_s: Seconds for which an answer is kept so that a caller can
            resume it.
        replay_bytes: Maximum total size of the kept answers, in bytes.
    """

    upstream: Url
    upstream_kind: typing.Literal["model", "service"] = "model"
    service: str = ""
    capacity: Annotated[int, Meta(ge=1, le=4096)] = 64
    queue: Annotated[int, Meta(ge=0, le=4096)] = 64
    resume_s: Seconds = 60.0
    replay_bytes: Annotated[int, Meta(ge=65536)] = 16 * 1024 * 1024


@dataclass(slots=True, kw_only=True)
class ClientSettings:
    """Settings of commands that call the platform.

    Attributes:
        platform: URL of the platform's object API.
    """

    platform: Url


@dataclass(slots=True, kw_only=True)
class BillsSettings(ClientSettings):
    """Settings of the command that prints bills.

    Attributes:
        platform: URL of the platform's object API.
        day: Day (UTC) as YYYYMMDD; empty selects today.
        json: Whether to print JSON instead of a table.
    """

    day: Annotated[
        str,
        Meta(pattern=r"^([0-9]{8})?\Z", description="YYYYMMDD, or empty"),
    ] = ""
    json: bool = False


@dataclass(slots=True, kw_only=True)
class AskSettings:
    """Settings of the command for operators' queries and commands.

    Attributes:
        entry: URL of an entry's admin port.
        operator_key: Key of the operator.
        id: Idempotency id: a command sent repeatedly with the same id takes
            effect once; empty generates a new id.
        json: Whether to print JSON instead of a table.
        watch_s: Seconds between repeats of the query, until interrupted; 0
            sends it once.
    """

    entry: Url
    operator_key: str = ""
    id: str = ""
    json: bool = False
    watch_s: Annotated[float, Meta(ge=0.0, le=86400.0)] = 0.0


@dataclass(slots=True, kw_only=True)
class ReportSettings:
    """Settings of the report on error-budget burn rates.

    Attributes:
        platform: URL of the platform's object API.
        targets: Admin ports to read, each IP:PORT, separated by commas;
            empty uses the platform's list.
        manifest: Manifest with the objectives of the workspaces; empty uses
            the objectives in force.
        samples: File that stores the readings; empty uses the current reading
            alone.
        html: File for the HTML page with plots.
        json: Whether to print JSON instead of a table.
        every_s: Seconds between readings, until interrupted; 0 reads once.
    """

    platform: OptionalUrl = ""
    targets: Annotated[
        str,
        Meta(
            pattern=rf"^({_HOST}:{_PORT}(,{_HOST}:{_PORT})*)?\Z",
            description="IP:PORT,IP:PORT,..., or empty",
        ),
    ] = ""
    manifest: str = ""
    samples: str = ""
    html: str = ""
    json: bool = False
    every_s: Annotated[float, Meta(ge=0.0, le=86400.0)] = 0.0


@dataclass(slots=True, kw_only=True)
class RouterSettings:
    """Settings of the router daemon that the platform does not provide.

    Attributes:
        config: Path of the settings file written by the platform.
        metrics_port: Port of /metrics and /state; 0 disables them.
        log_level: Lowest level that is logged.
    """

    config: str
    metrics_port: Port = 0
    log_level: typing.Literal["debug", "info", "warning", "error"] = "info"


@dataclass(slots=True, kw_only=True)
class ShowSettings:
    """Settings of the command that shows the state of a router.

    Attributes:
        router: URL of a router's metrics port.
        json: Whether to print JSON instead of tables.
    """

    router: Url
    json: bool = False


@dataclass(slots=True, kw_only=True)
class SimulateSettings:
    """Settings of the command that simulates days of a deployment.

    Attributes:
        seeds: Number of simulated days per policy.
        first_seed: Seed of the first day.
        policies: Routing policies, separated by commas.
        jobs: Number of days simulated concurrently.
        out: File that stores simulated days; stored days are not simulated
            again.
    """

    seeds: Annotated[int, Meta(ge=1, le=10_000)] = 3
    first_seed: Annotated[int, Meta(ge=0)] = 1
    policies: str = "router"
    jobs: Annotated[int, Meta(ge=1, le=64)] = 1
    out: str = ""


def load_settings(
    cls: type[T],
    flags: Mapping[str, Any],
    environ: Mapping[str, str] | None = None,
) -> T:
    """Validate and build the settings of a daemon or a command.

    Args:
        cls: The settings class.
        flags: Values from the command line, which take precedence.
        environ: Environment variables; those of the process by default.

    Returns:
        The validated settings.

    Raises:
        LacewingdockError: BAD_SETTING, listing all faults.
    """
    env = os.environ if environ is None else environ
    hints = typing.get_type_hints(cls, include_extras=True)
    known = {one.name: one for one in _fields(cls)}
    faults = [
        f"--{name}: no such setting" for name in flags if name not in known
    ]
    faults += _find_unknown_variables(env, known)
    faults += [
        f"--{name}: is a secret, which others on the machine could see;"
        f" give it as {variable_name(name)}"
        for name in SECRET_SETTINGS & flags.keys()
    ]
    values: dict[str, Any] = {}
    for name, setting in known.items():
        given = flags.get(name, env.get(variable_name(name)))
        try:
            values[name] = _parse_value(setting, given, hints[name])
        except ValueError as error:
            faults.append(str(error))
    faults += _find_conflicts(cls, values)
    if faults:
        raise LacewingdockError(ErrorKind.BAD_SETTING, "\n  ".join(faults))
    return cls(**values)


def _parse_value(setting: Field[Any], given: Any, hint: Any) -> Any:
    """Return the value of a setting, or its default.

    Raises:
        ValueError: A required value is missing, or the value is invalid.
    """
    name = setting.name
    if given is None and setting.default is not MISSING:
        return setting.default
    if given is None:
        raise ValueError(f"--{name}: required, not given; want {allowed(hint)}")
    try:
        return _convert(given, hint)
    except msgspec.ValidationError as error:
        raise ValueError(f"--{name}={given!r}: want {allowed(hint)}") from error


def variable_name(name: str) -> str:
    """Return the name of the environment variable of a setting."""
    return ENV_PREFIX + name.upper()


def _fields(cls: type[Any]) -> tuple[Field[Any], ...]:
    return fields(cls)


def _find_unknown_variables(
    env: Mapping[str, str], known: Mapping[str, Any]
) -> list[str]:
    """List faults for variables that belong to no command.

    A misspelt variable would silently leave its setting at the default. The
    value is not shown, because it may be a secret.
    """
    names = {*known}
    for cls in (EntrySettings, SidecarSettings, *OTHER_SETTINGS):
        names |= {one.name for one in _fields(cls)}
    variables = {variable_name(name) for name in names}
    return [
        f"{name}: no such setting"
        for name in env
        if name.startswith(ENV_PREFIX) and name not in variables
    ]


def _convert(given: Any, hint: Any) -> Any:
    """Convert a value to its type; numbers and booleans may be text."""
    is_text = hint is str or (
        typing.get_origin(hint) is Annotated and hint.__origin__ is str
    )
    if is_text and not isinstance(given, str):
        given = str(given)
    return msgspec.convert(given, hint, strict=False)


def _find_conflicts(cls: type[Any], values: Mapping[str, Any]) -> list[str]:
    """List faults for valid settings that conflict with each other."""
    faults = []
    plain = values.get("plain_links", False)
    if issubclass(cls, DaemonSettings) and not plain:
        if not values.get("link_keys_file"):
            faults.append(
                "--link_keys_file: required unless --plain_links is given"
            )
        if not values.get("session_keys_file", "-"):
            # Without keys anyone could forge a session token.
            faults.append(
                "--session_keys_file: required unless --plain_links is given"
            )
    if cls is ReportSettings and not values.get("platform"):
        faults += [
            f"--platform: required unless --{name} is given"
            for name in ("targets", "manifest")
            if not values.get(name, True)
        ]
    if issubclass(cls, EntrySettings):
        cert, key = values.get("tls_cert"), values.get("tls_key")
        if not cert and not values.get("plain_callers"):
            faults.append(
                "--tls_cert: required unless --plain_callers is given"
            )
        if bool(cert) != bool(key):
            faults.append("--tls_cert and --tls_key: want both or neither")
    if values.get("upstream_kind") == "service" and not values.get("service"):
        faults.append("--service: required with --upstream_kind=service")
    if values.get("upstream_kind") == "model" and values.get("service"):
        faults.append("--service: only with --upstream_kind=service")
    return faults


# Settings of commands that are not daemons; daemons accept their environment
# variables too.
OTHER_SETTINGS: Final[tuple[type[Any], ...]] = (
    AskSettings,
    BillsSettings,
    ClientSettings,
    ReportSettings,
    RouterSettings,
    ShowSettings,
    SimulateSettings,
)
