"""Fakes of the platform's store and of routers that share a roll-out."""

from lacewingdock.components.traffic_shifting import Shifts
from lacewingdock.components.traffic_shifting import shift as shift_module
from lacewingdock.components.traffic_shifting.evidence import VersionSample
from lacewingdock.components.traffic_shifting.report import Report, Stage
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.const import RAN_UNKNOWN
from lacewingdock.platform.object_api import ObjectApi, unavailable_error
from lacewingdock.platform.objects import StoredObject
from lacewingdock.world.backend import UpstreamEntry
from lacewingdock.world.call import Call
from lacewingdock.world.host import Bounds, HostProfile

DURATION_S = 20.0


class Store:
    """The platform's store with one order and the reports, by revision."""

    def __init__(self):
        self.order = StoredObject(
            "svc",
            1,
            {"service": "svc", "target": "v2", "duration_s": DURATION_S},
        )
        self.reports = {}
        self.revision = 1
        self.down = False

    def write(self, _kind, name, spec, expect, _purpose):
        """Write a report if its stored revision is the expected one."""
        if self.down:
            raise unavailable_error("down", RAN_UNKNOWN)
        known = self.reports.get(name)
        if (known.revision if known else 0) != expect:
            return False, known
        self.revision += 1
        self.reports[name] = StoredObject(name, self.revision, spec)
        return True, self.reports[name]

    overwrite = ObjectApi.overwrite

    def write_status(self, _kind, _name, status, expect, _purpose):
        """Write the order's status if its revision is the expected one."""
        if self.down:
            raise unavailable_error("down", RAN_UNKNOWN)
        if self.order.revision != expect:
            return False, self.order
        self.revision += 1
        self.order = StoredObject("svc", self.revision, self.order.spec, status)
        return True, self.order


class Clock:
    """Fake boot time, advanced by the test."""

    def __init__(self, monkeypatch):
        self.now = 1000.0
        monkeypatch.setattr(shift_module, "since_boot", lambda: self.now)


def router(store, name="r-1", entries=("v1", "v1", "v2", "v2")):
    """Return a router's roll-outs, with the store's order applied."""
    directory = Directory()
    for index, version in enumerate(entries):
        directory.apply(
            UpstreamEntry(f"i-{index}", "svc", "h", 1, "d", version, 4)
        )
    host = HostProfile(
        instance=name,
        failure_domain="d",
        address="h",
        callers_address=("h", 1),
        ready_address=("h", 2),
        peer_address=("h", 3),
        platform="http://h",
        bounds=Bounds(exposure_share=0.15, session_s=5.0),
    )
    shifts = Shifts(host, f"{name}-inc", store, directory, lambda: 2)
    shifts.settled["svc"] = "v1"
    sync(shifts, store)
    return shifts


def sync(shifts, store):
    """Apply the stored order and all stored reports to a router."""
    shifts.take(store.order)
    for stored in store.reports.values():
        shifts.apply_report(
            Report(**{**stored.spec, "stage": Stage(stored.spec["stage"])})
        )


def call(number, session=""):
    return Call(f"c-{number}", b"POST", b"/", "h", "/", session=session)


def share_of_new(shifts, count=2000):
    rules = [shifts.version("svc", call(n)) for n in range(count)]
    return sum(rule.allows("v2") for rule in rules) / count


def sample(version, instance, bad=False, seconds=0.1):
    return VersionSample("svc", version, instance, "r", bad, False, seconds)


def good_answers(shifts, count=20):
    for n in range(count):
        shifts.add(sample("v2", f"i-{2 + n % 2}"), "")
        shifts.add(sample("v1", f"i-{n % 2}"), "")
