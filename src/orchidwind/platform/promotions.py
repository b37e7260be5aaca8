"""The platform's promotion service: encoding of the request, and the outcome of each response.

For: `group/failover_runner.py`. Keeps no state. The outcome of a call that was sent and got no
response is unknown; the runner determines it from the status of the instances.
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
_HOLDER_HEADER = "Duty-Holder"
_TOKEN_HEADER = "Fencing-Token"


class PromotionCall:
    """Sends promotions on behalf of this proxy."""

    def __init__(
        self, address: tuple[str, int], proxy: str, on_silent: OnSilent = log_silent_connection
    ) -> None:
        self._on_silent = on_silent
        self._address = address
        self._proxy = proxy

    async def promote(
        self, group: str, instance: str, token: int, seconds: float
    ) -> PromotionAnswer:
        """Send a promotion of `instance` with the fencing token `token`.

        The connection is closed after `seconds` or PROMOTION_CALL_SECONDS, whichever is shorter.
        """
        body = msgspec.json.encode({"service": group, "id": identity_of(instance)})
        headers = {_HOLDER_HEADER: self._proxy, _TOKEN_HEADER: str(token)}
        request = HttpRequest(self._address, "POST", _PATH, body, headers)
        try:
            response = await http_call(request, min(seconds, PROMOTION_CALL_SECONDS))
        except HttpCallFailed as error:
            if error.silent_for is not None:
                self._on_silent(
                    SilentConnection(
                        ConnectionKind.PROMOTION,
                        instance,
                        error.open_for,
                        error.silent_for,
                        1,
                        "the promotion may have taken effect; instance statuses are queried",
                        group,
                    )
                )
            return PromotionAnswer.UNKNOWN if error.sent else PromotionAnswer.REFUSED
        if 200 <= response.status < 300:
            return PromotionAnswer.ACCEPTED
        return PromotionAnswer.REFUSED
