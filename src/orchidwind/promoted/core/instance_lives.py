"""Names of instances within a proxy: each names one life of an instance. No I/O.

What for: an instance may start again under the identity that it had, and then holds and knows
nothing of before. Statuses, fences, proven logs, rosters, connections and breakers are kept by
name; with a name of its own for each life nothing that was true of one is taken to be true of the
next. The identity alone is what an instance answers to, and what its directory entry stands under.

A life is told by the moment of its start as the instance itself gives it, in Unix milliseconds:
only an order among the lives of one identity, never compared with a clock of ours. An instance that
gives none has one life, which is named by its identity.

Owns and relies on: nothing.
"""

from __future__ import annotations

_SEPARATOR = "@"
# Of a life without a start.
NO_START = 0


def life_name(identity: str, started_at_ms: int) -> str:
    """The name of one life."""
    return f"{identity}{_SEPARATOR}{started_at_ms}" if started_at_ms != NO_START else identity


def identity_of(name: str) -> str:
    """What the instance answers to in every life."""
    return _parts(name)[0]


def start_of(name: str) -> int:
    """When a life began, Unix milliseconds by the instance's own word; NO_START where unknown."""
    return _parts(name)[1]


def _parts(name: str) -> tuple[str, int]:
    identity, separator, start = name.rpartition(_SEPARATOR)
    if not separator or not (start.isascii() and start.isdecimal()):
        return name, NO_START
    return identity, int(start)
