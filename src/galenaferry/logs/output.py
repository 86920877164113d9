"""A file descriptor that takes lines or loses them, and never blocks."""

import os


class LossyOutput:
    """Lines to a pipe or file whose reader may be slow.

    Parameters
    ----------
    descriptor : int
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._unwritten = b""
        os.set_blocking(descriptor, False)

    def write_line(self, line: str) -> bool:
        """Write a line; False where it was lost because nobody reads.

        A line that was begun is always ended before another one.
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
                # A full pipe, or one whose reader is gone: there is nowhere to
                # report it, so the loss is counted by the caller.
                return False
            self._unwritten = self._unwritten[written:]
        return True
