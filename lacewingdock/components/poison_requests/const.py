"""Constants for detecting poison requests."""

from typing import Final

# Timeout in seconds of the check which start answers at an instance's address.
ADDRESS_CHECK_TIMEOUT_S: Final = 0.2
# Crashed instances after which a request is refused. A harmless request may be
# in flight at one crash and, by bad luck, at a second one; a request that was
# in flight at three different crashes without an answer between is likely the
# cause.
CRASHES_TO_HOLD: Final = 3
# Crashed instances after which requests with a prompt part are refused. Each
# crash ends many requests, so a harmless part is beside a crash far more often
# than a harmless request.
PART_CRASHES_TO_HOLD: Final = 4
# Crashes after which a request with a part that was never answered is not
# retried: each retry risks all requests that run at another instance.
PART_CRASHES_TO_SPARE: Final = 2
# Seconds after an answer to a request with a part in which a loss does not
# count against it: what crashes each instance is not answered.
PART_ANSWERED_S: Final = 2.0
# Maximum number of answered parts remembered, of about 150 bytes each.
MAX_ANSWERED_PARTS: Final = 4096
# Shortest and longest hold in seconds. A hold is lengthened by random jitter to
# at most twice its length, and doubles after each failed trial. If the crashes
# had another cause, the trial after the hold is answered and ends the hold.
HOLD_S: Final = 20.0
MAX_HOLD_S: Final = 600.0
# Crashes within this many seconds of the hold's first crash are attributed to
# copies of the request already in flight: evidence takes two seconds to reach
# all routers, and a request may wait in a queue.
IN_FLIGHT_CRASH_S: Final = 10.0
# Seconds for which a trial request runs before another trial is let through.
TRIAL_S: Final = 5.0
# Seconds after a loss from which received bytes show that the instance lives.
# Bytes that other connections had already received may be read a little later
# than the loss.
LATE_READ_MARGIN_S: Final = 0.1
# Seconds before a loss is published to the other routers. Most lost requests
# are answered by another instance within this time and need no write.
PUBLISH_AFTER_S: Final = 0.4
# Interval in seconds between publications, so that all losses of one crash go
# out in one call. Including the wait above and propagation through the store,
# all routers have the losses within about two seconds.
PUBLISH_EVERY_S: Final = 0.7
# Least seconds between two publications. A request that was lost before is
# published without waiting for the interval above.
PUBLISH_PAUSE_S: Final = 0.2
# Seconds after its last loss at which a suspect request is dropped.
SUSPECT_EXPIRY_S: Final = 1200.0
# Maximum number of suspect traits kept, of about 400 bytes each.
MAX_SUSPECTS: Final = 1000
# Maximum number of traits with clearances kept, of about 300 bytes each.
MAX_CLEARED: Final = 1000
# Maximum number of traits published, of about 100 bytes each, and of clearances
# of traits that other routers accuse.
MAX_PUBLISHED: Final = 200
MAX_CLEARED_PUBLISHED: Final = 50
# Maximum number of instances published with a clearance.
MAX_CLEARED_CRASHES: Final = 32
# Seconds for which a clearance is published: other routers have it long before,
# and remember it.
CLEARED_S: Final = 60.0
# Maximum number of accused parts in a gossip message, of cleared ones, and of
# instances of each. A message must fit a datagram, and few crashes of a part
# suffice to hold it back.
MAX_GOSSIPED: Final = 8
MAX_GOSSIPED_CRASHES: Final = 6
# Seconds after its last loss for which a part's losses are gossiped.
GOSSIP_S: Final = 5.0
# Maximum number of traits named in one log line; the latest are named.
MAX_LOGGED: Final = 8
