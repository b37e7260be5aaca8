"""The addresses and credentials with which a home connects to the instances of a group.

Owns the choice of the user: statements and status queries may use different users.
"""

from __future__ import annotations

from orchidwind.elected.core.configuration import DatabaseSettings
from orchidwind.elected.network.connection_target import ConnectionTarget

# Far above the 10 to 25 ms that a new connection takes including its login; requests that wait for
# the connection have their own deadlines.
DATABASE_CONNECT_SECONDS = 2.0


class InstanceTargets:
    """Builds the connection targets of one database for a home in one zone."""

    def __init__(self, database: DatabaseSettings, zone: str) -> None:
        self.database = database
        self._zone = zone
        self._addresses = {instance.name: instance for instance in database.instances}

    def for_statements(self, instance: str) -> ConnectionTarget:
        """Return the target for callers' statements."""
        return self._target(instance, self.database.server_user, self.database.server_password)

    def for_status(self, instance: str) -> ConnectionTarget:
        """Return the target for status queries; uses the server user if no status user is set."""
        user = self.database.status_user or self.database.server_user
        password = self.database.status_password or self.database.server_password
        return self._target(instance, user, password)

    def _target(self, instance: str, user: str, password: str) -> ConnectionTarget:
        address = self._addresses[instance]
        return ConnectionTarget(
            host=address.host,
            port=address.port,
            database=self.database.name,
            user=user,
            password=password,
            application_name=f"orchidwind/{self._zone}",
        )
