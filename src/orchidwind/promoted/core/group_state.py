"""A promoted group at one proxy: its topology, and the state of its server connections. No I/O.

The flows ask which settings and prepared statements a connection lacks, and report what they learn
about instances and leadership. Owns: the settings and prepared statements of each server
connection, and the group's topology. Relies on: a driver that reports each connection that opens
and closes.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from msgspec import Struct, field

from orchidwind.promoted.core.commands import InstanceMessage, MessageKind, PreparedStatement
from orchidwind.promoted.core.configuration import PromotedGroupSettings
from orchidwind.promoted.core.distances import Distances
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind.shared.core.positions import Position


class _ConnectionState(Struct):
    """The settings and prepared statements that a server connection has."""

    settings: dict[str, str] = field(default_factory=dict)
    prepared: set[str] = field(default_factory=set)


class GroupState:
    """The state that the flows of a group share.

    `now` reads the monotonic clock, in seconds. `on_change` is called when waiting requests, or the
    supervisor of the group, have something new to look at.
    """

    def __init__(
        self,
        settings: PromotedGroupSettings,
        zone: str,
        now: Callable[[], float],
        on_change: Callable[[], None],
        entry_outlives: float,
        distances: Distances | None = None,
    ) -> None:
        self.topology = GroupTopology(settings, zone, entry_outlives, distances)
        self.now = now
        self._on_change = on_change
        self._connection_states: dict[int, _ConnectionState] = {}

    # --- server connections -------------------------------------------------------------------

    def connection_opened(self, connection: int) -> None:
        """Note a new server connection, which has no settings or prepared statements yet."""
        self._connection_states[connection] = _ConnectionState()

    def connection_closed(self, connection: int) -> None:
        """Note that a server connection is closed."""
        self._connection_states.pop(connection, None)

    def settings_messages(
        self, connection: int, wanted: Mapping[str, str]
    ) -> list[InstanceMessage]:
        """Return the messages that give a connection exactly these settings.

        A connection that has ended counts as one without settings.
        """
        state = self._connection_states.get(connection) or _ConnectionState()
        messages = []
        held: Mapping[str, str] = state.settings
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
        """Return the messages that prepare a statement on a connection, none if it is prepared."""
        state = self._connection_states.get(connection)
        known = state is not None and prepared.shared_name in state.prepared
        if known and not after_reset:
            return []
        message = InstanceMessage(MessageKind.PREPARE, name=prepared.shared_name, prepared=prepared)
        return [message]

    def note_messages(self, connection: int, messages: tuple[InstanceMessage, ...]) -> None:
        """Note that these messages were answered on a connection."""
        state = self._connection_states.get(connection)
        if state is None:
            return
        for message in messages:
            if message.kind is MessageKind.RESET:
                state.settings.clear()
                state.prepared.clear()
            elif message.kind is MessageKind.SET:
                state.settings[message.name] = message.text
            elif message.kind is MessageKind.PREPARE:
                state.prepared.add(message.name)

    # --- what the flows learn -----------------------------------------------------------------

    def replica_behind(self, instance: str, floor: Position) -> None:
        """Note that the log of a replica did not reach the floor of a read."""
        self.topology.behind(instance, floor, self.now())

    def instance_busy(self, instance: str) -> None:
        """Note that an instance refused a request."""
        self.topology.busy(instance, self.now())

    def refused_write(self, instance: str) -> None:
        """Note that an instance that was believed to be primary refused a write."""
        self.topology.not_primary(instance, self.now())
        self._on_change()

    def commit_acknowledged(self, sent_at: float, position: Position | None) -> None:
        """Note that the primary acknowledged a commit.

        A replica still followed it, so its leadership is proven for the time `sent_at`.
        """
        self.topology.floors.prove(sent_at, position)

    def leadership_proven(self, led_at: float, position: Position | None) -> None:
        """Note a position from the primary's answer; it was proven to lead at the time `led_at`."""
        self.topology.floors.prove(led_at, position)
