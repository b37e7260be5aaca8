"""Avro encoding of the messages between proxies for promoted groups (union `peer`).

For: `peer_streams`. Owns the mapping between the messages of `core.peer_messages` and the records
of `messages.avsc`. No I/O except reading the schema file. Processes of two versions can read each
other's messages.
"""

from __future__ import annotations

from typing import Any

import msgspec

from orchidwind.promoted.core import peer_messages
from orchidwind.promoted.core.peer_messages import PeerMessage
from orchidwind.shared.avro_records import (
    DECODE_EXCEPTIONS,
    DecodeError,
    FrameCutter,
    encode_frame_record,
    load_schema,
    read_record,
)

__all__ = ["MAXIMUM_PEER_FRAME_BYTES", "DecodeError", "FrameCutter", "decode_peer", "encode_peer"]

# The maximum length of a message from another proxy, bytes: four times the longest message of a
# caller, and many times the longest configuration sent between proxies (217 KB for 4,254 databases,
# docs/SILENCE.md).
MAXIMUM_PEER_FRAME_BYTES = 4 * 1024 * 1024
_TYPES: dict[str, type[PeerMessage]] = {
    kind.__name__: kind
    for kind in (
        peer_messages.Greeting,
        peer_messages.RunCommand,
        peer_messages.CommandAnswer,
        peer_messages.CloseChannel,
        peer_messages.Probe,
        peer_messages.Alive,
        peer_messages.LockQuery,
        peer_messages.LockReport,
        peer_messages.ViewQuery,
        peer_messages.ViewReport,
        peer_messages.TokenQuery,
        peer_messages.TokenGrant,
        peer_messages.RoomQuery,
        peer_messages.RoomGrant,
    )
}
# The records of messages that concern a tenant. All other records keep the encoding that proxies of
# a version without tenants can read.
_RUN_TENANT_COMMAND = "RunTenantCommand"
_TENANT_VIEW_REPORT = "TenantViewReport"
_QUOTA_SHARES_REPORT = "QuotaSharesReport"
_TYPES[_RUN_TENANT_COMMAND] = peer_messages.RunCommand
_TYPES[_TENANT_VIEW_REPORT] = peer_messages.ViewReport
_TYPES[_QUOTA_SHARES_REPORT] = peer_messages.ViewReport
_SCHEMA = load_schema("peer")


def encode_peer(message: PeerMessage) -> bytes:
    """Return the frame that holds a message."""
    fields: Any = msgspec.to_builtins(message, builtin_types=(bytes,))
    return encode_frame_record(_SCHEMA, _record_of(message), fields)


def _record_of(message: PeerMessage) -> str:
    if isinstance(message, peer_messages.RunCommand) and message.tenant:
        return _RUN_TENANT_COMMAND
    if isinstance(message, peer_messages.ViewReport):
        if message.quota_shares is not None:
            return _QUOTA_SHARES_REPORT
        if message.configuration is not None and message.configuration.tenants is not None:
            return _TENANT_VIEW_REPORT
    return type(message).__name__


def decode_peer(body: bytes) -> PeerMessage:
    """Return the message in a frame's body; raises DecodeError."""
    try:
        name, fields = read_record(body, _SCHEMA)
        return msgspec.convert(fields, _TYPES[name], builtin_types=(bytes,))
    except (msgspec.ValidationError, *DECODE_EXCEPTIONS) as error:
        raise DecodeError(str(error)) from error
