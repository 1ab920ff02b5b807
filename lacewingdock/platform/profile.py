"""Reading of the settings file that the platform writes for a process."""

from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.address import split_address
from lacewingdock.helpers.toml_file import convert_toml, parse_toml
from lacewingdock.world.host import Bounds, HostProfile, SidecarProfile

_Address = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}\Z")]
_Positive = Annotated[float, Meta(gt=0.0)]


class _Listen(msgspec.Struct):
    front: _Address
    ready: _Address
    control: _Address | None = None


class _Bounds(msgspec.Struct):
    contact_ms: _Positive = 3000.0
    drain_ms: _Positive = 2000.0
    config_apply_ms: _Positive = 2000.0
    revoke_ms: _Positive = 5000.0
    rollback_ms: _Positive = 5000.0
    grace_s: _Positive = 8.0
    retry_budget_ratio: Annotated[float, Meta(ge=0.0)] = 0.1
    budget_window_s: _Positive = 10.0
    retry_budget_extra: Annotated[float, Meta(ge=0.0)] = 10.0
    exposure_share: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.1
    session_s: Annotated[float, Meta(ge=0.0)] = 0.0
    # Time to stop sending to a cordoned failure domain; absent on platforms
    # that never cordon one.
    evacuate_ms: Annotated[float, Meta(ge=0.0)] = 0.0
    cold_overage: Annotated[float, Meta(ge=0.0)] = 1.0
    cold_tolerance: Annotated[float, Meta(ge=0.0)] = 0.0


class _Platform(msgspec.Struct):
    address: _Address
    writes_per_s: _Positive = 100.0
    reads_per_s: _Positive = 500.0


class _Limits(msgspec.Struct):
    max_fds: Annotated[int, Meta(gt=0)] = 1024
    memory_mb: Annotated[float, Meta(ge=0)] = 0.0


class _CommonFile(msgspec.Struct):
    """Settings in the files of routers and sidecars alike."""

    node_name: Annotated[str, Meta(min_length=1)]
    ip: Annotated[str, Meta(pattern=r"^[0-9.]+\Z")]
    zone: Annotated[str, Meta(min_length=1)]
    port_range: Annotated[list[int], Meta(min_length=2, max_length=2)]
    platform: _Platform


class _RouterFile(_CommonFile):
    listen: _Listen
    # Interval at which upstream instances renew their entries.
    heartbeat_ms: _Positive = 1200.0
    # Control addresses of some routers, which may be down by now.
    seeds: list[_Address] = []
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


def load_profile(path: str) -> HostProfile | SidecarProfile:
    """Read and validate the settings file of a router or a sidecar.

    Raises:
        LacewingdockError: BAD_SETTING, naming key and value.
    """
    text = read_text(path)
    if "app" in parse_toml(text, path):
        return parse_sidecar_profile(text, path)
    return parse_profile(text, path)


def read_text(path: str) -> str:
    """Return the text of a settings file.

    Raises:
        LacewingdockError: BAD_SETTING if the file can't be read.
    """
    try:
        return Path(path).read_text("utf-8")
    except (OSError, ValueError) as error:
        raise LacewingdockError(
            ErrorKind.BAD_SETTING, f"{path}: {error}"
        ) from error


class _SidecarFile(_CommonFile):
    # Address on which the engine on this instance accepts requests.
    app: _Address


def parse_profile(text: str, path: str) -> HostProfile:
    """Parse and validate the text of a router's settings file.

    Args:
        text: Text of the file, in TOML.
        path: Path of the file, for errors.

    Raises:
        LacewingdockError: BAD_SETTING, naming key and value.
    """
    return read_profile(parse_toml(text, path), path)


def read_profile(found: dict[str, Any], path: str) -> HostProfile:
    """Validate a router's settings and convert them to a profile.

    Args:
        found: The settings file as parsed TOML.
        path: Path of the file, for errors.

    Raises:
        LacewingdockError: BAD_SETTING, naming key and value.
    """
    file = convert_toml(found, _RouterFile, path)
    bounds = file.bounds
    return HostProfile(
        instance=file.node_name,
        failure_domain=file.zone,
        address=file.ip,
        callers_address=split_address(file.listen.front),
        ready_address=split_address(file.listen.ready),
        peer_address=_peer_address(file),
        gossip_port=file.port_range[0],
        relay_port=_relay_port(file.port_range),
        probe_port=_probe_port(file.port_range),
        first_peers=tuple(file.seeds),
        platform=f"http://{file.platform.address}",
        platform_writes_per_s=file.platform.writes_per_s,
        platform_reads_per_s=file.platform.reads_per_s,
        max_files=file.limits.max_fds,
        memory_bytes=int(file.limits.memory_mb * 1024 * 1024),
        bounds=Bounds(
            contact_s=bounds.contact_ms / 1000,
            drain_s=bounds.drain_ms / 1000,
            apply_s=bounds.config_apply_ms / 1000,
            revoke_s=bounds.revoke_ms / 1000,
            rollback_s=bounds.rollback_ms / 1000,
            grace_s=bounds.grace_s,
            retry_ratio=bounds.retry_budget_ratio,
            retry_window_s=bounds.budget_window_s,
            retry_extra=bounds.retry_budget_extra,
            exposure_share=bounds.exposure_share,
            session_s=bounds.session_s,
            cordon_s=bounds.evacuate_ms / 1000,
            cold_overage=bounds.cold_overage,
            cold_extra=bounds.cold_tolerance,
            renewal_s=file.heartbeat_ms / 1000,
        ),
    )


def parse_sidecar_profile(text: str, path: str) -> SidecarProfile:
    """Parse and validate the text of a sidecar's settings file.

    Args:
        text: Text of the file, in TOML.
        path: Path of the file, for errors.

    Raises:
        LacewingdockError: BAD_SETTING, naming key and value.
    """
    found = parse_toml(text, path)
    file = convert_toml(found, _SidecarFile, path)
    port = _probe_port(file.port_range)
    if not port:
        raise LacewingdockError(
            ErrorKind.BAD_SETTING,
            f"{path}: port_range must have at least three ports, got"
            f" {file.port_range}",
        )
    return SidecarProfile(
        instance=file.node_name,
        failure_domain=file.zone,
        address=file.ip,
        engine=split_address(file.app),
        port=port,
        platform=f"http://{file.platform.address}",
    )


def _relay_port(ports: list[int]) -> int:
    """Return the second port of the range; 0 if it has only one."""
    first, last = ports
    return first + 1 if first < last else 0


def _probe_port(ports: list[int]) -> int:
    """Return the third port of the range; 0 if it has fewer."""
    first, last = ports
    return first + 2 if first + 1 < last else 0


def _peer_address(file: _RouterFile) -> tuple[str, int]:
    """Return the address for other routers.

    It is the control address, or else the first port of the range.
    """
    if file.listen.control:
        return split_address(file.listen.control)
    return file.ip, file.port_range[0]
