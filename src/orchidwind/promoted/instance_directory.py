"""This proxy's copy of the directory of instances.

For: `proxy_runtime`, which has it follow the watch of the directory. Owns the entries and the
newest incarnation of each instance, and passes each change on to the instance's group. In the store
an entry is kept under the identity of the instance, here under the name of its incarnation
(`instance_incarnations`).
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from orchidwind.promoted.core.configuration import DirectoryEntry
from orchidwind.promoted.core.instance_incarnations import identity_of, start_of
from orchidwind.promoted.group.group_service import GroupService
from orchidwind.promoted.ports import Changes, Listing


class InstanceDirectory:
    """All entries by instance. `read` is whether the whole directory was read since the start."""

    def __init__(self, groups: Mapping[str, GroupService], on_read: Callable[[], None]) -> None:
        """`on_read` is called after each read of the whole directory."""
        self.entries: dict[str, DirectoryEntry] = {}
        self.read = False
        # The newest incarnation of each instance that was ever listed, by identity.
        self._newest: dict[str, str] = {}
        self._groups = groups
        self._on_read = on_read

    def add_group(self, group: GroupService) -> None:
        """Pass the known entries of a new group on to it."""
        for entry in self.entries.values():
            if entry.group == group.settings.name:
                group.view_changes.entry_changed(entry)

    def listed(self, listing: Listing[DirectoryEntry]) -> bool:
        """Apply a read of the whole directory. Returns whether it differs from the held copy."""
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
        """Apply entries that were added, changed or removed."""
        for entry in changes.changed:
            if self._is_newest(entry):
                self._entry_listed(entry)
        for identity in changes.gone:
            name = self._newest.get(identity, identity)
            self._entry_gone(name, removal_unseen=False)

    def _is_newest(self, entry: DirectoryEntry) -> bool:
        """Whether an entry is not of an older incarnation than the newest known one."""
        newest = self._newest.get(identity_of(entry.instance))
        return newest is None or start_of(entry.instance) >= start_of(newest)

    def _entry_listed(self, entry: DirectoryEntry) -> None:
        identity = identity_of(entry.instance)
        before = self._newest.get(identity, entry.instance)
        self._newest[identity] = entry.instance
        if before != entry.instance:
            self._incarnation_replaced(before, entry)
        self.entries[entry.instance] = entry
        group = self._groups.get(entry.group)
        if group is not None:
            group.view_changes.entry_changed(entry)

    def _incarnation_replaced(self, before: str, entry: DirectoryEntry) -> None:
        """Replace the incarnation `before` of an instance that has restarted.

        Its old entry may be gone already, or may have named another group.
        """
        self.entries.pop(before, None)
        for group in self._groups.values():
            if before in group.topology.instances:
                group.incarnation_ended(before, entry.instance)

    def _entry_gone(self, instance: str, removal_unseen: bool) -> None:
        """Drop an instance that is no longer listed.

        `removal_unseen` is set where only its absence was seen, so that it may come back.
        """
        entry = self.entries.pop(instance, None)
        group = self._groups.get(entry.group) if entry is not None else None
        if group is not None:
            group.view_changes.entry_gone(instance, removal_unseen)
