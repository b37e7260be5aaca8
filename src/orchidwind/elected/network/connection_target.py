"""The address and credentials for a connection to an instance, as a libpq connection string."""

from __future__ import annotations

from dataclasses import dataclass

from orchidwind.shared.sockets import (
    KEEPALIVE_IDLE_SECONDS,
    KEEPALIVE_INTERVAL_SECONDS,
    KEEPALIVE_PROBES,
    USER_TIMEOUT_MILLISECONDS,
)


@dataclass(frozen=True, slots=True)
class ConnectionTarget:
    """The address, database and credentials for a connection."""

    host: str
    port: int
    database: str
    user: str
    password: str
    application_name: str

    def conninfo(self) -> bytes:
        """Return the connection string for libpq."""
        fields = {
            "hostaddr": self.host,
            "port": str(self.port),
            "dbname": self.database,
            "user": self.user,
            "password": self.password,
            "application_name": self.application_name,
            "sslmode": "disable",
            "gssencmode": "disable",
            "client_encoding": "UTF8",
            "keepalives": "1",
            "keepalives_idle": str(KEEPALIVE_IDLE_SECONDS),
            "keepalives_interval": str(KEEPALIVE_INTERVAL_SECONDS),
            "keepalives_count": str(KEEPALIVE_PROBES),
            "tcp_user_timeout": str(USER_TIMEOUT_MILLISECONDS),
        }
        return " ".join(f"{name}='{_escape(value)}'" for name, value in fields.items()).encode()


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace("'", "\\'")
