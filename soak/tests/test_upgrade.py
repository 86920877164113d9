"""What the soak writes and expects during an upgrade."""

import json

from soak.documents import make_configuration
from soak.upgrade import BULK, missing_for


def test_a_version_is_missing_since_the_first_newer_one_was_written():
    written = [(1_000.0, 5), (4_000.0, 7)]
    missing = [missing_for(written, version, 4_500.0) for version in (0, 5, 7, 8)]
    assert missing == [3_500.0, 500.0, 0.0, 0.0]


def test_a_bulk_of_routes_makes_the_document_large():
    sizes = [len(json.dumps(make_configuration(1, "one", b))) for b in ((), BULK)]
    assert sizes[0] < 2_000 and 280_000 < sizes[1] < 320_000
