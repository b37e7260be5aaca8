"""Rendezvous hashing: all processes rank names alike, and a change of names moves few keys.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998).
"""

from __future__ import annotations

from collections.abc import Sequence

import xxhash


def weight(key: str, name: str) -> int:
    """Return the 64-bit hash of a name for a key."""
    return int(xxhash.xxh64_intdigest(f"{key}/{name}".encode()))


def rank(key: str, names: Sequence[str]) -> list[str]:
    """Return the names in descending order of their hash for the key."""
    return sorted(names, key=lambda name: weight(key, name), reverse=True)


def first(key: str, names: Sequence[str]) -> str | None:
    """Return the name with the highest hash for the key, or None if there are no names."""
    return max(names, key=lambda name: weight(key, name), default=None)
