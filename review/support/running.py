"""Runs one case, with a limit of time, and writes its verdict."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

from support.common import CODE_BROKEN, CODE_CANNOT_RUN, CODE_HELD, TROUBLE, Record

_LONGEST_SECONDS = 105.0


class Case(Protocol):
    """A case; `run` returns one of the exit codes."""

    async def run(self) -> int:
        """Run the case."""


async def _bounded(case: Callable[[Path, Record], Case], folder: Path, record: Record) -> int:
    """Run a case for `_LONGEST_SECONDS` at most; everything that it started is ended then."""
    async with asyncio.timeout(_LONGEST_SECONDS):
        return await case(folder, record).run()


def run_case(file: str, case: Callable[[Path, Record], Case]) -> int:
    """Run a case with its record beside `file`; returns the exit code (see `run_case.sh`)."""
    record = Record(Path(file).resolve().parent / "record.txt")
    record.write(f"TROUBLE={int(TROUBLE)}")
    # An end from outside still ends the processes of the case.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(CODE_CANNOT_RUN))
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = asyncio.run(_bounded(case, Path(folder), record))
        except Exception as error:  # whatever went wrong here shows nothing about the proxies
            record.write(f"could not run: {error!r}")
            code = CODE_CANNOT_RUN
        kept = os.environ.get("REVIEW_KEEP")
        if kept:
            Path(kept).mkdir(parents=True, exist_ok=True)
            for path in Path(folder).iterdir():
                (Path(kept) / path.name).write_bytes(path.read_bytes())
    verdict = {CODE_HELD: "held", CODE_BROKEN: "broken"}.get(code, "could not run")
    record.write(f"the rule: {verdict}")
    return code
