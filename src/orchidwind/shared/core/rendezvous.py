"""Rendezvous hashing: every process orders the same names alike, and few places move at a change.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998).
"""

from __future__ import annotations

from collections.abc import Sequence

import xxhash


def weight(key: str, name: str) -> int:
    """The hash of a name under a key, 64 bits."""
    return int(xxhash.xxh64_intdigest(f"{key}/{name}".encode()))


def rank(key: str, names: Sequence[str]) -> list[str]:
    """Names in falling order of their hash with the key."""
    return sorted(names, key=lambda name: weight(key, name), reverse=True)


def first(key: str, names: Sequence[str]) -> str | None:
    """The name with the highest hash, None without names."""
    return max(names, key=lambda name: weight(key, name), default=None)
