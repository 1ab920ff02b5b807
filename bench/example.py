"""Support for deployments that run the example configuration."""

from pathlib import Path
from typing import Final

from bench.deployment import Deployment
from lacewingdock.components.configuration.apply import apply_manifest
from lacewingdock.platform.store import ObjectStore
from lacewingdock.world.manifest import Manifest, parse_manifest

MANIFEST: Final = Path("examples/carpato.yaml")
# Bearer keys of its workspaces, and claim partitions of its service.
RETAIL_KEY: Final = "carpato-retail-demo-key"
NOTES_KEY: Final = "carpato-notes-demo-key"
PARTITIONS: Final = 8


def read_example() -> Manifest:
    """Read the example manifest."""
    return parse_manifest(MANIFEST.read_text("utf-8"))


def apply(deployment: Deployment, manifest: Manifest) -> int:
    """Have the platform accept a manifest.

    Returns:
        The revision from which on all of it is in force.

    Raises:
        ValueError: Nothing in it was new.
    """
    store = ObjectStore(deployment.processes["platform"].url())
    return max(c.revision for c in apply_manifest(store, manifest))


def bring_into_force(deployment: Deployment, manifest: Manifest) -> None:
    """Apply a first manifest and wait until all daemons are ready with it."""
    revision = apply(deployment, manifest)
    deployment.wait_ready()
    deployment.wait_revision(revision)


def apply_example(deployment: Deployment) -> None:
    """Bring the example manifest into force, with a home for each claim."""
    bring_into_force(deployment, read_example())
    deployment.wait_homes(PARTITIONS)
