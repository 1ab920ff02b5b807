"""Router processes whose engines are crashed by a part of a prompt."""

import threading
import time
from collections import Counter
from dataclasses import dataclass, field

from tests.daemons.crash_engines import BAD_PART
from tests.daemons.crash_site import CrashSite

# Seconds between two requests with the bad part, and between sound requests.
BAD_EVERY_S = 0.15
SOUND_EVERY_S = 0.04
# Seconds after the part's fifth crash within which all routers hold it back.
CONTACT_S = 3.0
CRASHES = 5
# Number of parts of which each sound request has one.
PARTS = 8


@dataclass
class PartOutcome:
    """The results of a scenario.

    Attributes:
        crashes: Engines that requests with the bad part crashed.
        late: Requests with the bad part that reached engines later than the
            contact time after its fifth crash.
        calm: Statuses of the sound requests before the first bad one.
        held: Statuses of the sound requests that were sent later than twice
            the contact time after the fifth crash.
        refused: Sound requests refused as poison requests, at any time.
    """

    crashes: int = 0
    late: int = 0
    calm: Counter = field(default_factory=Counter)
    held: Counter = field(default_factory=Counter)
    refused: int = 0

    @property
    def served_ratio(self):
        """Share of sound requests served under the hold, against before."""
        return _served(self.held) / _served(self.calm)


class CrashPartSite(CrashSite):
    """A site where no two requests are alike, but bad ones share a part.

    Sound requests share the caller, the route and the other parts.

    Attributes:
        part_first: Whether the bad part comes first in its prompts.
        parts: Number of parts of which each sound request has one.
        sound: (time, status) of each sound request, by the time it was sent.
    """

    def __init__(
        self, tmp_path, crash_mode, part_first=False, parts=PARTS, **sizes
    ):
        self.part_first = part_first
        self.parts = parts
        self.sound = []
        super().__init__(tmp_path, crash_mode, **sizes)

    def run(self, calm_s, trouble_s, disturb=lambda _: None):
        """Send sound requests, and after a while also bad ones.

        Args:
            calm_s: Seconds without bad requests.
            trouble_s: Seconds with bad requests.
            disturb: Called with the site as the bad requests begin.
        """
        stop, calm = threading.Event(), time.monotonic()
        sound = threading.Thread(
            target=self._send, args=(stop, SOUND_EVERY_S, self.send_sound)
        )
        sound.start()
        time.sleep(calm_s)
        began = time.monotonic()
        bad = threading.Thread(
            target=self._send, args=(stop, BAD_EVERY_S, self.send_bad_part)
        )
        bad.start()
        disturb(self)
        time.sleep(max(began + trouble_s - time.monotonic(), 0.0))
        stop.set()
        sound.join()
        bad.join()
        return self._outcome(calm, began)

    def send_sound(self, number):
        """Send a sound request and record its answer."""
        sent = time.monotonic()
        part = f"50{number % self.parts:02x}"
        status = self.ask(
            number,
            f"ok-{number}",
            b"sound %d" % number,
            _prompt("aa00", part, f"0a{number:06x}"),
        )
        with self.lock:
            self.sound.append((sent, status))

    def send_bad_part(self, number):
        """Send a request with the bad part."""
        other = f"50{number % self.parts:02x}"
        parts = ["aa00", other, BAD_PART.decode()]
        if self.part_first:
            parts.reverse()
        self.ask(
            number,
            f"bad-{number}",
            b"bad %d" % number,
            _prompt(*parts, f"0b{number:06x}"),
        )

    def _outcome(self, calm, began):
        found = PartOutcome(crashes=len(self.engines.ended))
        ended = sorted(at for at, _ in self.engines.ended)
        bound = ended[min(CRASHES, len(ended)) - 1] if ended else began
        found.late = sum(
            at > bound + CONTACT_S for at, _ in self.engines.reached
        )
        for sent, status in self.sound:
            if calm <= sent < began:
                found.calm[status] += 1
            if sent > bound + 2 * CONTACT_S:
                found.held[status] += 1
            found.refused += status == 429
        return found


def _prompt(*parts):
    return "Prompt-Prefix: " + ",".join(f"{one}:200" for one in parts) + "\r\n"


def _served(statuses):
    return statuses[200] / max(statuses.total(), 1)
