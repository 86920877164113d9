"""Names of the platform's protocol are used in its package only."""

import re
from pathlib import Path

PACKAGE = Path(__file__).parents[2]
WIRE_NAMES = re.compile(
    r"galenaferry-(expected-instance|not-executed|response-signature|request-deadline)"
    r"|rows-(get|tx|feed)|blob-(put|get)|coldRemainingMs|trafficSplit|internalPortRange"
    r"|seedNodes|bootstrap|maxConnections|healthCheckPath|timeoutMs|waitMs|GALENAFERRY_NODE_FILE",
    re.IGNORECASE,
)


def test_no_wire_name_is_used_outside_the_package():
    found = [
        f"{path.relative_to(PACKAGE)}: {match.group()}"
        for path in PACKAGE.rglob("*.py")
        if "platform" not in path.relative_to(PACKAGE).parts
        and "tests" not in path.parts
        for match in WIRE_NAMES.finditer(path.read_text())
    ]
    assert found == []


def test_no_other_package_imports_the_package():
    importing = [
        str(path.relative_to(PACKAGE))
        for path in PACKAGE.rglob("*.py")
        if "platform" not in path.relative_to(PACKAGE).parts
        and "tests" not in path.parts
        and re.search(r"from (\.+|galenaferry\.)platform[ .]", path.read_text())
    ]
    assert importing == []
