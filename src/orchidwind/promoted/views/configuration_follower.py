"""Passes configurations from the watch to the proxy.

For: `proxy_runtime`, which puts configurations in force. Owns nothing.
"""

from __future__ import annotations

from collections.abc import Callable

from orchidwind.promoted.core.configuration import PromotedConfiguration
from orchidwind.promoted.ports import Changes, Listing


class ConfigurationFollower:
    """Passes each configuration that the watch receives to `adopt`."""

    def __init__(self, adopt: Callable[[PromotedConfiguration], bool]) -> None:
        """`adopt` puts a configuration in force and returns whether it is a later one."""
        self._adopt = adopt

    def listed(self, listing: Listing[PromotedConfiguration]) -> bool:
        """Adopt the listed configuration; return whether it is later than the one in force."""
        return any([self._adopt(item) for item in listing.items])

    def changed(self, changes: Changes[PromotedConfiguration]) -> None:
        """Adopt a changed configuration."""
        for item in changes.changed:
            self._adopt(item)
