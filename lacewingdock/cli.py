"""Support for the command line."""

import os
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import fire

from lacewingdock.const import VERSION
from lacewingdock.core import exit_now
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.ids import new_id
from lacewingdock.helpers.log import start_logging
from lacewingdock.settings import (
    DaemonSettings,
    EntrySettings,
    SidecarSettings,
    load_settings,
)


class Commands:
    """A model-aware router for versions and cascades."""

    def entry(self, **flags: Any) -> None:
        """Run an entry; every setting is a flag or LACEWINGDOCK_NAME."""
        from lacewingdock.daemons.entry import run_entry

        _run_daemon(load_settings(EntrySettings, flags), run_entry)

    def sidecar(self, **flags: Any) -> None:
        """Run a sidecar; every setting is a flag or LACEWINGDOCK_NAME."""
        from lacewingdock.daemons.sidecar import run_sidecar

        _run_daemon(load_settings(SidecarSettings, flags), run_sidecar)

    def check(self, file: str) -> str:
        """Check a configuration manifest and print what it holds."""
        from lacewingdock.world.manifest import parse_manifest

        manifest = parse_manifest(Path(file).read_text("utf-8"))
        return f"{file}: {len(manifest)} objects, no faults"

    def apply(self, file: str, platform: str = "") -> str:
        """Bring a manifest into force."""
        from lacewingdock.components.configuration.apply import apply_manifest
        from lacewingdock.platform.store import ObjectStore
        from lacewingdock.world.manifest import parse_manifest

        url = platform or os.environ.get("LACEWINGDOCK_PLATFORM", "")
        manifest = parse_manifest(Path(file).read_text("utf-8"))
        changes = apply_manifest(ObjectStore(url), manifest)
        return "\n".join(str(change) for change in changes) or "no changes"

    def ask(
        self,
        text: str = "",
        entry: str = "",
        key: str = "",
        id: str = "",
        json: bool = False,
        watch: float = 0.0,
    ) -> None:
        """Ask or order in the operators' language; without TEXT, a prompt.

        Args:
            text: One command; see docs/operators/language.md.
            entry: URL of an entry's admin port, or LACEWINGDOCK_ENTRY.
            key: The operator's key, or better LACEWINGDOCK_OPERATOR_KEY:
                flags can be seen by others on the machine.
            id: Id under which an order takes effect once.
            json: Whether to print JSON instead of a table.
            watch: Ask again every so many seconds until interrupted.
        """
        from lacewingdock.components.language.client import (
            Client,
            as_text,
            pointed,
            prompt,
        )

        url = entry or os.environ.get("LACEWINGDOCK_ENTRY", "")
        if not url:
            raise LacewingdockError(
                ErrorKind.BAD_SETTING, "--entry: required, not given"
            )
        client = Client(
            url, key or os.environ.get("LACEWINGDOCK_OPERATOR_KEY", "")
        )
        if not text:
            prompt(client, json)
            return
        # Under one id, so that an order that is watched is given once.
        command = str(id) or f"c-{new_id()}"
        try:
            print(as_text(client.ask(str(text), command), json), flush=True)
            while watch > 0:
                time.sleep(watch)
                print(as_text(client.ask(str(text), command), json), flush=True)
        except KeyboardInterrupt:
            return
        except LacewingdockError as error:
            print(pointed(str(text), error), file=sys.stderr)
            exit_now(error.answer.exit_status)

    def bills(
        self,
        workspace: str,
        day: str = "",
        platform: str = "",
        json: bool = False,
    ) -> str:
        """Print a workspace's bills of a day, YYYYMMDD (UTC, today's).

        Costs are in the price unit of the configuration.
        """
        from lacewingdock.components.billing.report import show_statement
        from lacewingdock.platform.store import ObjectStore

        url = platform or os.environ.get("LACEWINGDOCK_PLATFORM", "")
        return show_statement(ObjectStore(url), workspace, str(day), json)

    def version(self) -> str:
        """Print the version."""
        return VERSION


def _run_daemon(settings: DaemonSettings, run: Callable[[Any], int]) -> None:
    start_logging(
        settings.log_level,
        instance=settings.instance,
        failure_domain=settings.failure_domain,
    )
    left = run(settings)
    exit_now(1 if left else 0)


def main() -> None:
    """Run the command line; errors give their code and exit status."""
    try:
        fire.Fire(Commands, name="lacewingdock")
    except LacewingdockError as error:
        print(f"lacewingdock: {error}", file=sys.stderr)
        exit_now(error.answer.exit_status)
    except OSError as error:
        print(f"lacewingdock: {error}", file=sys.stderr)
        exit_now(1)


if __name__ == "__main__":
    main()
