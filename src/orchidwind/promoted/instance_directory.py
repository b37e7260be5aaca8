"""The directory of instances as this proxy holds it.

For: `proxy_runtime`; it is the follower of the directory's watch. Owns the entries and the newest
life of each instance, and passes each change on to the group that it belongs to. An entry stands
under the instance's identity, and what is kept here under the name of a life
(`instance_incarnations`).
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from orchidwind.promoted.core.configuration import DirectoryEntry
from orchidwind.promoted.core.instance_incarnations import identity_of, start_of
from orchidwind.promoted.group.group_service import GroupService
from orchidwind.promoted.ports import Changes, Listing


class InstanceDirectory:
    """All entries, by instance. `read` tells whether the directory was read as a whole."""

    def __init__(self, groups: Mapping[str, GroupService], on_read: Callable[[], None]) -> None:
        """`on_read` is called after each whole reading."""
        self.entries: dict[str, DirectoryEntry] = {}
        self.read = False
        # The newest life of each instance that was ever listed, by its identity.
        self._newest: dict[str, str] = {}
        self._groups = groups
        self._on_read = on_read

    def add_group(self, group: GroupService) -> None:
        """A group is new here: it gets the entries that are known already."""
        for entry in self.entries.values():
            if entry.group == group.settings.name:
                group.view_changes.entry_changed(entry)

    def listed(self, listing: Listing[DirectoryEntry]) -> bool:
        """The whole directory was read; whether it differs from the one that was held."""
        listed = {entry.instance: entry for entry in listing.items if self._is_newest(entry)}
        differs = listed != self.entries or not self.read
        identities = {identity_of(name) for name in listed}
        for name in [name for name in self.entries if identity_of(name) not in identities]:
            self._entry_gone(name, removal_unseen=True)
        for entry in listed.values():
            self._entry_listed(entry)
        self.read = True
        self._on_read()
        return differs

    def changed(self, changes: Changes[DirectoryEntry]) -> None:
        """Entries that came, changed or went."""
        for entry in changes.changed:
            if self._is_newest(entry):
                self._entry_listed(entry)
        for identity in changes.gone:
            name = self._newest.get(identity, identity)
            self._entry_gone(name, removal_unseen=False)

    def _is_newest(self, entry: DirectoryEntry) -> bool:
        """Whether an entry is of the newest life that is known: a late one revives no older."""
        newest = self._newest.get(identity_of(entry.instance))
        return newest is None or start_of(entry.instance) >= start_of(newest)

    def _entry_listed(self, entry: DirectoryEntry) -> None:
        identity = identity_of(entry.instance)
        before = self._newest.get(identity, entry.instance)
        self._newest[identity] = entry.instance
        if before != entry.instance:
            self._life_ended(before, entry)
        self.entries[entry.instance] = entry
        group = self._groups.get(entry.group)
        if group is not None:
            group.view_changes.entry_changed(entry)

    def _life_ended(self, before: str, entry: DirectoryEntry) -> None:
        """The instance has started anew; it may have been listed no more, or for another group."""
        self.entries.pop(before, None)
        for group in self._groups.values():
            if before in group.topology.instances:
                group.incarnation_ended(before, entry.instance)

    def _entry_gone(self, instance: str, removal_unseen: bool) -> None:
        """An instance is no longer listed; `removal_unseen`: it may come back."""
        entry = self.entries.pop(instance, None)
        group = self._groups.get(entry.group) if entry is not None else None
        if group is not None:
            group.view_changes.entry_gone(instance, removal_unseen)
