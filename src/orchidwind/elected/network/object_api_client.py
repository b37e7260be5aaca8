"""Client of the object API: read, compare-and-swap and watch the configuration; list machines.

Owns the form of its objects on the wire, and the errors of its answers.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from orchidwind.elected.core.configuration import ConfigurationDocument, OperatorFile
from orchidwind.shared.core.errors import PlatformConflict, PlatformError, PlatformVersionGone

OBJECT_NAME = "configuration"
# A read or a write of the whole configuration; 1 MB takes 1.6 s at 5 Mbit/s.
_REQUEST_SECONDS = 3.0
# Above any configuration; bounds memory against a faulty store.
_MAXIMUM_BODY_BYTES = 64 * 1024 * 1024
# Status codes of HTTP.
_CONFLICT = 409
_NOT_FOUND = 404
_GONE = 410

Decoded = TypeVar("Decoded")


class Metadata(msgspec.Struct, rename="camel"):
    """Name and version of an object."""

    name: str = OBJECT_NAME
    resource_version: str = ""


class ConfigurationObject(msgspec.Struct):
    """The object that holds the whole configuration.

    `attempt` identifies the write that made it, so that a lost answer is settled by reading back.
    """

    metadata: Metadata
    spec: OperatorFile
    attempt: str = ""

    def document(self) -> ConfigurationDocument:
        """The configuration with its version as a number."""
        return ConfigurationDocument(int(self.metadata.resource_version), self.spec)


class WatchEvent(msgspec.Struct):
    """One line of a watch."""

    type: str
    object: ConfigurationObject


class MachineEntry(msgspec.Struct, rename="camel"):
    """One machine of the platform's list."""

    name: str
    zone: str
    host: str
    gossip_port: int
    state: str = "live"


class ObjectApiClient:
    """Talks to one platform service at a base URL."""

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._client = AsyncHTTPClient(max_body_size=_MAXIMUM_BODY_BYTES)

    async def read(self) -> ConfigurationObject | None:
        """The configuration, None where there is none; raises PlatformError."""
        body = await self._fetch(HTTPRequest(self._object_url(), request_timeout=_REQUEST_SECONDS))
        return None if body is None else _decode(body, ConfigurationObject)

    async def write(self, item: ConfigurationObject) -> ConfigurationObject:
        """Compare and swap; raises PlatformConflict, or PlatformError where nothing is known."""
        request = HTTPRequest(
            self._object_url(),
            method="PUT",
            body=msgspec.json.encode(item),
            request_timeout=_REQUEST_SECONDS,
        )
        body = await self._fetch(request)
        if body is None:
            raise PlatformError("the platform does not know the object API")
        return _decode(body, ConfigurationObject)

    async def machines(self) -> list[MachineEntry]:
        """The lagging list of machines; raises PlatformError."""
        url = f"{self._url}/apis/orchidwind/v1/machines"
        body = await self._fetch(HTTPRequest(url, request_timeout=_REQUEST_SECONDS))
        return [] if body is None else _decode(body, list[MachineEntry])

    async def watch(self, version: int, on_event: Callable[[ConfigurationObject], None]) -> None:
        """Follow changes after `version` until the connection ends.

        Raises PlatformVersionGone where the platform no longer holds that version.
        """
        buffer = bytearray()

        def take(chunk: bytes) -> None:
            buffer.extend(chunk)
            while (end := buffer.find(b"\n")) >= 0:
                line = bytes(buffer[:end])
                del buffer[: end + 1]
                on_event(_decode(line, WatchEvent).object)

        url = f"{self._object_url()}?watch=true&resourceVersion={version}"
        request = HTTPRequest(url, streaming_callback=take, request_timeout=0)
        await self._fetch(request)

    def _object_url(self) -> str:
        return f"{self._url}/apis/orchidwind/v1/objects/{OBJECT_NAME}"

    async def _fetch(self, request: HTTPRequest) -> bytes | None:
        try:
            response = await self._client.fetch(request)
        except HTTPClientError as error:
            if error.code == _NOT_FOUND:
                return None
            if error.code == _CONFLICT:
                raise PlatformConflict("another version is in force") from error
            if error.code == _GONE:
                raise PlatformVersionGone("the version is too old to watch from") from error
            raise PlatformError(f"the platform answered {error.code}") from error
        except (TimeoutError, OSError) as error:
            raise PlatformError(str(error) or "no answer from the platform") from error
        return response.body


def _decode(body: bytes, kind: type[Decoded]) -> Decoded:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, ValueError) as error:
        raise PlatformError(f"the platform's answer is not understood: {error}") from error
