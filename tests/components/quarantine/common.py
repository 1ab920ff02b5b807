"""Helpers of the quarantine tests."""

from lacewingdock.const import HEADER_REQUEST_ID, RAN_NO
from lacewingdock.links.messages import Status
from lacewingdock.world.objects import Instance
from lacewingdock.world.upstream import Upstream
from standins.engine import CRASH_LINE


def upstream(name, running=0):
    """Return an upstream without a link."""
    made = Upstream(
        Instance(
            name=name,
            role="sidecar",
            failure_domain="hall",
            address="127.0.0.1:1",
        )
    )
    made.update_load(Status(["v"], running, 0, 10))
    return made


def crashed_engines(deployment):
    """Return the names of the engines whose process has ended."""
    return [
        name
        for name, process in deployment.processes.items()
        if name.startswith("engine-") and process.popen.poll() is not None
    ]


def started_requests(deployment):
    """Return the ids of the crashing requests that an engine started."""
    lines = [
        line
        for name in deployment.processes
        if name.startswith("engine-")
        for line in (deployment.folder / f"{name}.log").read_text().splitlines()
    ]
    return {
        line.removeprefix(CRASH_LINE)
        for line in lines
        if line.startswith(CRASH_LINE)
    }


def false_refusals(deployment, replies):
    """Return the replies that say "not run" although an engine started it."""
    ran = started_requests(deployment)
    return [
        reply
        for reply in replies
        if reply.json().get("ran") == RAN_NO
        and reply.headers.get(HEADER_REQUEST_ID.lower()) in ran
    ]
