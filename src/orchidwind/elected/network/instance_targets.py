"""Where and as whom a home connects to the instances of a group.

Owns the choice of the user: statements and status queries may have users of their own.
"""

from __future__ import annotations

from orchidwind.elected.core.configuration import DatabaseSettings
from orchidwind.elected.network.connection_target import ConnectionTarget

# Some tens of times the 10 to 25 ms that a new connection takes with its login; requests
# that wait for it have deadlines of their own.
DATABASE_CONNECT_SECONDS = 2.0


class InstanceTargets:
    """The targets of one database, seen from one zone."""

    def __init__(self, database: DatabaseSettings, zone: str) -> None:
        self.database = database
        self._zone = zone
        self._addresses = {instance.name: instance for instance in database.instances}

    def for_statements(self, instance: str) -> ConnectionTarget:
        """The target of callers' statements."""
        return self._target(instance, self.database.server_user, self.database.server_password)

    def for_status(self, instance: str) -> ConnectionTarget:
        """The target of status queries; as for statements where no user of their own is set."""
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
