"""Constants of the requests that crash upstream instances."""

from typing import Final

# How long an instance has to answer the question whether it crashed.
ADDRESS_CHECK_TIMEOUT_S: Final = 0.2
# Crashed instances from which a request is held back. An honest request is in
# flight at one crash, and with bad luck at a second one that follows; at three
# different ones, without an answer between, it is likely the cause.
CRASHES_TO_HOLD: Final = 3
# For how long it is held back then, up to twice that by chance; twice as long
# again after each trial that fails.
# Where the instances crashed for another cause, one request that passes after
# this is answered, and all pass again.
HOLD_S: Final = 20.0
MAX_HOLD_S: Final = 600.0
# Crashes within this time of the first one are of copies that were under way:
# the evidence takes two seconds to all routers, and a request may wait a while.
IN_FLIGHT_CRASH_S: Final = 10.0
# How long the request that passes then is given to show what it does.
TRIAL_S: Final = 5.0
# An instance that sent anything this long after it lost a request has not
# crashed; what other connections had already received may be read a little
# later than the loss.
LATE_READ_MARGIN_S: Final = 0.1
# A loss is told to the other routers after this, unless the request was
# answered meanwhile: most are, at another instance, and need no write.
PUBLISH_AFTER_S: Final = 0.4
# How often it is looked whether there is something to tell: what was lost at
# one crash goes out in one call. With the wait above and the way through the
# store, all routers know within about two seconds.
PUBLISH_EVERY_S: Final = 0.7
# The shortest time between two calls that tell of losses: those of a request
# that was lost before are told at once.
PUBLISH_PAUSE_S: Final = 0.2
# A request that does not come again is forgotten after this.
SUSPECT_EXPIRY_S: Final = 1200.0
# Requests that are remembered, of about 400 bytes each.
MAX_SUSPECTS: Final = 1000
# Requests that are told to others at most, of about 100 bytes each.
MAX_PUBLISHED: Final = 200
# Requests that a line of the log names at most, the latest.
MAX_LOGGED: Final = 8
