"""Names of instances within a proxy: each names one incarnation of an instance. No I/O.

An instance may be restarted under the identity that it had, without its log and state. Statuses,
fences, proven logs, rosters, connections and circuit breakers are kept by name. As each incarnation
has a name of its own, nothing that was true of one is taken to be true of the next. The instance
answers to its identity alone, which is also the key of its directory entry.

An incarnation is identified by its start time as the instance itself reports it, in Unix
milliseconds. The time only orders the incarnations of one identity and is never compared with a
clock of the proxy. An instance that reports none has a single incarnation, which is named by its
identity.

Owns and relies on: nothing.
"""

from __future__ import annotations

_SEPARATOR = "@"
# Start of an incarnation that reports no start time.
NO_START = 0


def incarnation_name(identity: str, started_at_ms: int) -> str:
    """Return the name of one incarnation."""
    return f"{identity}{_SEPARATOR}{started_at_ms}" if started_at_ms != NO_START else identity


def identity_of(name: str) -> str:
    """Return the identity to which the instance answers in every incarnation."""
    return _parts(name)[0]


def start_of(name: str) -> int:
    """Return when an incarnation began, in Unix milliseconds as the instance reported it.

    NO_START if it is unknown.
    """
    return _parts(name)[1]


def _parts(name: str) -> tuple[str, int]:
    identity, separator, start = name.rpartition(_SEPARATOR)
    if not separator or not (start.isascii() and start.isdecimal()):
        return name, NO_START
    return identity, int(start)
