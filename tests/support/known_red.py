"""Reads KNOWN-RED.txt, the list of known test failures, and marks the listed tests as xfail.

The marker is strict: a listed test that passes fails the run, so that it is taken off the list once
it is fixed.
"""

from dataclasses import dataclass
from pathlib import Path

import pytest

LIST = Path(__file__).parents[2] / "KNOWN-RED.txt"
MOST = 3


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One line of the list: the test's node id, the cause of the failure and the issue."""

    test: str
    cause: str
    issue: str


def read(text):
    """Returns the entries of the list; raises pytest.UsageError if it is malformed or too long."""
    lines = [line for line in text.splitlines() if line.strip() and not line.startswith("#")]
    if len(lines) > MOST:
        raise pytest.UsageError(f"the list of known failures has over {MOST} lines")
    parts = [[part.strip() for part in line.split("|")] for line in lines]
    if any(len(fields) != 3 or not all(fields) for fields in parts):
        raise pytest.UsageError("a known failure is a line: test | cause | issue")
    return [KnownRed(*fields) for fields in parts]


def mark(items, known):
    """Marks the collected items that are listed as expected to fail."""
    by_test = {red.test: red for red in known}
    for item in items:
        red = by_test.get(item.nodeid)
        if red is not None:
            reason = f"{red.cause} (issue {red.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))
