"""Support for settings that the platform changes while a router runs."""

from typing import Final

from lacewingdock.exceptions import LacewingdockError
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.profile import parse_profile, read_text
from lacewingdock.world.host import HostProfile

# The file may change without a signal. Reading 2 KB takes 28 us, and 236
# us where the text changed (processor time, mean of 2,000).
LOOK_S: Final = 1.0

log = get_logger("settings")


class HostWatch:
    """Takes a changed settings file into the profile in use.

    A file that is missing or faulty, for instance while it is being written,
    leaves the older settings in use; it is told once, and looked at again.

    Attributes:
        path: Where the file lies.
        host: The profile in use.
        text: What the file held when it was looked at last.
        fault: Why it could not be taken; empty if it could.
    """

    __slots__ = ("fault", "host", "path", "text")

    def __init__(self, path: str, text: str, host: HostProfile) -> None:
        """Take the file as it was read at start."""
        self.path = path
        self.text = text
        self.host = host
        self.fault = ""

    def look(self, *, asked: bool) -> None:
        """Look at the file, and take it if it changed.

        Args:
            asked: Whether an operator asked for it, who is told the outcome
                also where nothing changed.
        """
        try:
            text = read_text(self.path)
            if text == self.text and not asked:
                return
            found = parse_profile(text, self.path)
        except LacewingdockError as error:
            self._tell_fault(error.detail, asked=asked)
            return
        self.text, self.fault = text, ""
        taken, fixed = self.host.apply_changes(found)
        log.info(
            "settings read again", asked=asked, taken=taken, need_restart=fixed
        )

    def _tell_fault(self, fault: str, *, asked: bool) -> None:
        if fault != self.fault or asked:
            self.fault = fault
            log.error("settings not read again", asked=asked, error=fault)
