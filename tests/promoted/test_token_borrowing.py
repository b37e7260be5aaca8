"""Tokens of quotas that one proxy borrows from others, with lenders that are lost or have too few.

Guards against refusing an operation while a proxy that can be reached has tokens for it.
"""

import asyncio
from types import SimpleNamespace

from test_quotas import RULES, TENANTS

from orchidwind.promoted.quotas.quota_service import QuotaService
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual


class Lender:
    """Another proxy with so many tokens, which answers after a time, or never."""

    def __init__(self, name, tokens, seconds=0.001):
        self.member = SimpleNamespace(name=name)
        self.tokens = tokens
        self.asked = 0
        self._seconds = seconds

    async def ask_tokens(self, tenant, wanted):
        self.asked += 1
        await asyncio.sleep(self._seconds)
        lent = min(wanted, self.tokens)
        self.tokens -= lent
        return lent


LOST = 60.0


def test_a_lender_that_is_lost_without_notice_costs_no_operation():
    """Two zones are cut off, and nobody has noticed yet; the third has tokens."""

    async def work():
        lost = [Lender("b", 5.0, LOST), Lender("c", 5.0, LOST)]
        service = QuotaService(RULES, lambda: TENANTS, lambda: [*lost, Lender("d", 5.0)])
        await service.admit_operation("heron")
        assert service.use["heron"].passed == 1

    run_virtual(work())


def test_no_further_lender_is_asked_where_the_first_answers():
    async def work():
        first, second = Lender("b", 5.0), Lender("c", 5.0)
        service = QuotaService(RULES, lambda: TENANTS, lambda: [first, second])
        await service.admit_operation("heron")
        assert (first.asked, second.asked) == (1, 0)
        assert first.tokens == 4.0

    run_virtual(work())
