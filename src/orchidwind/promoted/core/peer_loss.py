"""What becomes of a command whose home proxy went away under it. No I/O.

What for: a proxy that forwards commands must know which may be sent to another home. Owns: nothing.
Relies on: an instance that rolls a transaction back when the home's connection to it ends.
"""

from __future__ import annotations

from orchidwind.promoted.core.answers import read_interrupted, transaction_lost, write_in_doubt
from orchidwind.promoted.core.commands import Command, CommandKind
from orchidwind.promoted.core.session import Session
from orchidwind.shared.core.errors import RequestError


def after_lost_home(
    session: Session, command: Command, opened: bool, sent: bool
) -> RequestError | None:
    """What the caller is answered; None where the command may be sent to another home.

    `opened`: the transaction was open at that home; `sent`: this command had left.
    The instance rolls a transaction back when its home is gone, so without a COMMIT on its way
    nothing of it is kept. A single write that left is not sent again.
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
