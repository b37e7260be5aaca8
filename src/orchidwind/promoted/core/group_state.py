"""A promoted group at one proxy: the topology, and what its server connections carry. No I/O.

What for: the flows ask which settings and prepared statements a connection lacks, and report what
they learn of instances and of the lead. Owns: the settings and prepared names of each server
connection, and the group's topology. Relies on: a driver that reports each connection that opens
and closes.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from msgspec import Struct, field

from orchidwind.promoted.core.commands import InstanceMessage, MessageKind, PreparedStatement
from orchidwind.promoted.core.configuration import PromotedGroupSettings
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind.shared.core.positions import Position


class _Carried(Struct):
    """The settings and prepared statements that a server connection has."""

    settings: dict[str, str] = field(default_factory=dict)
    prepared: set[str] = field(default_factory=set)


class GroupState:
    """What the flows of a group share.

    `now` reads the steady clock, in seconds; `on_change` is called when requests that wait, or the
    supervisor of the group, have something new to look at.
    """

    def __init__(
        self,
        settings: PromotedGroupSettings,
        zone: str,
        now: Callable[[], float],
        on_change: Callable[[], None],
        entry_outlives: float,
    ) -> None:
        self.topology = GroupTopology(settings, zone, entry_outlives)
        self.now = now
        self._on_change = on_change
        self._carried: dict[int, _Carried] = {}

    # --- server connections -------------------------------------------------------------------

    def connection_opened(self, connection: int) -> None:
        """A server connection is new: it carries nothing."""
        self._carried[connection] = _Carried()

    def connection_closed(self, connection: int) -> None:
        """A server connection is gone."""
        self._carried.pop(connection, None)

    def settings_messages(
        self, connection: int, wanted: Mapping[str, str]
    ) -> list[InstanceMessage]:
        """What brings a connection to exactly these settings; an ended one carries nothing."""
        carried = self._carried.get(connection) or _Carried()
        messages = []
        held: Mapping[str, str] = carried.settings
        if not held.keys() <= wanted.keys():
            messages.append(InstanceMessage(MessageKind.RESET))
            held = {}
        for name, value in wanted.items():
            if held.get(name) != value:
                messages.append(InstanceMessage(MessageKind.SET, name=name, text=value))
        return messages

    def prepare_messages(
        self, connection: int, prepared: PreparedStatement, after_reset: bool
    ) -> list[InstanceMessage]:
        """What makes a prepared statement known on a connection."""
        carried = self._carried.get(connection)
        known = carried is not None and prepared.shared_name in carried.prepared
        if known and not after_reset:
            return []
        message = InstanceMessage(MessageKind.PREPARE, name=prepared.shared_name, prepared=prepared)
        return [message]

    def note_messages(self, connection: int, messages: tuple[InstanceMessage, ...]) -> None:
        """These messages were answered on a connection."""
        carried = self._carried.get(connection)
        if carried is None:
            return
        for message in messages:
            if message.kind is MessageKind.RESET:
                carried.settings.clear()
                carried.prepared.clear()
            elif message.kind is MessageKind.SET:
                carried.settings[message.name] = message.text
            elif message.kind is MessageKind.PREPARE:
                carried.prepared.add(message.name)

    # --- what the flows learn -----------------------------------------------------------------

    def replica_behind(self, instance: str, floor: Position) -> None:
        """A replica lacked the floor of a read."""
        self.topology.behind(instance, floor, self.now())

    def instance_busy(self, instance: str) -> None:
        """An instance refused work."""
        self.topology.busy(instance, self.now())

    def refused_write(self, instance: str) -> None:
        """An instance that was thought to lead refused a write."""
        self.topology.not_primary(instance, self.now())
        self._on_change()

    def commit_acknowledged(self, sent_at: float, position: Position | None) -> None:
        """The primary acknowledged a commit: a replica still followed it, so the lead is proven."""
        self.topology.floors.prove(sent_at, position)

    def lead_proven(self, led_at: float, position: Position | None) -> None:
        """The primary's answer had a position, and no later term had begun at a time before it."""
        self.topology.floors.prove(led_at, position)
