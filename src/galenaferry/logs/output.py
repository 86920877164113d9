"""Non-blocking line output that drops lines instead of waiting for the reader."""

import os


class LossyOutput:
    """Line output to a pipe or file whose reader may be slow.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._unwritten = b""
        os.set_blocking(descriptor, False)

    def write_line(self, line: str) -> bool:
        """Write a line and return whether any part of it was written.

        A partly written line is always completed before the next one; while its
        rest can't be written, new lines are dropped.
        """
        if not self._flush():
            return False
        whole = self._unwritten = line.encode("utf-8", "replace") + b"\n"
        self._flush()
        if len(self._unwritten) < len(whole):
            return True
        self._unwritten = b""
        return False

    def _flush(self) -> bool:
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except OSError:
                # The pipe is full or its reader is gone. The log itself can't
                # report this, so the caller counts the dropped line.
                return False
            self._unwritten = self._unwritten[written:]
        return True
