"""Implementation of the operators' commands.

Used by `commands.main`. `apply` guarantees that of two concurrent operators exactly one wins, and
reads the object back if the answer to its write is lost. Uses the client of the object API and the
operator port of a proxy.
"""

from __future__ import annotations

import asyncio
import uuid
from pathlib import Path

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from orchidwind.elected.core.configuration import OperatorFile, parse_operator_file
from orchidwind.elected.network.object_api_client import (
    ConfigurationObject,
    Metadata,
    ObjectApiClient,
)
from orchidwind.shared.core.errors import PlatformConflict, PlatformError, SettingsError

# Attempts to read the object before `apply` fails, and the first pause between attempts, in
# seconds. Each pause is longer than the last by the first. They add up to 3 s, as an operator waits
# for the result.
_READ_ATTEMPTS = 5
_READ_PAUSE_SECONDS = 0.3


def load(file: Path) -> OperatorFile:
    """Read and check an operators' file; raises SettingsError."""
    try:
        text = file.read_bytes()
    except OSError as error:
        raise SettingsError(str(file), "$", error.strerror or str(error)) from error
    return parse_operator_file(text, str(file))


async def apply(content: OperatorFile, platform_url: str) -> int:
    """Replace the configuration by compare-and-swap; return the version now in force.

    The write names the version that was read before, so of two concurrent operators only one wins.
    Each write carries a unique identifier: if its answer is lost, the object is read back, and the
    identifier shows whether the write took effect. Raises PlatformConflict or PlatformError.
    """
    client = ObjectApiClient(platform_url)
    stored = await _read(client)
    attempt = uuid.uuid4().hex
    item = ConfigurationObject(
        Metadata(resource_version=stored.metadata.resource_version if stored else ""),
        content,
        attempt,
    )
    try:
        written = await client.write(item)
    except PlatformError:
        # Also after a conflict: it may be with this very write, if the answer to a first attempt
        # was lost.
        return _confirm_write(await _read(client), attempt)
    return int(written.metadata.resource_version)


def _confirm_write(stored: ConfigurationObject | None, attempt: str) -> int:
    """Return the version of a write whose answer was lost or refused, if it took effect.

    Raises PlatformConflict if it did not.
    """
    if stored is not None and stored.attempt == attempt:
        return int(stored.metadata.resource_version)
    version = stored.metadata.resource_version if stored else "none"
    raise PlatformConflict(
        f"not applied: version {version} of another operator is in force, or the platform refused"
        " the write; check the configuration in force, then apply again"
    )


async def _read(client: ObjectApiClient) -> ConfigurationObject | None:
    """Read the object, with retries; raises PlatformError if the last attempt fails."""
    for attempt in range(_READ_ATTEMPTS):
        try:
            return await client.read()
        except PlatformError:
            if attempt == _READ_ATTEMPTS - 1:
                raise
            await asyncio.sleep(_READ_PAUSE_SECONDS * (attempt + 1))
    return None


async def fetch(url: str, method: str = "GET") -> bytes:
    """Send a request to the operator port of a proxy; raises PlatformError if it fails."""
    body = "" if method == "POST" else None
    try:
        response = await AsyncHTTPClient().fetch(url, method=method, body=body)
    except (HTTPClientError, OSError) as error:
        raise PlatformError(f"{url}: {error}") from error
    return response.body
