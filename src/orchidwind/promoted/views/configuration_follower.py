"""Passes on what the watch of the configuration brings.

For: `proxy_runtime`, which puts configurations in force. Owns nothing.
"""

from __future__ import annotations

from collections.abc import Callable

from orchidwind.promoted.core.configuration import PromotedConfiguration
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
