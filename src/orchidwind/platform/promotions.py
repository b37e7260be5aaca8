"""The platform's promotion call: its form, its answers, and what each of them proves.

For: `group/failover_runner.py`. Owns nothing. A call without an answer has an unknown outcome,
which the runner settles by asking the instances.
"""

from __future__ import annotations

import msgspec

from orchidwind.platform.http_call import HttpCallFailed, HttpRequest, http_call
from orchidwind.promoted.core.call_limits import PROMOTION_CALL_SECONDS
from orchidwind.promoted.core.failover_steps import PromotionAnswer
from orchidwind.promoted.core.instance_incarnations import identity_of
from orchidwind.shared.silence import (
    ConnectionKind,
    OnSilent,
    SilentConnection,
    log_silent_connection,
)

_PATH = "/promotions"
_HOLDER = "Duty-Holder"
_TOKEN = "Fencing-Token"


class PromotionCall:
    """Sends promotions in the name of this proxy."""

    def __init__(
        self, address: tuple[str, int], proxy: str, on_silent: OnSilent = log_silent_connection
    ) -> None:
        self._on_silent = on_silent
        self._address = address
        self._proxy = proxy

    async def promote(
        self, group: str, instance: str, token: int, seconds: float
    ) -> PromotionAnswer:
        """Send one promotion; its connection is ended when its time has passed."""
        body = msgspec.json.encode({"service": group, "id": identity_of(instance)})
        headers = {_HOLDER: self._proxy, _TOKEN: str(token)}
        request = HttpRequest(self._address, "POST", _PATH, body, headers)
        try:
            answer = await http_call(request, min(seconds, PROMOTION_CALL_SECONDS))
        except HttpCallFailed as error:
            if error.silent_for is not None:
                self._on_silent(
                    SilentConnection(
                        ConnectionKind.PROMOTION,
                        instance,
                        error.open_for,
                        error.silent_for,
                        1,
                        "it may have been done, statuses are asked",
                        group,
                    )
                )
            return PromotionAnswer.UNKNOWN if error.sent else PromotionAnswer.REFUSED
        if 200 <= answer.status < 300:
            return PromotionAnswer.ACCEPTED
        return PromotionAnswer.REFUSED
