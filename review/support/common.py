"""What all parts of a case share: names, times, exit codes, and the record of events."""

from __future__ import annotations

import os
import time
from pathlib import Path

HOST = "127.0.0.1"
SERVICE = "ledger"
ZONES = ("zone-a", "zone-b", "zone-c")
READ_BYTES = 65536
# Exit codes of a case's script, which `run_case.sh` maps to 0, 1 and 2. Python itself exits with 1
# if the script fails.
CODE_HELD, CODE_BROKEN, CODE_CANNOT_RUN = 0, 10, 2
# Without the disruption, a case must pass.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up, so that it shows nothing."""


class Record:
    """The file `record.txt` of a case: one line for each event, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", buffering=1)
        self._start = time.monotonic()

    def seconds(self, at: float | None = None) -> float:
        """The seconds since the start, now or at a time of the monotonic clock."""
        return (time.monotonic() if at is None else at) - self._start

    def write(self, text: str, at: float | None = None) -> None:
        """Write one line."""
        self._file.write(f"{self.seconds(at):8.3f} s  {text}\n")
