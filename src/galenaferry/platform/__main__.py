"""The daemon of a VM on the users' platform."""

import argparse
import math
import os
import sys
from pathlib import Path
from typing import Final

from result import Err, Result

from ..discovery.messages import TableRow
from ..findings import Finding, format_findings
from ..logs import set_up_logs
from ..network.loop import Loop
from ..node.adapter import Adapter, TableNames
from ..node.component import Node
from ..node.run import run
from ..node.settings import NodeSettings
from .documents import (
    BLOCKED_REQUESTS_TABLE,
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    INSTANCES_TABLE,
    VMS_TABLE,
    decode_configuration,
    decode_instance,
)
from .headers import HEADER_NAMES
from .settings import parse_node_file
from .store import StoreClient
from .workspaces import digest_row

SETTINGS_VARIABLE: Final = "GALENAFERRY_NODE_FILE"
PEER_KEY_VARIABLE: Final = "GALENAFERRY_PEER_KEY"
ADMIN_TOKEN_VARIABLE: Final = "GALENAFERRY_ADMIN_TOKEN"
EXIT_BAD_SETTINGS: Final = 2
EXIT_CANNOT_SERVE: Final = 1


def main() -> None:
    """Read the node file and serve until the process is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--metrics-port", type=int, default=0)
    parser.add_argument(
        "--second-attempts-percent",
        type=parse_percent,
        default=0.0,
        help="second attempts at slow requests per 100 requests, from 0 to 100",
    )
    options = parser.parse_args()
    percent = options.second_attempts_percent
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    result = read_settings(path, percent)
    if isinstance(result, Err):
        sys.stderr.write(format_findings(result.err_value) + "\n")
        raise SystemExit(EXIT_BAD_SETTINGS)
    set_up_logs(True, sys.stdout)
    settings = result.ok_value
    peer_key = os.environ.get(PEER_KEY_VARIABLE, "").encode()
    loop = Loop(is_fault_tolerant=True)
    try:
        adapter = make_adapter(settings, loop, peer_key)
        node = Node(
            settings,
            loop,
            adapter,
            peer_key,
            lambda: read_settings(path, percent),
            options.metrics_port,
            os.environ.get(ADMIN_TOKEN_VARIABLE, ""),
        )
        run(node, settings.name)
    except OSError as error:
        sys.stderr.write(f"{settings.name}: can't serve: {error}\n")
        raise SystemExit(EXIT_CANNOT_SERVE) from None


def parse_percent(text: str) -> float:
    """Return a percentage.

    Raises
    ------
    argparse.ArgumentTypeError
        When the text is not a number from 0 to 100.
    """
    try:
        percent = float(text)
    except ValueError:
        percent = math.nan
    if not 0.0 <= percent <= 100.0:
        raise argparse.ArgumentTypeError(f"{text!r} is not a number from 0 to 100")
    return percent


def read_settings(
    path: Path, second_attempts_percent: float = 0.0
) -> Result[NodeSettings, list[Finding]]:
    """Return the settings in the node file and an option, or all findings together."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([Finding(str(path), "", "", 0, f"can't be read: {error}")])
    return parse_node_file(str(path), text).map(
        lambda settings: settings._replace(
            second_attempts_percent=second_attempts_percent
        )
    )


def make_adapter(settings: NodeSettings, loop: Loop, fleet_key: bytes = b"") -> Adapter:
    """Return the adapter of the users' platform.

    Keys of workspaces are digested with ``fleet_key``.
    """

    def prepare_row(table: str, row: TableRow) -> TableRow:
        if table != CONFIGURATION_TABLE:
            return row
        return digest_row(row, CONFIGURATION_KEY, fleet_key)

    return Adapter(
        store=StoreClient(loop, settings.store, prepare_row),
        tables=TableNames(
            CONFIGURATION_TABLE,
            CONFIGURATION_KEY,
            INSTANCES_TABLE,
            VMS_TABLE,
            BLOCKED_REQUESTS_TABLE,
        ),
        headers=HEADER_NAMES,
        decode_configuration=lambda value: decode_configuration(value, fleet_key),
        decode_instance=decode_instance,
        prepare_row=prepare_row,
    )


if __name__ == "__main__":
    main()
