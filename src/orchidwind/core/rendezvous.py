"""Rendezvous hashing: every process orders the same names alike, and few places move at a change.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998); the
weighted form gives each name a share of the first places in proportion to its capacity.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

import xxhash

_HASHES = float(2**64)


def weight(key: str, name: str) -> int:
    """The hash of a name under a key, 64 bits."""
    return int(xxhash.xxh64_intdigest(f"{key}/{name}".encode()))


def rank(key: str, names: Sequence[str]) -> list[str]:
    """Names in falling order of their hash with the key."""
    return sorted(names, key=lambda name: weight(key, name), reverse=True)


def first(key: str, names: Sequence[str]) -> str | None:
    """The name with the highest hash, None without names."""
    return max(names, key=lambda name: weight(key, name), default=None)


def rank_by_capacity(key: str, capacities: Mapping[str, float]) -> list[str]:
    """Names in falling order; one with twice the capacity is first twice as often."""

    def score(name: str) -> float:
        fraction = (weight(key, name) + 1) / (_HASHES + 1)
        return capacities[name] / -math.log(fraction)

    return sorted(capacities, key=score, reverse=True)
