"""Client of the object API: read, compare-and-swap and watch the configuration; list machines.

Owns the wire format of the objects and the conversion of failed calls to errors.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from orchidwind.elected.core.configuration import ConfigurationDocument, OperatorFile
from orchidwind.shared.core.errors import PlatformConflict, PlatformError, PlatformVersionGone

OBJECT_NAME = "configuration"
# The time limit for reading or writing the whole configuration; 1 MB takes 1.6 s at 5 Mbit/s.
_REQUEST_SECONDS = 3.0
# Exceeds any configuration; bounds memory use if the platform is faulty.
_MAXIMUM_BODY_BYTES = 64 * 1024 * 1024
# HTTP status codes.
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

    `attempt` identifies the write that created this version, so that a writer whose answer was lost
    can find out by a read whether its write succeeded.
    """

    metadata: Metadata
    spec: OperatorFile
    attempt: str = ""

    def document(self) -> ConfigurationDocument:
        """Return the configuration with its version as a number."""
        return ConfigurationDocument(int(self.metadata.resource_version), self.spec)


class WatchEvent(msgspec.Struct):
    """One line of the response to a watch request."""

    type: str
    object: ConfigurationObject


class MachineEntry(msgspec.Struct, rename="camel"):
    """One machine in the platform's list."""

    name: str
    zone: str
    host: str
    gossip_port: int
    state: str = "live"


class ObjectApiClient:
    """Calls the platform service at a base URL."""

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._client = AsyncHTTPClient(max_body_size=_MAXIMUM_BODY_BYTES)

    async def read(self) -> ConfigurationObject | None:
        """Return the configuration, or None if there is none; raises PlatformError."""
        body = await self._fetch(HTTPRequest(self._object_url(), request_timeout=_REQUEST_SECONDS))
        return None if body is None else _decode(body, ConfigurationObject)

    async def write(self, item: ConfigurationObject) -> ConfigurationObject:
        """Replace the configuration if its version is unchanged, and return the stored object.

        Raises PlatformConflict if the version differs, PlatformError if the result is unknown.
        """
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
        """Return the list of machines, which may be out of date; raises PlatformError."""
        url = f"{self._url}/apis/orchidwind/v1/machines"
        body = await self._fetch(HTTPRequest(url, request_timeout=_REQUEST_SECONDS))
        return [] if body is None else _decode(body, list[MachineEntry])

    async def watch(self, version: int, on_event: Callable[[ConfigurationObject], None]) -> None:
        """Call `on_event` for each change after `version` until the connection closes.

        Raises PlatformVersionGone if the platform no longer holds that version, PlatformError if
        the call fails.
        """
        buffer = bytearray()

        def on_chunk(chunk: bytes) -> None:
            buffer.extend(chunk)
            while (end := buffer.find(b"\n")) >= 0:
                line = bytes(buffer[:end])
                del buffer[: end + 1]
                on_event(_decode(line, WatchEvent).object)

        url = f"{self._object_url()}?watch=true&resourceVersion={version}"
        request = HTTPRequest(url, streaming_callback=on_chunk, request_timeout=0)
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
