"""Refusals of requests for a connection: the error, the counts and the log line of each reason."""

import asyncio
import logging

import pytest

from orchidwind.promoted.group.connection_requests import ConnectionRequests
from orchidwind.shared.core.admission import Refusal, RefusalReason
from orchidwind.shared.core.errors import ErrorKind, RequestError


def refused(reasons):
    """Refuse one request of a tenant for each reason; return what was counted."""

    async def run():
        requests, told = ConnectionRequests(), []
        requests.on_refused = told.append
        for reason in reasons:
            waiting = requests.add("i-0", "tern")
            requests.refuse(Refusal(waiting.ticket, 0.25, expired=False, reason=reason))
            with pytest.raises(RequestError) as caught:
                await waiting.granted
            assert caught.value.kind is ErrorKind.OVERLOADED
            assert caught.value.retry_after_milliseconds == 250
            assert reason.value in str(caught.value)
        return requests, told

    return asyncio.run(run())


def test_each_refusal_is_counted_by_its_reason():
    reasons = [*RefusalReason, RefusalReason.TARGET]
    requests, told = refused(reasons)
    assert told == reasons
    wanted = {reason.value: 1 for reason in RefusalReason} | {RefusalReason.TARGET.value: 2}
    assert requests.refused("i-0") == wanted
    assert requests.refused("i-1") == {}
    requests.forget("i-0")
    assert requests.refused("i-0") == {}


def test_ever_fewer_refusals_are_logged(caplog):
    with caplog.at_level(logging.INFO, logger="orchidwind"):
        refused([RefusalReason.TENANT_SHARE] * 20)
    lines = [record for record in caplog.records if record.message == "request_refused"]
    assert [line.refused for line in lines] == [1, 2, 4, 8, 16]
    assert {line.tenant for line in lines} == {"tern"}
