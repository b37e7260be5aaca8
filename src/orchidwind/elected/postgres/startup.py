"""Parses the parameters of a start-up message."""

from __future__ import annotations

from orchidwind.elected.postgres import wire
from orchidwind.elected.postgres.executor import SessionParameters


def session_parameters(parameters: dict[str, str]) -> SessionParameters:
    """Extract user, database, application name and options.

    Raises ProtocolViolation if the user name is missing.
    """
    user = parameters.get("user", "")
    if not user:
        raise wire.ProtocolViolation("no user name in the start-up message")
    options = dict(_parse_options(parameters.get("options", "")))
    options.update((key, value) for key, value in parameters.items() if "." in key)
    return SessionParameters(
        user=user,
        database=parameters.get("database") or user,
        application_name=parameters.get("application_name", ""),
        options=options,
    )


def _parse_options(text: str) -> list[tuple[str, str]]:
    """Parse the `-c name=value` pairs of libpq's `options` parameter."""
    pairs = []
    words = text.replace("-c ", "-c").split()
    for word in words:
        name, separator, value = word.removeprefix("-c").removeprefix("--").partition("=")
        if separator:
            pairs.append((name, value))
    return pairs
