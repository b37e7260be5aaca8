"""Pass on what the watches of configuration and directory bring.

For: `proxy_runtime`, which gives the functions that take items. Owns nothing.
"""

from __future__ import annotations

from collections.abc import Callable

from orchidwind.promoted.core.configuration import DirectoryEntry, PromotedConfiguration
from orchidwind.promoted.ports import Changes, Listing


class ConfigurationFollower:
    """Passes configurations on."""

    def __init__(self, adopt: Callable[[PromotedConfiguration], bool]) -> None:
        """`adopt` puts a configuration in force; whether it is a later one."""
        self._adopt = adopt

    def listed(self, listing: Listing[PromotedConfiguration]) -> bool:
        """The configuration as it is; whether it is a later one."""
        return any([self._adopt(item) for item in listing.items])

    def changed(self, changes: Changes[PromotedConfiguration]) -> None:
        """A later one."""
        for item in changes.changed:
            self._adopt(item)


class DirectoryFollower:
    """Passes the directory on."""

    def __init__(
        self,
        all_listed: Callable[[tuple[DirectoryEntry, ...]], bool],
        listed: Callable[[DirectoryEntry], None],
        gone: Callable[[str], None],
    ) -> None:
        self._all_listed = all_listed
        self._listed = listed
        self._gone = gone

    def listed(self, listing: Listing[DirectoryEntry]) -> bool:
        """All entries; whether they differ from those that were held."""
        return self._all_listed(listing.items)

    def changed(self, changes: Changes[DirectoryEntry]) -> None:
        """Later changes."""
        for entry in changes.changed:
            self._listed(entry)
        for name in changes.gone:
            self._gone(name)
