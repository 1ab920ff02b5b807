"""Support for the report on service-level burn."""

import time
from collections.abc import Callable
from pathlib import Path

from lacewingdock.components.reports.burn import Burn, judge
from lacewingdock.components.reports.page import render_page
from lacewingdock.components.reports.samples import (
    load_samples,
    read_targets,
    save_samples,
)
from lacewingdock.components.reports.text import as_json, table
from lacewingdock.const import COLLECTION_CONFIG, KIND_WORKSPACE
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.platform.store import ObjectStore
from lacewingdock.settings import ReportSettings
from lacewingdock.world.manifest import parse_manifest
from lacewingdock.world.objects import Workspace
from lacewingdock.world.world import decode_item

__all__ = ["Burn", "report"]


def report(settings: ReportSettings, show: Callable[[str], None]) -> None:
    """Read the daemons and show the burn, once or until interrupted.

    Raises:
        LacewingdockError: Nothing could be read, or a file is no good.
    """
    samples = load_samples(settings.samples) if settings.samples else []
    while True:
        workspaces = _workspaces(settings)
        reading = read_targets(_targets(settings))
        if not reading.samples and not samples:
            raise LacewingdockError(
                ErrorKind.NO_UPSTREAM,
                "no daemon answers: "
                + ("; ".join(reading.faults.values()) or "none is known"),
            )
        samples += reading.samples
        if settings.samples:
            save_samples(settings.samples, samples)
        now = time.time()
        burns = [
            judge(name, objective, samples, now)
            for name, workspace in sorted(workspaces.items())
            for objective in workspace.objectives
        ]
        if settings.html:
            page = render_page(burns, samples, reading.faults, now)
            _write(settings.html, page)
        show(_text(settings, burns, workspaces, reading.faults))
        if not settings.every_s:
            return
        time.sleep(settings.every_s)


def _text(
    settings: ReportSettings,
    burns: list[Burn],
    workspaces: dict[str, Workspace],
    faults: dict[str, str],
) -> str:
    if settings.json:
        return as_json(burns, faults)
    bare = [name for name, w in sorted(workspaces.items()) if not w.objectives]
    lines = [table(burns)]
    lines += [f"no objectives: {', '.join(bare)}"] if bare else []
    lines += [f"not read: {t}: {fault}" for t, fault in faults.items()]
    return "\n".join(lines)


def _workspaces(settings: ReportSettings) -> dict[str, Workspace]:
    """Take the objectives from the manifest, or else from the platform."""
    if settings.manifest:
        try:
            text = Path(settings.manifest).read_text("utf-8")
        except (OSError, ValueError) as error:
            raise LacewingdockError(
                ErrorKind.BAD_COMMAND, f"{settings.manifest!r}: {error}"
            ) from error
        items = list(parse_manifest(text).items())
    else:
        listing = ObjectStore(settings.platform).list_all(
            COLLECTION_CONFIG, "report", f"{KIND_WORKSPACE}/"
        )
        items = [(s.name, s.value) for s in listing.objects if s.value]
    decoded = [decode_item(key, value) for key, value in items]
    return {n: item for n, item in decoded if isinstance(item, Workspace)}


def _targets(settings: ReportSettings) -> list[str]:
    """Take the daemons from the flag, or else from the platform's list."""
    if settings.targets:
        return settings.targets.split(",")
    instances = ObjectStore(settings.platform).instances()
    return [i.admin for i in instances if i.admin]


def _write(path: str, page: str) -> None:
    try:
        Path(path).write_text(page, "utf-8")
    except OSError as error:
        raise LacewingdockError(
            ErrorKind.BAD_COMMAND, f"--html: {error}"
        ) from error
