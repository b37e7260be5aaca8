"""Start-up phase of a caller's connection: start-up packet, cancel request, password, greeting.

The order of the messages follows the PostgreSQL manual, "Message Flow, Start-up". The session host
supplies the users and their password verifiers.
"""

from __future__ import annotations

import secrets

from tornado.iostream import IOStream

from orchidwind.elected.postgres import wire
from orchidwind.elected.postgres.executor import Executor
from orchidwind.elected.postgres.message_reader import MessageReader
from orchidwind.elected.postgres.scram import MECHANISM, ScramExchange, ScramVerifier
from orchidwind.elected.postgres.session_host import SessionHost
from orchidwind.elected.postgres.startup import session_parameters
from orchidwind.elected.postgres.wire import codec
from orchidwind.shared.core.errors import ErrorKind, RequestError

# The body of a cancel request: process id and secret, four bytes each.
_CANCEL_BODY_BYTES = 8
_FIXED_PARAMETERS = {
    "server_version": "15.8",
    "server_encoding": "UTF8",
    "client_encoding": "UTF8",
    "DateStyle": "ISO, MDY",
    "IntervalStyle": "postgres",
    "TimeZone": "UTC",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
}


class Login:
    """Runs the start-up phase of one connection."""

    def __init__(self, stream: IOStream, reader: MessageReader, host: SessionHost) -> None:
        self._stream = stream
        self._reader = reader
        self._host = host

    async def run(self) -> Executor | None:
        """Authenticate the caller; returns its session's executor, or None after a cancel request.

        Raises RequestError, ProtocolViolation, StreamClosedError.
        """
        packet = await self._reader.startup_packet()
        while packet.code in (codec.SSL_REQUEST_CODE, codec.GSSENC_REQUEST_CODE):
            await self._stream.write(b"N")
            packet = await self._reader.startup_packet()
        if packet.code == codec.CANCEL_REQUEST_CODE:
            if len(packet.body) == _CANCEL_BODY_BYTES:
                self._host.cancel(*codec.parse_cancel_request(packet.body))
            return None
        if packet.code >> 16 != wire.PROTOCOL_VERSION_3 >> 16:
            raise wire.ProtocolViolation(f"protocol version {packet.code >> 16} is not supported")
        parameters = session_parameters(packet.parameters())
        await self._authenticate(parameters.user)
        return await self._host.open(parameters)

    async def greet(self, process_id: int, secret: int) -> None:
        """Send AuthenticationOk, parameters, cancellation key and the first ReadyForQuery."""
        self._reader.raise_message_limit()
        greeting = bytearray(codec.make_authentication_ok())
        for name, value in _FIXED_PARAMETERS.items():
            greeting += codec.make_parameter_status(name, value)
        greeting += codec.make_backend_key_data(process_id, secret)
        greeting += codec.make_ready_for_query(wire.TRANSACTION_IDLE)
        await self._stream.write(bytes(greeting))

    async def _authenticate(self, user: str) -> None:
        verifier = self._host.verifier(user)
        if verifier is None and self._host.knows_user(user):
            return
        exchange = ScramExchange(verifier or ScramVerifier(secrets.token_hex()))
        await self._stream.write(codec.make_authentication_sasl([MECHANISM]))
        body = await self._password_message()
        try:
            mechanism, client_first = codec.parse_sasl_initial_response(body)
            text = client_first.decode()
        except (ValueError, IndexError) as error:
            raise wire.ProtocolViolation("malformed SASL response") from error
        answer = exchange.first(text) if mechanism == MECHANISM else None
        if answer is None:
            raise _wrong_password(user)
        await self._stream.write(codec.make_authentication_sasl_continue(answer.encode()))
        proof = (await self._password_message()).decode(errors="replace")
        answer = exchange.final(proof)
        if answer is None:
            raise _wrong_password(user)
        self._stream.write(codec.make_authentication_sasl_final(answer.encode()))

    async def _password_message(self) -> bytes:
        tag, body = await self._reader.message()
        if tag != codec.PASSWORD:
            raise wire.ProtocolViolation("expected a password message")
        return body


def _wrong_password(user: str) -> RequestError:
    message = f'password authentication failed for user "{user}"'
    return RequestError(ErrorKind.AUTHENTICATION_FAILED, message)
