"""A router in virtual time whose state is sampled."""

from lacewingdock.components.cordons import CordonListener
from lacewingdock.components.mirror.listener import PerObjectListener
from lacewingdock.components.traffic_shifting.const import KIND_REPORTS
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.components.upstreams.sync import InstanceListener
from lacewingdock.daemons.router import LAPSE_CHECK_INTERVAL_S
from lacewingdock.daemons.router_mirrors import build_store_health
from lacewingdock.daemons.router_timing import entry_expiry_s
from lacewingdock.platform.documents import (
    KIND_CONFIGURATION,
    KIND_CORDONS,
    KIND_INSTANCES,
    KIND_SHIFTS,
)
from lacewingdock.world.router_entry import KIND_ROUTERS


class ObservedRouter:
    """The components that a router's mirrors update, with samples of them.

    Attributes:
        time: The virtual time.
        bounds: The router's propagation bounds.
        sample_interval_s: Seconds between two samples.
        directory: The instances.
        version: Version of the configuration in force.
        samples: (time, ids of the instances that accept work, version in
            force).
        health: The store's health state.
    """

    def __init__(self, time, bounds, sample_interval_s):
        self.time = time
        self.bounds = bounds
        self.sample_interval_s = sample_interval_s
        self.directory = Directory(time)
        self.directory.expiry_s = lambda: entry_expiry_s(bounds)
        self.version = 0
        self.samples = []
        self.health = build_store_health(lambda: bounds, time)

    def listeners(self):
        """Return the receivers of changes by kind."""
        nothing = PerObjectListener(lambda _: None)
        found = {
            KIND_CONFIGURATION: PerObjectListener(self._configure),
            KIND_INSTANCES: InstanceListener(self.directory),
            KIND_SHIFTS: nothing,
            KIND_REPORTS: nothing,
            KIND_ROUTERS: nothing,
        }
        self.cordons = CordonListener(self.directory)
        if self.bounds.cordon_s:
            found[KIND_CORDONS] = self.cordons
        return found

    def on_store_restored(self):
        """Handle a restore of the store from a copy, as a router does."""
        self.health.restored()

    def observe(self):
        """Start the tasks that drop lapsed entries and take samples."""
        self.time.start(self._drop_lapsed)
        self.time.start(self._sample)

    def _configure(self, stored):
        self.version = max(self.version, stored.spec["version"])

    def _drop_lapsed(self):
        while True:
            self.time.sleep(LAPSE_CHECK_INTERVAL_S)
            self.directory.apply_held()
            if not self.health.doubtful:
                self.directory.drop_lapsed()
                self.cordons.lift_unconfirmed()

    def _sample(self):
        while True:
            self.time.sleep(self.sample_interval_s)
            found = {
                name
                for name, one in self.directory.instances.items()
                if one.open
            }
            self.samples.append((self.time.now(), found, self.version))
