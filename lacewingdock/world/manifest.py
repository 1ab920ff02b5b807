"""Support for configuration manifests in YAML or JSON."""

import math
import re
from typing import Any, Final

import yaml

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.world.names import NAME_PATTERN
from lacewingdock.world.world import CLASSES, World, decode_item

MAX_MANIFEST_CHARS: Final = 4 * 1024 * 1024

Manifest = dict[str, Any]


class _Loader(yaml.SafeLoader):
    """Safe YAML loader that rejects aliases and duplicate keys."""

    def compose_node(self, parent: Any, index: Any) -> Any:
        """Reject aliases: nested aliases grow without bound when merged."""
        if self.check_event(yaml.AliasEvent):
            event = self.peek_event()
            raise yaml.YAMLError(f"aliases are not supported{event.start_mark}")
        return super().compose_node(parent, index)

    def construct_mapping(self, node: Any, deep: bool = False) -> Any:
        """Reject duplicate keys: the first value would be silently lost."""
        seen = set()
        for key_node, _ in node.value:
            if key_node.value in seen and isinstance(key_node.value, str):
                raise yaml.YAMLError(
                    f"{key_node.value!r} is given twice{key_node.start_mark}"
                )
            if isinstance(key_node.value, str):
                seen.add(key_node.value)
        return super().construct_mapping(node, deep)


def parse_manifest(text: str) -> Manifest:
    """Parse a manifest: a map from kind to a map from name to object.

    Args:
        text: YAML, or JSON as a subset of it.

    Returns:
        Undecoded values by item key "KIND/NAME".

    Raises:
        LacewingdockError: BAD_MANIFEST listing all faults.
    """
    if len(text) > MAX_MANIFEST_CHARS:
        raise LacewingdockError(
            ErrorKind.BAD_MANIFEST, f"more than {MAX_MANIFEST_CHARS} characters"
        )
    try:
        # _Loader is a SafeLoader: it builds built-in types only.
        tree = yaml.load(text, _Loader)
    # The constructors of tagged values ("!!bool x") also raise LookupError
    # and AttributeError.
    except (
        yaml.YAMLError,
        ValueError,
        RecursionError,
        LookupError,
        AttributeError,
    ) as error:
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
            key = f"{kind}/{name}"
            if not re.fullmatch(NAME_PATTERN, str(name)):
                faults.append(f"{key!r}: want a name like {NAME_PATTERN}")
            if bad := _find_non_json(value):
                faults.append(f"{key}: {bad!r} is no JSON value")
            manifest[key] = value
    faults += check_references(manifest)
    if faults:
        raise LacewingdockError(ErrorKind.BAD_MANIFEST, "; ".join(faults))
    return manifest


def _find_non_json(value: Any) -> Any:
    """Find a value that JSON cannot represent, such as a date or `.nan`."""
    match value:
        case dict():
            inner: list[Any] = [*value.values()]
            inner += [k for k in value if not isinstance(k, str)]
            return next(filter(None, map(_find_non_json, inner)), None)
        case list():
            return next(filter(None, map(_find_non_json, value)), None)
        case float():
            return None if math.isfinite(value) else str(value)
        case None | bool() | int() | str():
            return None
        case _:
            return str(value)


def check_references(manifest: Manifest) -> list[str]:
    """List invalid objects and references to objects that do not exist."""
    world = World()
    faults = []
    for key, value in manifest.items():
        try:
            world.add(*decode_item(key, value))
        except LacewingdockError as error:
            faults.append(error.detail)
    return faults + _find_dangling(world)


def _find_dangling(world: World) -> list[str]:
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
