"""Support for settings from flags and environment variables."""

import os
import typing
from collections.abc import Mapping
from dataclasses import MISSING, dataclass, fields
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta

from lacewingdock.const import ENV_PREFIX
from lacewingdock.exceptions import ErrorKind, LacewingdockError

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Address = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
Url = Annotated[str, Meta(pattern=r"^https?://[0-9.]+:[0-9]{1,5}$")]
OptionalUrl = Annotated[str, Meta(pattern=r"^(https?://[0-9.]+:[0-9]{1,5})?$")]
Port = Annotated[int, Meta(ge=0, le=65535)]
Seconds = Annotated[float, Meta(gt=0, le=86400)]

T = TypeVar("T", bound="DaemonSettings")


@dataclass(slots=True, kw_only=True)
class DaemonSettings:
    """Settings that both daemons take.

    Attributes:
        instance: Name of this instance, unique in the deployment.
        failure_domain: Failure domain the instance stands in.
        host: IP number that the instance listens on and is reached at.
        platform: URL of the platform's object API.
        admin_port: Port of /metrics, /healthz and /readyz.
        link_port: Port for links from other daemons; 0 takes a free one.
        link_keys_file: File of link keys, a line "ID SECRET" each; the
            first signs, all are accepted.
        plain_links: Whether links may go without keys.
        start_peers: Peers that must show their configuration before it is
            taken in force while the platform does not answer.
        grace_s: Seconds that a stop waits for running requests.
        linger_s: Seconds that a stop serves on at least, until those who
            send have heard of it.
        log_level: Lowest level that is logged.
    """

    instance: Name
    failure_domain: Name
    host: Annotated[str, Meta(pattern=r"^[0-9.]+$")] = "127.0.0.1"
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
        threads: Caller connections served at once.
        session_keys_file: File of session-token keys, as link_keys_file.
        ratings: URL of the rating service; empty when there is none.
        tls_cert: PEM certificate chain for the callers' port.
        tls_key: PEM private key for the callers' port.
        plain_callers: Whether callers may come without TLS.
        max_body_bytes: Largest request body that is read.
        slow_caller_s: Seconds a caller may stall a read or write.
        request_s: Seconds by which a whole request must have come.
        deadline_s: Seconds that an answer may take where the caller does not
            say; it may ask for as much as ten times this.
        subset: Links kept for each model version.
        linger_s: As for all daemons; longer than the balancer takes to
            notice that /readyz fails.
    """

    linger_s: Seconds = 5.0
    port: Port
    threads: Annotated[int, Meta(ge=4, le=2000)] = 320
    session_keys_file: str = ""
    ratings: OptionalUrl = ""
    tls_cert: str = ""
    tls_key: str = ""
    plain_callers: bool = False
    max_body_bytes: Annotated[int, Meta(ge=1024, le=16 * 1024 * 1024)] = (
        1024 * 1024
    )
    slow_caller_s: Seconds = 10.0
    request_s: Seconds = 30.0
    deadline_s: Seconds = 120.0
    subset: Annotated[int, Meta(ge=2, le=1000)] = 24


@dataclass(slots=True, kw_only=True)
class SidecarSettings(DaemonSettings):
    """Settings of the sidecar daemon.

    Attributes:
        upstream: URL of the upstream instance that this sidecar guards.
        upstream_kind: "model" for an engine or "service" for a plain one.
        service: Name of the plain service; empty for an engine.
        capacity: Requests the upstream runs at once.
        queue: Requests that may wait for the upstream.
        resume_s: Seconds an answer is kept for a caller to come back.
        replay_bytes: Bytes of kept answers, all together.
    """

    upstream: Url
    upstream_kind: typing.Literal["model", "service"] = "model"
    service: str = ""
    capacity: Annotated[int, Meta(ge=1, le=4096)] = 64
    queue: Annotated[int, Meta(ge=0, le=4096)] = 64
    resume_s: Seconds = 60.0
    replay_bytes: Annotated[int, Meta(ge=65536)] = 16 * 1024 * 1024


def load_settings(
    cls: type[T],
    flags: Mapping[str, Any],
    environ: Mapping[str, str] | None = None,
) -> T:
    """Check and build the settings of a daemon.

    Args:
        cls: The settings class.
        flags: Values from the command line, which win.
        environ: Environment variables; the process's own by default.

    Returns:
        The settings.

    Raises:
        LacewingdockError: BAD_SETTING, naming every fault at once.
    """
    env = os.environ if environ is None else environ
    hints = typing.get_type_hints(cls, include_extras=True)
    known = {field.name for field in fields(cls)}
    faults = [
        f"--{name}: no such setting" for name in flags if name not in known
    ]
    values: dict[str, Any] = {}
    for field in fields(cls):
        given = flags.get(field.name, env.get(ENV_PREFIX + field.name.upper()))
        if given is None:
            if field.default is MISSING:
                faults.append(f"--{field.name}: required, not given")
            continue
        try:
            values[field.name] = _convert(given, hints[field.name])
        except msgspec.ValidationError as error:
            faults.append(f"--{field.name}={given!r}: {error}")
    if faults:
        raise LacewingdockError(ErrorKind.BAD_SETTING, "; ".join(faults))
    settings = cls(**values)
    _check_together(settings)
    return settings


def _convert(given: Any, hint: Any) -> Any:
    """Convert one value; text is taken for numbers and booleans too."""
    is_text = hint is str or (
        typing.get_origin(hint) is Annotated and hint.__origin__ is str
    )
    if is_text and not isinstance(given, str):
        given = str(given)
    return msgspec.convert(given, hint, strict=False)


def _check_together(settings: DaemonSettings) -> None:
    """Refuse settings that are each valid but clash."""
    faults = []
    if not settings.link_keys_file and not settings.plain_links:
        faults.append(
            "--link_keys_file: required unless --plain_links is given"
        )
    match settings:
        case EntrySettings(plain_callers=False, tls_cert=""):
            faults.append("--tls_cert: required unless --plain_callers")
        case EntrySettings(tls_cert=cert, tls_key=key) if bool(cert) != bool(
            key
        ):
            faults.append("--tls_cert and --tls_key go together")
        case SidecarSettings(upstream_kind="service", service=""):
            faults.append("--service: required with --upstream_kind=service")
        case _:
            pass
    if faults:
        raise LacewingdockError(ErrorKind.BAD_SETTING, "; ".join(faults))
