"""The timing and counts of the membership protocol, with the reason for each."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Durations are in seconds unless the name says otherwise; counts have no unit."""

    # One probe per node and second. The other membership times are relative to this period.
    period: float = 1.0
    # Must exceed a round trip between regions. The rest of the period is left to indirect probes.
    answer_timeout: float = 0.3
    # As in SWIM: the number of other members that probe a member that did not answer.
    indirect_probes: int = 3
    # With fewer periods live members are declared dead under packet loss; with more, the homes of a
    # lost member are reassigned later (docs/DECISIONS.md, "Urgent membership news is pushed").
    suspicion_periods: float = 2.0
    # A probe with 8 updates takes 533 bytes (encoded with names of 15 characters), well below the
    # 1,472 bytes of an unfragmented datagram.
    max_updates_per_message: int = 8
    # As in SWIM: each update is sent on this many messages times the binary logarithm of the number
    # of members, so that the probability of reaching all does not fall as members are added.
    spread_factor: float = 3.0
    # Repairs differences left by lost datagrams. Traffic is proportional to members / interval.
    exchange_interval: float = 30.0
    # Members per datagram when the full list is sent; 16 take 992 bytes, encoded as above.
    members_per_datagram: int = 16
    # Longer than old news of a dead member can circulate, so that such news is not taken for new.
    forget_dead_after: float = 120.0
    # Number of members to which urgent news is sent at once.
    urgent_fanout: int = 4
