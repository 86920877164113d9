"""The record of a run: one line for each thing that was sent, answered or run."""

import time
from pathlib import Path


class Record:
    """Writes lines with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()

    def write(self, *fields: object) -> None:
        at = time.monotonic() - self._started
        self._file.write(" ".join([f"{at:8.3f}", *map(str, fields)]) + "\n")
        self._file.flush()
