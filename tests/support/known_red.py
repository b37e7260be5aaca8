"""Reads KNOWN-RED.txt, the list of known test failures, and marks the listed tests as xfail.

The marker is strict: a listed test that passes fails the run, so that it is taken off the list once
it is fixed. So does an entry whose test is gone.
"""

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
LIST = ROOT / "KNOWN-RED.txt"
MOST = 3


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One line of the list.

    The test's node id, the command and seed that showed the failure, what was seen, and the issue.
    """

    test: str
    command: str
    seen: str
    issue: str

    @property
    def reason(self):
        """Why the test is expected to fail, in one line."""
        return f"{self.seen}; {self.command} (issue {self.issue})"


def read(text):
    """Returns the entries of the list; raises pytest.UsageError if it is malformed or too long."""
    lines = [line for line in text.splitlines() if line.strip() and not line.startswith("#")]
    if len(lines) > MOST:
        raise pytest.UsageError(f"the list of known failures has over {MOST} lines")
    parts = [[part.strip() for part in line.split("|")] for line in lines]
    if any(len(fields) != 4 or not all(fields) for fields in parts):
        raise pytest.UsageError("a known failure is a line: test | command and seed | seen | issue")
    known = [KnownRed(*fields) for fields in parts]
    for red in known:
        if not exists(red.test):
            raise pytest.UsageError(f"a known failure names a test that is gone: {red.test}")
    return known


def exists(test):
    """Whether the file of a node id has a test function of its name."""
    path, *names = test.split("::")
    file = ROOT / path
    if not names or not file.is_file():
        return False
    function = re.escape(names[-1].partition("[")[0])
    return re.search(rf"^ *(async )?def {function}\(", file.read_text(), re.MULTILINE) is not None


def mark(items, known):
    """Marks the collected items that are listed as expected to fail."""
    by_test = {red.test: red for red in known}
    for item in items:
        red = by_test.get(item.nodeid)
        if red is not None:
            item.add_marker(pytest.mark.xfail(reason=red.reason, strict=True))
