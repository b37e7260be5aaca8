"""SCRAM-SHA-256 towards callers (RFC 5802, RFC 7677), on the `scramp` library."""

from __future__ import annotations

import os

from scramp import ScramException, ScramMechanism

MECHANISM = "SCRAM-SHA-256"
_PLACEHOLDER_USER = "orchidwind"
# PostgreSQL's defaults (SCRAM_SHA_256_DEFAULT_ITERATIONS, SCRAM_DEFAULT_SALT_LEN).
_ITERATIONS = 4096
_SALT_BYTES = 16
_FIELDS_BEFORE_BARE = 2


class ScramVerifier:
    """What a server keeps of a password: never the password itself.

    Made once a user, since the key derivation costs milliseconds.
    """

    def __init__(self, password: str) -> None:
        mechanism = ScramMechanism(MECHANISM)
        salt, stored_key, server_key, iterations = mechanism.make_auth_info(
            password, iteration_count=_ITERATIONS, salt=os.urandom(_SALT_BYTES)
        )
        self.parts = (salt, stored_key, server_key, iterations)


class ScramExchange:
    """One exchange with one caller."""

    def __init__(self, verifier: ScramVerifier) -> None:
        self._server = ScramMechanism(MECHANISM).make_server(lambda _user: verifier.parts)

    def first(self, client_first: str) -> str | None:
        """Answer the client's first message; None where it is malformed.

        PostgreSQL's clients leave the user name empty, because the start-up message named it. The
        library asks for one, so a placeholder passes its parser; the text that both sides sign is
        then put back as the client wrote it.
        """
        try:
            fields = client_first.split(",")
            if len(fields) > _FIELDS_BEFORE_BARE and fields[2] == "n=":
                patched = [*fields[:2], f"n={_PLACEHOLDER_USER}", *fields[3:]]
                self._server.set_client_first(",".join(patched))
                self._server.client_first_bare = ",".join(fields[2:])
            else:
                self._server.set_client_first(client_first)
            return str(self._server.get_server_first())
        except (ScramException, ValueError):
            return None  # answered, and counted, as a wrong password

    def final(self, client_final: str) -> str | None:
        """The server's proof, or None where the client's proof is wrong."""
        try:
            self._server.set_client_final(client_final)
            return str(self._server.get_server_final())
        except (ScramException, ValueError):
            return None  # answered, and counted, as a wrong password
