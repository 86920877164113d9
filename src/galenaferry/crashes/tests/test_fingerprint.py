"""Fingerprints tell the repetitions of one request from other requests."""

from galenaferry.crashes.fingerprint import kind_of, path_digest, variant_digest
from galenaferry.framing.messages import RequestHead
from galenaferry.requests.body import REPLAY_LIMIT_BYTES, RequestBody

HEADERS = ((b"host", b"a.example"), (b"accept", b"*/*"), (b"x-id", b"1"))


def make_head(method=b"POST", target=b"/x?y=1", headers=HEADERS):
    return RequestHead(method, target, "1.1", headers, 3, True, False)


def make_body(*parts):
    body = RequestBody()
    for part in parts:
        body.append(part)
        body.take_unsent()
    return body


def fingerprint(caller, head, body=b"abc"):
    digest = make_body(body).digest()
    return path_digest(head) + digest + variant_digest(caller, head)


def test_a_repetition_with_other_headers_has_the_same_fingerprint():
    other = make_head(headers=((b"x-id", b"2"), (b"host", b"a.example")))
    assert fingerprint("10.0.0.1", make_head()) == fingerprint("10.0.0.1", other)


def test_another_caller_method_host_target_or_body_has_another_fingerprint():
    fingerprints = [
        fingerprint("10.0.0.1", make_head()),
        fingerprint("10.0.0.2", make_head()),
        fingerprint("10.0.0.1", make_head(method=b"PUT")),
        fingerprint("10.0.0.1", make_head(target=b"/x?y=2")),
        fingerprint("10.0.0.1", make_head(target=b"/z?y=1")),
        fingerprint("10.0.0.1", make_head(headers=((b"host", b"b.example"),))),
        fingerprint("10.0.0.1", make_head(), b"abd"),
    ]
    assert len(set(fingerprints)) == len(fingerprints)


def test_variants_of_caller_method_and_query_are_of_one_kind():
    kinds = {
        kind_of(fingerprint("10.0.0.1", make_head())),
        kind_of(fingerprint("10.0.0.2", make_head())),
        kind_of(fingerprint("10.0.0.1", make_head(method=b"PUT"))),
        kind_of(fingerprint("10.0.0.1", make_head(target=b"/x?y=2"))),
    }
    assert len(kinds) == 1
    assert kind_of(fingerprint("10.0.0.1", make_head(target=b"/z"))) not in kinds
    assert kind_of(fingerprint("10.0.0.1", make_head(), b"abd")) not in kinds


def test_the_parts_in_which_a_body_arrives_do_not_matter():
    assert make_body(b"abc", b"def").digest() == make_body(b"abcdef").digest()
    assert make_body(b"abcdef").digest() != make_body(b"abcdeg").digest()


def test_a_body_that_is_too_large_to_be_kept_is_told_by_its_start():
    start = bytes(REPLAY_LIMIT_BYTES)
    whole = make_body(start + b"1" * 1000)
    in_parts = make_body(start[:999], start[999:], b"1", b"1" * 999)
    assert whole.digest() == in_parts.digest() == make_body(start).digest()
    assert whole.digest() != make_body(b"x" + start).digest()
