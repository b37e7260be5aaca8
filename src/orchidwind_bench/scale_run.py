"""The whole scale run: real proxies first and alone, then hollow clusters side by side."""

from __future__ import annotations

import asyncio
import os
import platform
from collections.abc import Callable
from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import msgspec

from orchidwind_bench.capacity import ScaleFile
from orchidwind_bench.scale import measure_loss, measure_membership, measure_small
from orchidwind_bench.scale_events import (
    EventPoint,
    measure_day,
    measure_machine_events,
    measure_parting,
    measure_primary_changes,
)
from orchidwind_bench.scale_real import measure_real

_LOSS = 0.02
_LOSS_SECONDS = 60.0
_PRIMARY_CHANGES = 30
_WORKERS = 4

Progress = Callable[[str], None]
Measured = TypeVar("Measured")


@dataclass(frozen=True)
class ScaleOptions:
    """Sizes of the run, rising; durations in seconds of virtual time."""

    nodes: list[int]
    databases: list[int]
    real: int
    seed: int
    day_seconds: float
    parted_seconds: float


def run_scale(path: Path, options: ScaleOptions, progress: Progress) -> None:
    """Measure and write; the file is written anew after each part."""
    measured = ScaleFile(
        machine=f"{platform.machine()}, {os.cpu_count()} processors, Python"
        f" {platform.python_version()}",
        seed=options.seed,
        parted_seconds=options.parted_seconds,
    )
    measured.real = asyncio.run(measure_real(options.real, progress))
    _write(path, measured)
    measure_small(options.nodes, options.databases, measured.hollow)
    _measure_clusters(path, options, measured, progress)


def _measure_clusters(
    path: Path, options: ScaleOptions, measured: ScaleFile, progress: Progress
) -> None:
    """Clusters share nothing, so that each runs in a process of its own."""
    largest, held, seed = options.nodes[-1], options.databases[-1], options.seed
    with ProcessPoolExecutor(_WORKERS) as pool:
        parting = pool.submit(measure_parting, largest, held, seed, options.parted_seconds)
        day = pool.submit(measure_day, largest, held, seed, options.day_seconds)
        machines = pool.submit(measure_machine_events, largest, held, seed)
        sizes = [
            pool.submit(measure_membership, size, databases, seed)
            for size, databases in zip(options.nodes, options.databases, strict=True)
        ]
        losses = [
            pool.submit(measure_loss, size, _LOSS, _LOSS_SECONDS, seed) for size in (3, 30, largest)
        ]
        changes = pool.submit(measure_primary_changes, _PRIMARY_CHANGES)
        measured.hollow.membership = [_take(item, "membership", progress) for item in sizes]
        _write(path, measured)
        measured.hollow.loss = [_take(item, "loss", progress) for item in losses]
        measured.events.primary_changes = _take(changes, "changes of primary", progress)
        _write(path, measured)
        for name, events in (("machines", machines), ("day", day), ("parted regions", parting)):
            points: list[EventPoint] = _take(events, name, progress)
            measured.events.events += points
            _write(path, measured)


def _take(future: Future[Measured], name: str, progress: Progress) -> Measured:
    result = future.result()
    progress(f"{name} measured")
    return result


def _write(path: Path, measured: ScaleFile) -> None:
    path.write_bytes(msgspec.json.format(msgspec.json.encode(measured)))
