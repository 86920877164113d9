"""The administration interface: token, errors and changes."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from galenaferry.admin.tests.builders import AdminBench
from galenaferry.network.json_server import JsonRequest

GOOD = {
    "base": 0,
    "author": "ana",
    "reason": "why",
    "edits": [["defaults", "floor_percent", "70"]],
}


def test_all_but_readiness_needs_the_token():
    bench = AdminBench()
    assert bench.send_request("GET", "/ready", token="").status == 200
    for token in ("", "wrong"):
        answer = bench.send_request("GET", "/v1/state", token=token)
        assert (answer.status, answer.body["error"]["code"]) == (401, "unauthorized")


def test_a_change_is_asked_for_until_it_is_decided():
    bench = AdminBench()
    assert bench.send_request("PUT", "/v1/changes/one", GOOD).status == 202
    bench.run(500.0)
    assert bench.send_request("GET", "/v1/changes/one").body == {
        "state": "accepted",
        "version": 1,
    }
    assert bench.send_request("PUT", "/v1/changes/one", GOOD).body["version"] == 1
    assert bench.send_request("GET", "/v1/configuration").body["sections"] == {
        "defaults": {"floor_percent": "70"}
    }
    assert (
        bench.send_request("GET", "/v1/configuration?version=0").body["sections"] == {}
    )


@pytest.mark.parametrize(
    ("body", "text"),
    [
        (None, "the body must be a JSON object"),
        ({**GOOD, "base": "0"}, "base must be a whole number"),
        ({**GOOD, "reason": " "}, "reason must be a text that is not empty"),
        (
            {**GOOD, "edits": [["defaults", "floor_percent"]]},
            "an edit is [section, key, text or null]",
        ),
        ({**GOOD, "edits": {}}, "edits must be a list"),
    ],
)
def test_a_bad_proposal_is_told_what_is_wrong(body, text):
    answer = AdminBench().send_request("PUT", "/v1/changes/one", body)
    assert (answer.status, answer.body["error"]["text"]) == (400, text)


def test_unknown_paths_methods_and_versions():
    bench = AdminBench()
    assert bench.send_request("GET", "/v2/state").status == 404
    assert bench.send_request("DELETE", "/v1/changes/one").status == 405
    assert bench.send_request("GET", "/v1/changes/one").status == 404
    assert bench.send_request("GET", "/v1/configuration?version=7").status == 404
    assert bench.send_request("GET", "/v1/configuration?version=x").status == 400


def test_a_drain_turns_the_vm_unready():
    bench = AdminBench()
    assert bench.send_request("POST", "/v1/drain").status == 202
    assert bench.send_request("GET", "/ready").status == 503


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.sampled_from([*GOOD, "x"]), inner, max_size=5)
    ),
    max_leaves=12,
)


@seed(31)
@settings(max_examples=200, deadline=None, database=None)
@given(json_values, st.text(max_size=20))
def test_any_json_gets_a_decision_or_a_clear_error(body, change_id):
    headers = {"authorization": "Bearer secret"}
    request = JsonRequest("PUT", f"/v1/changes/{change_id}", {}, headers, body, b"")
    answer = AdminBench().interface.respond(request)
    assert answer.status == 202 or answer.body["error"]["text"]
