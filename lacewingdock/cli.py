"""Support for the command line."""

import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import fire
import msgspec

from lacewingdock.const import VERSION
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.command import command, command_table, overview
from lacewingdock.helpers.ids import new_id
from lacewingdock.helpers.log import start_logging
from lacewingdock.helpers.process import exit_now
from lacewingdock.settings import (
    AskSettings,
    BillsSettings,
    ClientSettings,
    DaemonSettings,
    EntrySettings,
    ReportSettings,
    RouterSettings,
    ShowSettings,
    SidecarSettings,
    SimulateSettings,
    load_settings,
)

HELP_ARGUMENTS: Final = ("", "help", "-h", "--help")
# fire interprets these itself: "-" ends the arguments of a command, and "--"
# starts the flags of fire, one of which opens an interpreter.
FIRE_SEPARATORS: Final = ("-", "--")
# Exit status after SIGINT.
INTERRUPTED_STATUS: Final = 130
# Suffix that distinguishes settings files of the platform from manifests.
PROFILE_SUFFIX: Final = ".toml"


class Commands:
    """A model-aware router for versions and cascades."""

    @command(EntrySettings)
    def entry(self, **flags: str) -> None:
        """Run an entry, which accepts requests of callers."""
        from lacewingdock.daemons.entry import run_entry

        _run_daemon(load_settings(EntrySettings, flags), run_entry)

    @command(SidecarSettings)
    def sidecar(self, **flags: str) -> None:
        """Run a sidecar, which admits requests to one upstream."""
        from lacewingdock.daemons.sidecar import run_sidecar

        _run_daemon(load_settings(SidecarSettings, flags), run_sidecar)

    @command(RouterSettings)
    def router(self, **flags: str) -> None:
        """Run a router, which calls the upstreams of a platform directly."""
        from lacewingdock.daemons.router import run_router

        left = run_router(load_settings(RouterSettings, flags))
        exit_now(1 if left else 0)

    @command()
    def check(self, file: str) -> str:
        """Check a manifest, or a platform's settings file (FILE.toml)."""
        from lacewingdock.daemons.router_timing import paths_over_bound
        from lacewingdock.platform.profile import load_profile
        from lacewingdock.world.host import HostProfile
        from lacewingdock.world.manifest import parse_manifest

        if file.endswith(PROFILE_SUFFIX):
            profile = load_profile(file)
            place = f"{profile.instance} in {profile.failure_domain}"
            lines = [f"{file}: settings of {place}, no faults"]
            if isinstance(profile, HostProfile):
                lines += [
                    f"bound too short: {one}"
                    for one in paths_over_bound(profile.bounds)
                ]
            return "\n".join(lines)
        manifest = parse_manifest(_read_file(file))
        return f"{file}: {len(manifest)} objects, no faults"

    @command(ClientSettings)
    def diff(self, file: str, **flags: str) -> str:
        """Show what `apply` would change, without changing anything."""
        from lacewingdock.components.configuration.apply import diff_manifest
        from lacewingdock.platform.store import ObjectStore
        from lacewingdock.world.manifest import parse_manifest

        settings = load_settings(ClientSettings, flags)
        manifest = parse_manifest(_read_file(file))
        changes = diff_manifest(ObjectStore(settings.platform), manifest)
        lines = [line for change in changes for line in change.lines()]
        return "\n".join(lines) or "no changes"

    @command(ClientSettings)
    def apply(self, file: str, **flags: str) -> str:
        """Apply a manifest, each item by a conditional update."""
        from lacewingdock.components.configuration.apply import apply_manifest
        from lacewingdock.platform.store import ObjectStore
        from lacewingdock.world.manifest import parse_manifest

        settings = load_settings(ClientSettings, flags)
        manifest = parse_manifest(_read_file(file))
        changes = apply_manifest(ObjectStore(settings.platform), manifest)
        return "\n".join(str(change) for change in changes) or "no changes"

    @command(ReportSettings)
    def report(self, **flags: str) -> None:
        """Report the error-budget burn rate of each workspace."""
        from lacewingdock.components.reports import report

        report(load_settings(ReportSettings, flags), _print)

    @command(AskSettings)
    def ask(self, text: str = "", **flags: str) -> None:
        """Run a query or command of the operators; without TEXT, a prompt."""
        from lacewingdock.components.language.client import (
            Client,
            as_text,
            pointed,
            prompt,
        )

        settings = load_settings(AskSettings, flags)
        client = Client(settings.entry, settings.operator_key)
        if not text:
            prompt(client, settings.json)
            return
        # All repeats share one id, so that a watched command runs only once.
        command_id = settings.id or f"c-{new_id()}"
        try:
            _print(as_text(client.ask(text, command_id), settings.json))
            while settings.watch_s > 0:
                time.sleep(settings.watch_s)
                _print(as_text(client.ask(text, command_id), settings.json))
        except KeyboardInterrupt:
            return
        except LacewingdockError as error:
            print(pointed(text, error), file=sys.stderr)
            exit_now(error.answer.exit_status)

    @command(BillsSettings)
    def bills(self, workspace: str, **flags: str) -> str:
        """Print the bills of a workspace for a day, in units of the prices."""
        from lacewingdock.components.billing.report import show_statement
        from lacewingdock.platform.store import ObjectStore

        settings = load_settings(BillsSettings, flags)
        store = ObjectStore(settings.platform)
        return show_statement(store, workspace, settings.day, settings.json)

    @command()
    def explain(
        self,
        request: str = "",
        workspace: str = "",
        since: str = "",
        until: str = "",
    ) -> str:
        """Show the timeline of a request from log lines on standard input.

        Without REQUEST, list the requests of a workspace in a time range.
        """
        from lacewingdock.components.story import (
            list_requests,
            parse_lines,
            trace_request,
        )

        lines = parse_lines(sys.stdin)
        if request:
            return trace_request(lines, request)
        return list_requests(lines, workspace, since, until)

    @command(ShowSettings)
    def show(self, **flags: str) -> str:
        """Show the state of a running router."""
        from lacewingdock.components.inspection.show import (
            read_state,
            show_state,
        )

        settings = load_settings(ShowSettings, flags)
        state = read_state(settings.router)
        if settings.json:
            return msgspec.json.encode(state).decode()
        return show_state(state)

    @command(SimulateSettings)
    def simulate(self, verb: str, file: str, **flags: str) -> str:
        """Simulate days: `run` reports them, `compare` compares two policies.

        FILE describes the simulated deployment.
        """
        try:
            from lacewingdock.lab.command import simulate
        except ImportError as error:
            raise LacewingdockError(
                ErrorKind.BAD_COMMAND,
                f"simulate: install lacewingdock[lab]: {error}",
            ) from error

        return simulate(verb, file, load_settings(SimulateSettings, flags))

    @command()
    def version(self) -> str:
        """Print the version."""
        return VERSION


