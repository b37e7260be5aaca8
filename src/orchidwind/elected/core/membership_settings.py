"""The times and counts of membership, and where each comes from."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Durations in seconds, unless the name says otherwise; counts without a unit."""

    # One probe a node and second. All other times of membership are multiples of it.
    period: float = 1.0
    # Must exceed a round trip between regions; leaves the indirect probes the rest of the
    # period.
    answer_timeout: float = 0.3
    # As in SWIM: this many others probe a member that did not answer.
    indirect_probes: int = 3
    # Fewer periods declare live members dead under loss, more delay the loss of roles
    # (docs/DECISIONS.md, "Urgent membership news is pushed").
    suspicion_periods: float = 2.0
    # A probe with 8 updates takes 533 bytes (encoded with names of 15 characters), well
    # below the 1,472 of an unfragmented datagram.
    updates_a_message: int = 8
    # As in SWIM: each update travels on this many messages times the logarithm (base 2) of
    # the members, so that it reaches all with a probability that does not fall as they grow.
    spread_factor: float = 3.0
    # Mends what lost datagrams left different; traffic grows with members over this time.
    exchange_interval: float = 30.0
    # Members of the whole list in one datagram; 16 take 992 bytes, encoded as above.
    exchange_part: int = 16
    # Longer than old news of a dead member may travel, so that it isn't taken for new.
    forget_dead_after: float = 120.0
    # How many learn urgent news at once.
    announce_fanout: int = 4
