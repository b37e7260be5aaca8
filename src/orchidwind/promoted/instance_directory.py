"""The directory of instances as this proxy holds it.

For: `proxy_runtime`; it is the follower of the directory's watch. Owns the entries, and passes each
change on to the group that it belongs to.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from orchidwind.promoted.core.configuration import DirectoryEntry
from orchidwind.promoted.group.group_service import GroupService
from orchidwind.promoted.ports import Changes, Listing


class InstanceDirectory:
    """All entries, by instance. `read` tells whether the directory was read as a whole."""

    def __init__(self, groups: Mapping[str, GroupService], on_read: Callable[[], None]) -> None:
        """`on_read` is called after each whole reading."""
        self.entries: dict[str, DirectoryEntry] = {}
        self.read = False
        self._groups = groups
        self._on_read = on_read

    def add_group(self, group: GroupService) -> None:
        """A group is new here: it gets the entries that are known already."""
        for entry in self.entries.values():
            if entry.group == group.settings.name:
                group.view_changes.entry_changed(entry)

    def listed(self, listing: Listing[DirectoryEntry]) -> bool:
        """The whole directory was read; whether it differs from the one that was held."""
        listed = {entry.instance: entry for entry in listing.items}
        differs = listed != self.entries or not self.read
        for name in [name for name in self.entries if name not in listed]:
            self._entry_gone(name, removal_unseen=True)
        for entry in listing.items:
            self._entry_listed(entry)
        self.read = True
        self._on_read()
        return differs

    def changed(self, changes: Changes[DirectoryEntry]) -> None:
        """Entries that came, changed or went."""
        for entry in changes.changed:
            self._entry_listed(entry)
        for name in changes.gone:
            self._entry_gone(name, removal_unseen=False)

    def _entry_listed(self, entry: DirectoryEntry) -> None:
        self.entries[entry.instance] = entry
        group = self._groups.get(entry.group)
        if group is not None:
            group.view_changes.entry_changed(entry)

    def _entry_gone(self, instance: str, removal_unseen: bool) -> None:
        """An instance is no longer listed; `removal_unseen`: it may come back."""
        entry = self.entries.pop(instance, None)
        group = self._groups.get(entry.group) if entry is not None else None
        if group is not None:
            group.view_changes.entry_gone(instance, removal_unseen)
