"""Opens server connections to the instances of one group.

Applies the time limit for opening, and remembers which instances were full recently. The connector
implements the protocol.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from orchidwind.promoted.core.instance_silence import INSTANCE_CONNECT_SECONDS
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind.promoted.ports import InstanceConnector, InstanceLink
from orchidwind.shared.core.errors import BackendConnectionLost
from orchidwind.shared.core.tenant_connections import NO_TENANT

# The instance's connection limit is reached: SQLSTATE too_many_connections.
TOO_MANY_CONNECTIONS = "53300"
# Another instance answers at the address, as the expected one has ended: SQLSTATE
# sqlclient_unable_to_establish_sqlconnection.
UNEXPECTED_INSTANCE = "08001"

# Seconds for which an instance counts as full after it refused a connection. Instances count the
# connections of lost proxies for up to 3 s, and each refusal restarts the time.
_FULL_SECONDS = 1.0


class ConnectionOpener:
    """Opens connections until it is closed."""

    def __init__(self, topology: GroupTopology, connector: InstanceConnector) -> None:
        self.closed = False
        self._topology = topology
        self._connector = connector
        self._full_until: dict[str, float] = {}
        self._loop = asyncio.get_running_loop()

    async def open(
        self, instance: str, on_lost: Callable[[], None], tenant: str = NO_TENANT
    ) -> InstanceLink:
        """Open a connection for a tenant. Raises BackendRefused, BackendConnectionLost.

        `on_lost` is passed to the connector, which calls it when the connection breaks.
        """
        if self.closed:
            raise BackendConnectionLost("this proxy has stopped", sent=False)
        view = self._topology.instances.get(instance)
        if view is None:
            raise BackendConnectionLost("the instance is unknown", sent=False)
        if view.ended:
            raise BackendConnectionLost(
                "the instance has restarted as a new incarnation", sent=False
            )
        try:
            async with asyncio.timeout(INSTANCE_CONNECT_SECONDS):
                return await self._connector.connect(view.entry, on_lost, tenant)
        except TimeoutError as error:
            raise BackendConnectionLost("opening a connection timed out", sent=False) from error

    def note_full(self, instance: str) -> None:
        """Record that an instance refused a connection because it is full."""
        self._full_until[instance] = self._loop.time() + _FULL_SECONDS

    def full_instances(self) -> list[str]:
        """Instances that recently refused a connection because they were full."""
        now = self._loop.time()
        return [instance for instance, until in self._full_until.items() if now < until]

    def forget(self, instance: str) -> None:
        """Drop the state of an instance that left long ago."""
        self._full_until.pop(instance, None)

    def close(self) -> None:
        """Refuse to open further connections."""
        self.closed = True
