"""Fuzz tests of configuration manifests."""

import msgspec
from hypothesis import example, given
from hypothesis import strategies as st

from lacewingdock.world.manifest import parse_manifest
from lacewingdock.world.world import CLASSES, build_world
from tests.fuzz.common import DEEP, coded, fuzzed, json_values

manifest_texts = st.one_of(
    st.text(max_size=80),
    json_values.map(lambda v: msgspec.json.encode(v).decode()),
    st.dictionaries(
        st.sampled_from(sorted(CLASSES)),
        st.dictionaries(st.text(max_size=5), json_values, max_size=3),
    ).map(lambda v: msgspec.json.encode(v).decode()),
)


@fuzzed
@given(manifest_texts)
@example("!!timestamp x")
@example("!!bool x")
@example("!!int ''")
@example("version: {a: {model: m, input_price: .nan}}")
@example("version: &a {b: *a}")
@example("[" * DEEP)
@example("- " * DEEP)
def test_manifest(text):
    manifest = coded(parse_manifest, text)
    if manifest is not None:
        # What the check lets through comes into force everywhere.
        items = [(k, msgspec.json.encode(v)) for k, v in manifest.items()]
        assert build_world(items)[1] == []
