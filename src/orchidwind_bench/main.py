"""`orchidwind-bench`: demonstration, experiments and measurements on this machine."""

from __future__ import annotations

import asyncio
import os
import platform
import sys
import time
from pathlib import Path

import defopt
import msgspec

from orchidwind_bench import demo as demo_module
from orchidwind_bench.capacity import ScaleFile, write_page
from orchidwind_bench.scale import measure_hollow
from orchidwind_bench.scale_events import measure_events
from orchidwind_bench.scale_real import measure_real


def demo() -> int:
    """Run a whole system on loopback, kill the primary, and check what sessions saw."""
    return demo_module.demo()


def scale(
    *,
    json: Path,
    nodes: str = "10,50,150,410",
    databases: str = "30,150,400,930",
    real: int = 1,
    seed: int = 1,
    parted_seconds: float = 3600.0,
) -> None:
    """Measure what each role costs as the system grows, and the target's events.

    :param json: file to write the measurements to
    :param nodes: sizes of the hollow clusters, rising
    :param databases: databases at these sizes, rising
    :param real: factor on the sizes measured with real proxies
    :param seed: seed of the simulator
    :param parted_seconds: virtual time for which the regions lose each other
    """
    sizes = [int(text) for text in nodes.split(",")]
    held = [int(text) for text in databases.split(",")]
    hollow = measure_hollow(sizes, held, seed, _progress)
    measured = ScaleFile(
        machine=f"{platform.machine()}, {os.cpu_count()} processors, Python"
        f" {platform.python_version()}",
        seed=seed,
        hollow=hollow,
        real=asyncio.run(measure_real(real, _progress)),
        events=measure_events(sizes[-1], held[-1], seed, parted_seconds, _progress),
    )
    json.write_bytes(msgspec.json.format(msgspec.json.encode(measured)))


def capacity(*, source: Path, folder: Path = Path("docs")) -> None:
    """Write docs/CAPACITY.md and its plots from a file of `scale`.

    :param source: file that `scale` wrote
    :param folder: folder to write to
    """
    print(write_page(source, folder))


def _progress(text: str) -> None:
    print(f"{time.strftime('%H:%M:%S')} {text}", flush=True)


def main() -> None:
    """Entry point of `orchidwind-bench`."""
    sys.exit(defopt.run([demo, scale, capacity]))
