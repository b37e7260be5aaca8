"""Server side of SCRAM-SHA-256 (RFC 5802, RFC 7677), using the `scramp` library."""

from __future__ import annotations

import os

from scramp import ScramException, ScramMechanism

MECHANISM = "SCRAM-SHA-256"
_PLACEHOLDER_USER = "orchidwind"
# PostgreSQL's defaults (SCRAM_SHA_256_DEFAULT_ITERATIONS, SCRAM_DEFAULT_SALT_LEN).
_ITERATIONS = 4096
_SALT_BYTES = 16
_GS2_HEADER_FIELDS = 2


class ScramVerifier:
    """The salted keys derived from a password; the password itself is not kept.

    Created once per user, because the key derivation takes milliseconds.
    """

    def __init__(self, password: str) -> None:
        mechanism = ScramMechanism(MECHANISM)
        salt, stored_key, server_key, iterations = mechanism.make_auth_info(
            password, iteration_count=_ITERATIONS, salt=os.urandom(_SALT_BYTES)
        )
        self.parts = (salt, stored_key, server_key, iterations)


class ScramExchange:
    """One authentication exchange with one caller."""

    def __init__(self, verifier: ScramVerifier) -> None:
        self._server = ScramMechanism(MECHANISM).make_server(lambda _user: verifier.parts)

    def first(self, client_first: str) -> str | None:
        """Return the response to the client's first message, or None if that is malformed.

        PostgreSQL's clients leave the user name empty, because the start-up message named it. The
        library requires one, so a placeholder is parsed in its place; the text that both sides sign
        is then restored to what the client sent.
        """
        try:
            fields = client_first.split(",")
            if len(fields) > _GS2_HEADER_FIELDS and fields[2] == "n=":
                patched = [*fields[:2], f"n={_PLACEHOLDER_USER}", *fields[3:]]
                self._server.set_client_first(",".join(patched))
                self._server.client_first_bare = ",".join(fields[2:])
            else:
                self._server.set_client_first(client_first)
            return str(self._server.get_server_first())
        except (ScramException, ValueError):
            return None  # reported and counted as a wrong password

    def final(self, client_final: str) -> str | None:
        """Return the server's signature, or None if the client's proof is wrong."""
        try:
            self._server.set_client_final(client_final)
            return str(self._server.get_server_final())
        except (ScramException, ValueError):
            return None  # reported and counted as a wrong password
