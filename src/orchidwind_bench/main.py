"""`orchidwind-bench`: demonstration, experiments and measurements on this machine."""

from __future__ import annotations

import sys

import defopt

from orchidwind_bench import demo as demo_module


def demo() -> int:
    """Run a whole system on loopback, kill the primary, and check what sessions saw."""
    return demo_module.demo()


def main() -> None:
    """Entry point of `orchidwind-bench`."""
    sys.exit(defopt.run([demo]))
