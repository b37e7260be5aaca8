"""What the operators' commands do.

For: `commands.main`. Owns the rule of `apply`: one of two racing operators wins, and a write whose
answer is lost is read back. Relies on the object API's client and on a proxy's operator port.
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

# Readings of the object before `apply` fails, and the first pause between two, which grows by
# itself each time, seconds. 3 s in all, as an operator waits for the outcome.
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
    """Compare and swap the configuration; the version that is now in force.

    The write names the version that was read first, so of two racing operators one wins. Each
    write carries an identifier: where its answer is lost, the object is read back, and the
    identifier tells whether the write took effect. Raises PlatformConflict or PlatformError.
    """
    client = ObjectApiClient(platform_url)
    held = await _read(client)
    attempt = uuid.uuid4().hex
    item = ConfigurationObject(
        Metadata(resource_version=held.metadata.resource_version if held else ""),
        content,
        attempt,
    )
    try:
        written = await client.write(item)
    except PlatformError:
        # A conflict, too: it may be with this very write, whose first answer was lost.
        return _settle(await _read(client), attempt)
    return int(written.metadata.resource_version)


def _settle(held: ConfigurationObject | None, attempt: str) -> int:
    """Whether a write whose answer was lost or refused took effect after all."""
    if held is not None and held.attempt == attempt:
        return int(held.metadata.resource_version)
    version = held.metadata.resource_version if held else "none"
    raise PlatformConflict(
        f"not applied: version {version} of another operator is in force, or the platform refused;"
        " look at it, then apply again"
    )


async def _read(client: ObjectApiClient) -> ConfigurationObject | None:
    for attempt in range(_READ_ATTEMPTS):
        try:
            return await client.read()
        except PlatformError:
            if attempt == _READ_ATTEMPTS - 1:
                raise
            await asyncio.sleep(_READ_PAUSE_SECONDS * (attempt + 1))
    return None


async def fetch(url: str, method: str = "GET") -> bytes:
    """Ask a proxy's operator port; raises PlatformError where it does not answer."""
    body = "" if method == "POST" else None
    try:
        response = await AsyncHTTPClient().fetch(url, method=method, body=body)
    except (HTTPClientError, OSError) as error:
        raise PlatformError(f"{url}: {error}") from error
    return response.body
