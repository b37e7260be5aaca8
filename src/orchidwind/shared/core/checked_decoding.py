"""Decodes what operators wrote; an error names its source, key and reason.

Relies on msgspec for the form of the text; raises SettingsError alone.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec

from orchidwind.shared.core.errors import SettingsError

T = TypeVar("T")


def decode_checked(source: str, decode: Callable[[], T]) -> T:
    """Call a decoder of msgspec; raises SettingsError, naming `source`."""
    try:
        return decode()
    except OSError as error:
        raise SettingsError(source, "$", error.strerror or str(error)) from error
    except msgspec.ValidationError as error:
        reason, _, key = str(error).partition(" - at ")
        raise SettingsError(source, key.strip("`") or "$", reason) from error
    except (msgspec.DecodeError, ValueError) as error:
        raise SettingsError(source, "$", str(error)) from error
