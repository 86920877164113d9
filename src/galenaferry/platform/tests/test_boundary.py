"""The platform's words stay in its folder."""

import re
from pathlib import Path

PACKAGE = Path(__file__).parents[2]
WIRE_NAMES = re.compile(
    r"galenaferry-(expected-instance|not-executed|response-signature|request-deadline)"
    r"|rows-(get|tx|feed)|blob-(put|get)|coldRemainingMs|trafficSplit|internalPortRange"
    r"|seedNodes|bootstrap|maxConnections|healthCheckPath|timeoutMs|waitMs|GALENAFERRY_NODE_FILE",
    re.IGNORECASE,
)


def test_no_word_of_the_wire_stands_elsewhere():
    found = [
        f"{path.relative_to(PACKAGE)}: {match.group()}"
        for path in PACKAGE.rglob("*.py")
        if "platform" not in path.relative_to(PACKAGE).parts
        and "tests" not in path.parts
        for match in WIRE_NAMES.finditer(path.read_text())
    ]
    assert found == []


def test_only_its_daemon_and_tests_import_the_adapter():
    importing = [
        str(path.relative_to(PACKAGE))
        for path in PACKAGE.rglob("*.py")
        if "platform" not in path.relative_to(PACKAGE).parts
        and "tests" not in path.parts
        and re.search(r"from (\.+|galenaferry\.)platform[ .]", path.read_text())
    ]
    assert importing == []
