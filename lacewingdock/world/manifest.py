"""Support for configuration manifests in YAML or JSON."""

from typing import Any

import yaml

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.world.world import CLASSES, World, decode_item

Manifest = dict[str, Any]


def parse_manifest(text: str) -> Manifest:
    """Read a manifest: a map from kind to a map from name to object.

    Args:
        text: YAML, of which JSON is a part.

    Returns:
        Plain values by item key "KIND/NAME".

    Raises:
        LacewingdockError: BAD_MANIFEST naming every fault at once.
    """
    try:
        tree = yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise LacewingdockError(
            ErrorKind.BAD_MANIFEST, f"not YAML: {error}"
        ) from error
    if not isinstance(tree, dict):
        raise LacewingdockError(
            ErrorKind.BAD_MANIFEST, "the manifest is not a map of kinds"
        )
    manifest: Manifest = {}
    faults = []
    for kind, objects in tree.items():
        if kind not in CLASSES or not isinstance(objects, dict):
            faults.append(
                f"{kind}: want a map under one of {', '.join(sorted(CLASSES))}"
            )
            continue
        for name, value in objects.items():
            manifest[f"{kind}/{name}"] = value
    faults += check_references(manifest)
    if faults:
        raise LacewingdockError(ErrorKind.BAD_MANIFEST, "; ".join(faults))
    return manifest


def check_references(manifest: Manifest) -> list[str]:
    """Name every fault of the objects and of what they refer to."""
    world = World()
    faults = []
    for key, value in manifest.items():
        try:
            world.add(*decode_item(key, value))
        except LacewingdockError as error:
            faults.append(error.detail)
    return faults + _dangling(world)


def _dangling(world: World) -> list[str]:
    faults = []
    for name, cascade in world.cascades.items():
        faults += [
            f"cascade/{name}: no version {step.version!r}"
            for step in cascade.steps
            if step.version not in world.versions
        ]
    for name, model in world.models.items():
        faults += [
            f"model/{name}: no version {version!r}"
            for version in model.shares
            if version not in world.versions
        ]
    for name, workspace in world.workspaces.items():
        faults += [
            f"workspace/{name}: no version {version!r}"
            for version in workspace.versions
            if version not in world.versions
        ]
        faults += [
            f"workspace/{name}: no model or cascade {model!r}"
            for model in workspace.models
            if model not in world.models and model not in world.cascades
        ]
        faults += [
            f"workspace/{name}: no service {service!r}"
            for service in workspace.services
            if service not in world.services
        ]
    return faults
