"""Decodes files written by operators; every error names the file, the key and the reason.

msgspec checks the form of the text. The only exception raised is SettingsError.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec

from orchidwind.shared.core.errors import SettingsError

T = TypeVar("T")


def decode_checked(source: str, decode: Callable[[], T]) -> T:
    """Call a msgspec decoder and convert its errors to SettingsError with `source` as the file."""
    try:
        return decode()
    except OSError as error:
        raise SettingsError(source, "$", error.strerror or str(error)) from error
    except msgspec.ValidationError as error:
        reason, _, key = str(error).partition(" - at ")
        raise SettingsError(source, key.strip("`") or "$", reason) from error
    except (msgspec.DecodeError, ValueError) as error:
        raise SettingsError(source, "$", str(error)) from error
