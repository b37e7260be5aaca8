"""Decides what happens to a command whose home proxy was lost. No I/O.

A front proxy must know which commands it may send to another home. The rules rely on the instance,
which rolls a transaction back when the home's connection to it ends.
"""

from __future__ import annotations

from orchidwind.promoted.core.answers import read_interrupted, transaction_lost, write_in_doubt
from orchidwind.promoted.core.commands import Command, CommandKind
from orchidwind.promoted.core.session import Session
from orchidwind.shared.core.errors import RequestError


def after_lost_home(
    session: Session, command: Command, opened: bool, sent: bool
) -> RequestError | None:
    """Returns the error for the caller, or None if the command may be sent to another home.

    `opened` tells whether the transaction was open at the lost home, and `sent` whether this
    command had been sent there. The instance rolls a transaction back when its home is lost, so the
    transaction can be committed only if its COMMIT had been sent. A single write that had been sent
    is not sent again.
    """
    if command.kind is CommandKind.COMMIT and sent:
        wrote = session.transaction is not None and session.transaction.wrote
        return write_in_doubt() if wrote else read_interrupted()
    if opened:
        return transaction_lost()
    if not sent:
        return None
    if session.transaction is not None:
        return transaction_lost()
    return write_in_doubt() if session.writes(command) else None
