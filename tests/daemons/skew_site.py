"""Router processes of which one gets most new connections."""

import asyncio
from dataclasses import dataclass
from typing import Final

from lacewingdock.platform.object_api import ObjectApi
from tests.daemons.cpu_share import CpuShare, cpu_seconds
from tests.daemons.event_loop import LoopThread
from tests.daemons.router_site import (
    Router,
    answers,
    configuration,
    free_port,
    server,
    start,
)
from tests.daemons.skew_load import Callers, Engine, Work, served_ratio
from tests.waiting import wait

ROUTERS: Final = 5
ENGINES: Final = 3
SLOTS: Final = 1000
# Seconds of a contact time, after which the skew must do no harm.
CONTACT_S: Final = 3.0


@dataclass
class Outcome:
    """The results of a scenario.

    Attributes:
        per_s: Requests a second.
        before: Requests that were spread over all routers.
        after: Requests after the contact time, to one router first.
    """

    per_s: float
    before: list
    after: list

    @property
    def ratio(self):
        """Share of requests served under the skew, against before."""
        return served_ratio(self.after) / max(served_ratio(self.before), 0.001)


class SkewSite:
    """A platform, engines, and routers with a share of a core each.

    Attributes:
        routers: The routers, ready to serve.
        callers: The callers.
        share: Share of a core of each router.
    """

    def __init__(
        self, tmp_path, work: Work, share, profile="", routers=ROUTERS
    ):
        self.work = work
        self.share = share
        self.loop = LoopThread()
        self.limits = []
        port = free_port()
        self.platform = start("standins.platform", f"--port={port}")
        self.routers = [Router(tmp_path, port, "r-0")]
        for number in range(1, routers):
            first = self.routers[0].peer
            host = f"127.0.1.{number}"
            router = Router(tmp_path, port, f"r-{number}", first, host, first)
            self.routers.append(router)
        for router in self.routers:
            with router.path.open("a") as file:
                file.write(profile)
        try:
            self._start(f"http://127.0.0.1:{port}")
        except BaseException:
            # No caller has a reference yet, so the processes would run on.
            self.close()
            raise

    def run(self, per_s, spread_s, skewed_s):
        """Spread the requests for a while, then send them to one router.

        Returns:
            The results.
        """
        return self.loop.run(self._run(per_s, spread_s, skewed_s))

    def measure_capacity(self, per_s, seconds):
        """Return the requests a second for which a router has processor time.

        Args:
            per_s: Requests a second, spread over all routers.
            seconds: For how long they are sent.
        """
        before = self._cpu_s()
        first = len(self.callers.sent)
        self.loop.run(self._spread(per_s, seconds))
        spent_s = self._cpu_s() - before
        return self.share * (len(self.callers.sent) - first) / spent_s

    def close(self):
        """End all processes."""
        for limit in self.limits:
            limit.close()
        for router in self.routers:
            router.stop()
        self.platform.kill()
        self.platform.wait()
        self.loop.close()

    def _start(self, url):
        api = ObjectApi(url)
        wait(lambda: answers(api))
        spec = configuration(3, r="idempotent", s="streaming")
        spec["routes"][1]["resumable"] = False
        api.write("config", "main", spec, 0, "test")
        for number in range(ENGINES):
            engine = Engine(self.work)
            self.loop.run(engine.start())
            entry = server(engine.port) | {"slots": SLOTS}
            api.write("servers", f"i-{number}", entry, 0, "test")
        for router in self.routers:
            router.start()
        wait(lambda: all(one.is_ready() for one in self.routers))
        self.limits = [
            CpuShare(one.popen.pid, self.share) for one in self.routers
        ]
        self.callers = Callers(
            self.work,
            [(one.host, one.front) for one in self.routers],
            "/s/x" if self.work.events else "/r/x",
        )

    def _cpu_s(self):
        return sum(cpu_seconds(one.popen.pid) for one in self.routers)

    async def _spread(self, per_s, seconds):
        count = len(self.routers)
        tasks = await self.callers.run(per_s, seconds, lambda n: n % count)
        await asyncio.gather(*tasks)

    async def _run(self, per_s, spread_s, skewed_s):
        count, sent = len(self.routers), self.callers.sent
        first = len(sent)
        tasks = await self.callers.run(per_s, spread_s, lambda n: n % count)
        skewed = len(sent)
        tasks += await self.callers.run(per_s, skewed_s, lambda n: 0)
        await asyncio.gather(*tasks)
        moved = sent[skewed].at
        after = [one for one in sent[skewed:] if one.at > moved + CONTACT_S]
        return Outcome(per_s, sent[first:skewed], after)
