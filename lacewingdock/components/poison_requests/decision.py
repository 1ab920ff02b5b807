"""Support for counting decisions about lost requests."""

from enum import StrEnum


class Decision(StrEnum):
    """Decisions and observations about lost requests, as metric labels.

    Attributes:
        NOTED: A loss was recorded.
        NOT_ENDED: An attempt failed while its connection stayed open, which
            is no loss.
        MET_ITSELF: The instance that lost the request answered the address
            check.
        MET_ANOTHER: Another instance answered at its address.
        MET_NOTHING: Nothing accepted a connection at its address.
        MET_UNCLEAR: A connection was accepted, but no answer came in time.
        HEARD: Another router reported a loss.
        CLEARED: The request was answered, so its losses were discarded.
        LET_THROUGH: The request was lost before, but too rarely to be refused.
        HELD: A hold on the request began or was extended.
        REFUSED: The request was refused because of a hold.
        STOPPED: The request was admitted before its hold, and is no longer
            sent to an instance.
        TRIED: The request was let through as a trial.
    """

    NOTED = "noted"
    NOT_ENDED = "not_ended"
    MET_ITSELF = "met_itself"
    MET_ANOTHER = "met_another"
    MET_NOTHING = "met_nothing"
    MET_UNCLEAR = "met_unclear"
    HEARD = "heard"
    CLEARED = "cleared"
    LET_THROUGH = "let_through"
    HELD = "held"
    REFUSED = "refused"
    STOPPED = "stopped"
    TRIED = "tried"
