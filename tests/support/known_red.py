"""The list of known failures, KNOWN-RED.txt: the run passes over just these, and prints them.

A test of the list that passes fails the run, so that a mended one is taken off the list.
"""

from dataclasses import dataclass
from pathlib import Path

import pytest

LIST = Path(__file__).parents[2] / "KNOWN-RED.txt"
MOST = 3


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One line of the list."""

    test: str
    cause: str
    issue: str


def read(text):
    """The lines of the list; raises pytest.UsageError where it is not as described."""
    lines = [line for line in text.splitlines() if line.strip() and not line.startswith("#")]
    if len(lines) > MOST:
        raise pytest.UsageError(f"the list of known failures has over {MOST} lines")
    parts = [[part.strip() for part in line.split("|")] for line in lines]
    if any(len(fields) != 3 or not all(fields) for fields in parts):
        raise pytest.UsageError("a known failure is a line: test | cause | issue")
    return [KnownRed(*fields) for fields in parts]


def mark(items, known):
    """Expect the listed tests to fail; where a whole file is collected, each must be there."""
    by_test = {red.test: red for red in known}
    for item in items:
        red = by_test.get(item.nodeid)
        if red is not None:
            reason = f"{red.cause} (issue {red.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))
