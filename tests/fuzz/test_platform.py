"""Fuzz tests of the platform's answers."""

import socket

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from lacewingdock.platform.object_api import Reply
from lacewingdock.platform.store import ObjectStore
from tests.fuzz.common import coded, fuzzed, json_values


class OddPlatform(ObjectStore):
    """A client whose platform answers odd things."""

    __slots__ = ("answer",)

    def _call(self, *_args, **_kwargs):
        return Reply(self.answer[0], msgspec.json.encode(self.answer[1]))


instances = st.fixed_dictionaries(
    {
        "name": st.just("a"),
        "role": st.just("entry"),
        "failure_domain": st.just("d"),
        "address": st.sampled_from(
            ["1.2.3.4:99999", "1...:5", "999.1.1.1:5", "1.2.3.4:5\n"]
        )
        | st.text(max_size=12),
    }
)


@fuzzed
@given(
    st.sampled_from([200, 400, 404, 409, 410]),
    json_values
    | st.fixed_dictionaries({"current_rev": json_values, "items": json_values})
    | st.fixed_dictionaries({"current_rev": json_values, "events": json_values})
    | st.fixed_dictionaries(
        {
            "current_rev": st.integers(0, 9),
            "items": st.lists(
                st.fixed_dictionaries(
                    {
                        "metadata": st.just({"name": "a", "revision": 1}),
                        "spec": instances,
                    }
                )
            ),
        }
    ),
)
def test_platform_answers(status, body):
    store = OddPlatform("http://127.0.0.1:1")
    store.answer = (status, body)
    coded(store.get, "c", "n", "p")
    coded(store.list_all, "c", "p")
    coded(store.watch, "c", 1, "p")
    coded(store.put, "c", "n", {}, 0, "p")
    for instance in coded(store.instances) or ():
        host, _, port = instance.address.rpartition(":")
        assert int(port) < 2**16
        socket.inet_aton(host)
