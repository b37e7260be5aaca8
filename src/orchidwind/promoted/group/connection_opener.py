"""Opens server connections to the instances of one group.

Owns: the time limit of opening, and which instances had no room lately. Relies on the connector
for the protocol.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from orchidwind.promoted.core.instance_silence import INSTANCE_CONNECT_SECONDS
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind.promoted.ports import InstanceConnector, InstanceLink
from orchidwind.shared.core.errors import BackendConnectionLost
from orchidwind.shared.core.tenant_connections import NO_TENANT

# The instance's connection limit is met: SQLSTATE too_many_connections.
CONNECTION_LIMIT_MET = "53300"
# Another instance answers at the address, as the one that was meant has ended: SQLSTATE
# sqlclient_unable_to_establish_sqlconnection.
OTHER_INSTANCE = "08001"

# An instance that refused a connection is taken to have no room for so many seconds.
# Instances count the connections of lost proxies for up to 3 s, and each refusal begins it anew.
_NO_ROOM_SECONDS = 1.0


class ConnectionOpener:
    """After `close` it opens none."""

    def __init__(self, topology: GroupTopology, connector: InstanceConnector) -> None:
        self.closed = False
        self._topology = topology
        self._connector = connector
        self._no_room_until: dict[str, float] = {}
        self._loop = asyncio.get_running_loop()

    async def open(
        self, instance: str, on_lost: Callable[[], None], tenant: str = NO_TENANT
    ) -> InstanceLink:
        """Open a connection of a tenant; raises BackendRefused, BackendConnectionLost."""
        if self.closed:
            raise BackendConnectionLost("this proxy has stopped", sent=False)
        view = self._topology.instances.get(instance)
        if view is None:
            raise BackendConnectionLost("the instance is unknown", sent=False)
        if view.ended:
            raise BackendConnectionLost("the instance has started anew since", sent=False)
        try:
            async with asyncio.timeout(INSTANCE_CONNECT_SECONDS):
                return await self._connector.connect(view.entry, on_lost, tenant)
        except TimeoutError as error:
            raise BackendConnectionLost("no answer to a new connection", sent=False) from error

    def note_no_room(self, instance: str) -> None:
        """An instance takes no more connections."""
        self._no_room_until[instance] = self._loop.time() + _NO_ROOM_SECONDS

    def without_room(self) -> list[str]:
        """Instances that refused a connection lately."""
        now = self._loop.time()
        return [instance for instance, until in self._no_room_until.items() if now < until]

    def forget(self, instance: str) -> None:
        """An instance left long ago."""
        self._no_room_until.pop(instance, None)

    def close(self) -> None:
        """Open no more."""
        self.closed = True
