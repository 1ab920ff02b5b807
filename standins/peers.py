"""Support for many light daemons in one process: links and configuration.

They stand in for the far ends of a daemon that is measured with more links
than there is room for processes.
"""

import threading
from pathlib import Path
from typing import Any, Final

import fire

from lacewingdock.components import configuration, peers
from lacewingdock.components.configuration import Configuration
from lacewingdock.const import THREAD_STACK_BYTES
from lacewingdock.core import Daemon
from lacewingdock.helpers.log import start_logging
from lacewingdock.links.messages import Beat, Status
from lacewingdock.settings import EntrySettings, SidecarSettings

HOST: Final = "127.0.0.1"
CAPACITY: Final = 64


def beat_of(config: Configuration) -> Beat:
    """Return the beat of a daemon without work."""
    return Beat(revision=config.revision)


def start_sidecar(
    platform: str, keys: str, index: int, versions: list[str]
) -> str:
    """Start a light sidecar; return the address it listens on."""
    daemon = Daemon(
        SidecarSettings(
            instance=f"light-{index}",
            failure_domain="light",
            platform=platform,
            link_keys_file=keys,
            upstream="http://127.0.0.1:1",
        )
    )
    links = peers.setup(daemon)
    config = configuration.setup(daemon, links)
    links.beat = lambda: beat_of(config)
    status = Status(targets=versions, capacity=CAPACITY)
    links.on_open.append(lambda link: link.send(status))
    config.step()
    links.start()
    return f"{HOST}:{links.port}"


def start_entry(
    platform: str, keys: str, name: str, addresses: list[str]
) -> None:
    """Start a light entry that keeps links to addresses."""
    daemon = Daemon(
        EntrySettings(
            instance=name,
            failure_domain="light",
            platform=platform,
            link_keys_file=keys,
            port=0,
        )
    )
    links = peers.setup(daemon)
    config = configuration.setup(daemon, links)
    links.beat = lambda: beat_of(config)
    # Listed once and then kept up by its links only: it must not become a
    # watcher beside those that are measured.
    config.step()
    links.start()
    for address in addresses:
        daemon.spawn(links.dial_and_read, address)


def main(
    platform: str,
    keys: str,
    report: str,
    sidecars: int = 0,
    versions: Any = (),
    dial: Any = (),
) -> None:
    """Run light daemons until the process is ended.

    Args:
        platform: URL of the platform.
        keys: File of the link keys.
        report: File that gets the light sidecars' addresses, a line each.
        sidecars: Number of light sidecars, on ports that are free.
        versions: Versions that each light sidecar says it has.
        dial: For each light entry its addresses, separated by "/"; each
            dials a light sidecar besides, which is where news comes from.
    """
    start_logging("error", instance="light", failure_domain="light")
    threading.stack_size(THREAD_STACK_BYTES)
    loaded = [str(version) for version in _each(versions)]
    addresses = [
        start_sidecar(platform, keys, index, loaded)
        for index in range(sidecars)
    ]
    for index, others in enumerate(_each(dial)):
        name = f"light-entry-{index}"
        bridge = addresses[index % len(addresses)]
        start_entry(platform, keys, name, [*str(others).split("/"), bridge])
    part = Path(f"{report}.part")
    part.write_text("".join(f"{address}\n" for address in addresses))
    part.rename(report)
    threading.Event().wait()


def _each(value: Any) -> list[Any]:
    if isinstance(value, str):
        return [part for part in value.split(",") if part]
    return list(value) if isinstance(value, list | tuple) else [value]


if __name__ == "__main__":
    fire.Fire(main)
