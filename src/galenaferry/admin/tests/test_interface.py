"""Token check, errors and configuration changes of the administration interface."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from galenaferry.admin.tests.builders import AdminBench
from galenaferry.network.json_server import JsonRequest

VALID_PROPOSAL = {
    "base": 0,
    "author": "ana",
    "reason": "why",
    "edits": [["defaults", "floor_percent", "70"]],
}


def test_every_path_except_ready_requires_the_token():
    bench = AdminBench()
    assert bench.send_request("GET", "/ready", token="").status == 200
    for token in ("", "wrong"):
        response = bench.send_request("GET", "/v1/state", token=token)
        assert (response.status, response.body["error"]["code"]) == (
            401,
            "unauthorized",
        )


def test_a_proposed_change_can_be_polled_until_it_is_accepted():
    bench = AdminBench()
    assert bench.send_request("PUT", "/v1/changes/one", VALID_PROPOSAL).status == 202
    bench.run(500.0)
    assert bench.send_request("GET", "/v1/changes/one").body == {
        "state": "accepted",
        "version": 1,
    }
    assert (
        bench.send_request("PUT", "/v1/changes/one", VALID_PROPOSAL).body["version"]
        == 1
    )
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
        ({**VALID_PROPOSAL, "base": "0"}, "base must be a whole number"),
        ({**VALID_PROPOSAL, "reason": " "}, "reason must be a text that is not empty"),
        (
            {**VALID_PROPOSAL, "edits": [["defaults", "floor_percent"]]},
            "an edit is [section, key, text or null]",
        ),
        ({**VALID_PROPOSAL, "edits": {}}, "edits must be a list"),
    ],
)
def test_an_invalid_proposal_is_rejected_with_the_reason(body, text):
    response = AdminBench().send_request("PUT", "/v1/changes/one", body)
    assert (response.status, response.body["error"]["text"]) == (400, text)


def test_unknown_paths_methods_and_versions_are_rejected():
    bench = AdminBench()
    assert bench.send_request("GET", "/v2/state").status == 404
    assert bench.send_request("DELETE", "/v1/changes/one").status == 405
    assert bench.send_request("GET", "/v1/changes/one").status == 404
    assert bench.send_request("GET", "/v1/configuration?version=7").status == 404
    assert bench.send_request("GET", "/v1/configuration?version=x").status == 400


def test_a_draining_vm_is_not_ready():
    bench = AdminBench()
    assert bench.send_request("POST", "/v1/drain").status == 202
    assert bench.send_request("GET", "/ready").status == 503


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.sampled_from([*VALID_PROPOSAL, "x"]), inner, max_size=5)
    ),
    max_leaves=12,
)


@seed(31)
@settings(max_examples=200, deadline=None, database=None)
@given(json_values, st.text(max_size=20))
def test_arbitrary_json_gets_a_decision_or_an_error_text(body, change_id):
    headers = {"authorization": "Bearer secret"}
    request = JsonRequest("PUT", f"/v1/changes/{change_id}", {}, headers, body, b"")
    response = AdminBench().interface.respond(request)
    assert response.status == 202 or response.body["error"]["text"]


@pytest.mark.parametrize("version", ["%C2%B2", "-1", "1.0", "9" * 30, "x"])
def test_an_invalid_version_is_refused_with_its_name(version):
    bench = AdminBench()
    response = bench.send_request("GET", f"/v1/configuration?version={version}")
    assert response.status == 400
    assert response.body["error"]["text"].startswith("version must")