def _print(text: str) -> None:
    print(text, flush=True)


def _read_file(file: str) -> str:
    try:
        return Path(file).read_text("utf-8")
    except (OSError, ValueError) as error:
        raise LacewingdockError(
            ErrorKind.BAD_COMMAND, f"{file!r}: {error}"
        ) from error


def _run_daemon(settings: DaemonSettings, run: Callable[[Any], int]) -> None:
    start_logging(
        settings.log_level,
        instance=settings.instance,
        failure_domain=settings.failure_domain,
    )
    left = run(settings)
    exit_now(1 if left else 0)


def run_command(arguments: list[str]) -> int:
    """Run a command line and return the exit status."""
    try:
        if not arguments or arguments[0] in HELP_ARGUMENTS:
            print(overview(Commands))
            return 0
        known = command_table(Commands)
        if arguments[0] not in known:
            raise LacewingdockError(
                ErrorKind.BAD_COMMAND,
                f"{arguments[0]!r}: want one of {', '.join(sorted(known))}",
            )
        if taken := [word for word in arguments if word in FIRE_SEPARATORS]:
            raise LacewingdockError(
                ErrorKind.BAD_COMMAND, f"{taken[0]!r} is not a valid argument"
            )
        fire.Fire(Commands, arguments, name="lacewingdock")
    except LacewingdockError as error:
        print(f"lacewingdock: {error}", file=sys.stderr)
        return error.answer.exit_status
    except fire.core.FireExit as error:
        return int(error.code)
    except OSError as error:
        kind = ErrorKind.INTERNAL
        print(f"lacewingdock: {kind}: {error}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return INTERRUPTED_STATUS
    return 0


def main() -> None:
    """Run the process's command line and exit with its status."""
    exit_now(run_command(sys.argv[1:]))


if __name__ == "__main__":
    main()
