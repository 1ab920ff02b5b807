"""Support for naming what is decided about lost requests."""

from enum import StrEnum


class Decision(StrEnum):
    """What was decided about a lost request, for the metrics.

    Attributes:
        NOTED: A loss was noted.
        NOT_ENDED: An attempt broke with its connection standing; no loss.
        MET_ITSELF: The instance answered after the loss.
        MET_ANOTHER: Another one answered at its address.
        MET_NOTHING: It took no connection.
        MET_UNCLEAR: It took one and did not answer.
        HEARD: Another router told a loss.
        CLEARED: The request was answered: nothing speaks against it any more.
        LET_THROUGH: It was lost before, and goes on.
        HELD: It began to be held back, or for longer.
        REFUSED: It was refused, since it is held back.
        STOPPED: It was admitted before, and not sent any more.
        TRIED: It passed as a trial.
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
