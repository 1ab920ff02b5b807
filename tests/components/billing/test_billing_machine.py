"""Property test: each attempt that ran is billed once, whatever fails.

Guards against bills that are missing from the ledger or in it twice. The
machine ends runs, delivers messages or loses them with their link, freezes,
thaws, kills and restarts entries, kills sidecars, takes the platform down, and
makes writes lose their answer, take no effect or take effect late. A bill is
lost when a process dies with the only copy, and is duplicated when two
processes both write it or when a writer doesn't know whether its write took
effect.

The ledger is read from the fake platform's objects, without the reader.
"""

import base64
import itertools
import json
import zlib
from collections import Counter
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lacewingdock.components.billing import const
from lacewingdock.components.billing.ledger import Ledger
from lacewingdock.components.billing.outbox import Outbox
from lacewingdock.helpers import append_log
from lacewingdock.links.messages import BillsKept, Hello
from tests.fakes import FakeLink, FakeStore

ENTRIES = ("e0", "e1", "e2")
SIDECARS = ("s0", "s1")
WRITE_OUTCOMES = ("ok", "lost", "dropped", "late")


def ledger_rows(store):
    """Return how often each attempt is in the platform's objects."""
    rows = Counter()
    for stored in store.objects.get("ledger", {}).values():
        text = zlib.decompress(base64.b64decode(stored.value))
        rows.update(row[0] for row in json.loads(text))
    return rows


class BillingMachine(RuleBasedStateMachine):
    """Entries and sidecars with a link between each pair.

    A bill is expected to be lost when the only processes that held a copy
    were killed.
    """

    def __init__(self):
        super().__init__()
        # A small bound makes logs evict keys within a short run.
        self.patch = mock.patch.object(append_log, "REMEMBERED_SLOTS", 1)
        self.patch.start()
        self.store = FakeStore()
        self.now = 0.0
        self.numbers = itertools.count()
        self.billed: dict[str, str] = {}
        self.killed: set[str] = set()
        self.expected_lost: set[str] = set()
        self.frozen: set[str] = set()
        self.backlog: dict[str, list] = {}
        self.entries: dict[str, Ledger] = {}
        self.sidecars: dict[str, Outbox] = {}
        self.links: dict[tuple[str, str], tuple[FakeLink, FakeLink]] = {}
        for name in SIDECARS:
            self.start_sidecar(name)
        for name in ENTRIES:
            self.start_entry(name)

    def start_entry(self, name):
        """Start an entry with empty memory and a new log."""
        incarnation = f"{name}-{next(self.numbers)}"
        self.entries[name] = Ledger(
            self.store, name, incarnation, lambda: self.now
        )
        for sidecar in SIDECARS:
            self.open_link(name, sidecar)

    def start_sidecar(self, name):
        """Start a sidecar with empty memory."""
        self.sidecars[name] = Outbox(name, "a", lambda: self.now)

    def open_link(self, entry, sidecar):
        """Open a link, over which the entry announces its log."""
        domain = "a" if entry == "e0" else "b"
        to_entry = FakeLink(Hello(entry, entry, "entry", domain, b""))
        to_sidecar = FakeLink(Hello(sidecar, sidecar, "sidecar", "a", b""))
        self.links[entry, sidecar] = to_entry, to_sidecar
        to_sidecar.send(self.entries[entry].announcement())

    def close_link(self, entry, sidecar):
        """Close a link and drop its messages in flight."""
        to_entry, to_sidecar = self.links.pop((entry, sidecar))
        for link in (to_entry, to_sidecar):
            link.closed = True
            link.inbox.clear()
        self.sidecars[sidecar].on_close(to_entry)

    def deliver(self, entry, sidecar, kept=True):
        """Deliver the messages in flight between an entry and a sidecar.

        A frozen entry receives none. Without `kept`, acknowledgements stay in
        flight.
        """
        if (entry, sidecar) not in self.links:
            return
        to_entry, to_sidecar = self.links[entry, sidecar]
        while to_sidecar.inbox and kept:
            message = to_sidecar.inbox.popleft()
            assert isinstance(message, BillsKept)
            self.sidecars[sidecar].on_kept(to_entry, message)
        while to_entry.inbox and entry not in self.frozen:
            message = to_entry.inbox.popleft()
            self.entries[entry].receive(to_sidecar, message)

    def count_copies(self, attempt):
        """Count the copies of a bill in memory, in the ledger and in flight."""
        late = FakeStore()
        for collection, name, value, _, _ in self.store.late:
            objects = late.objects.setdefault(collection, {})
            objects[name] = type("Late", (), {"value": value})
        return (
            sum(attempt in s.held for s in self.sidecars.values())
            + sum(
                attempt in pending.rows
                for e in self.entries.values()
                for pending in e.pending.values()
            )
            + ledger_rows(self.store)[attempt]
            + ledger_rows(late)[attempt]
            + sum(
                f'"{attempt}"' in row.decode()
                for waiting in self.backlog.values()
                for _, message in waiting
                for row in message.rows
            )
        )

    @rule(
        sidecar=st.sampled_from(SIDECARS),
        count=st.integers(1, 3),
        delivered=st.booleans(),
    )
    def end_runs(self, sidecar, count, delivered):
        """End runs, whose bills may reach an entry at once."""
        for _ in range(count):
            attempt = f"a{next(self.numbers)}"
            row = json.dumps([attempt, "request"]).encode()
            self.billed[attempt] = sidecar
            self.sidecars[sidecar].record(attempt, row)
        if delivered:
            for entry in ENTRIES:
                self.deliver(entry, sidecar, kept=False)

    @rule(
        entry=st.sampled_from(ENTRIES),
        sidecar=st.sampled_from(SIDECARS),
        again=st.booleans(),
    )
    def cut_link(self, entry, sidecar, again):
        """Close a link, which may be opened again at once."""
        if (entry, sidecar) in self.links:
            self.close_link(entry, sidecar)
        if again and entry not in self.frozen:
            self.open_link(entry, sidecar)
            self.deliver(entry, sidecar)

    @rule(
        entry=st.sampled_from(ENTRIES),
        write_outcomes=st.lists(st.sampled_from(WRITE_OUTCOMES), max_size=2),
        rounds=st.integers(1, 3),
        acknowledged=st.booleans(),
    )
    def flush(self, entry, write_outcomes, rounds, acknowledged):
        """Let an entry receive messages in flight and write several times.

        Unless the acknowledgements are delivered, sidecars resend bills that
        are in the ledger already.
        """
        for sidecar in SIDECARS:
            self.deliver(entry, sidecar, kept=False)
        if entry in self.frozen:
            return
        self.store.write_outcomes.extend(write_outcomes)
        for _ in range(rounds):
            self.entries[entry].flush()
        self.store.write_outcomes.clear()
        for sidecar in SIDECARS if acknowledged else ():
            self.deliver(entry, sidecar)

    @rule(
        sidecar=st.sampled_from(SIDECARS),
        wait=st.sampled_from([0.0, 6.0, 100.0]),
    )
    def sweep(self, sidecar, wait):
        """Let time pass and a sidecar resend its bills."""
        self.now += wait
        self.sidecars[sidecar].sweep()
        for entry in ENTRIES:
            self.deliver(entry, sidecar)

    @rule()
    def late_write_arrives(self):
        """Let a write take effect after its writer saw a failure."""
        if self.store.late:
            self.store.apply_late_write()

    @rule(entry=st.sampled_from(ENTRIES))
    def outage(self, entry):
        """Let an entry try to write while the platform is down."""
        if entry not in self.frozen:
            self.store.down = True
            self.entries[entry].flush()
            self.store.down = False

    @rule(entry=st.sampled_from(ENTRIES))
    def freeze(self, entry):
        """Freeze an entry, which then neither receives nor writes."""
        self.frozen.add(entry)

    @rule(entry=st.sampled_from(ENTRIES))
    def thaw(self, entry):
        """Resume an entry and deliver the messages buffered in its sockets."""
        self.frozen.discard(entry)
        for link, message in self.backlog.pop(entry, ()):
            self.entries[entry].receive(link, message)

    @rule(entry=st.sampled_from(ENTRIES))
    def midnight(self, entry):
        """Let a day pass and an entry start a new log."""
        self.now += 86_400
        if entry not in self.frozen and self.entries[entry].rotate():
            announcement = self.entries[entry].announcement()
            for (name, _), (_, to_sidecar) in self.links.items():
                if name == entry:
                    to_sidecar.send(announcement)

    @rule(entry=st.sampled_from(ENTRIES))
    def kill_entry(self, entry):
        """Kill an entry and restart it."""
        for sidecar in SIDECARS:
            if (entry, sidecar) in self.links:
                self.close_link(entry, sidecar)
        self.frozen.discard(entry)
        self.backlog.pop(entry, None)
        self.start_entry(entry)
        for attempt, sidecar in self.billed.items():
            if attempt not in self.expected_lost and not self.count_copies(
                attempt
            ):
                # The entry held the last copy, so the sidecar must have been
                # killed before.
                assert attempt in self.killed, sidecar
                self.expected_lost.add(attempt)

    @rule(sidecar=st.sampled_from(SIDECARS))
    def kill_sidecar(self, sidecar):
        """Kill a sidecar and restart it."""
        for entry in ENTRIES:
            if (entry, sidecar) in self.links:
                to_entry, to_sidecar = self.links.pop((entry, sidecar))
                to_entry.closed = to_sidecar.closed = True
                # Data that the kernel accepted from the killed process is
                # still delivered.
                while to_entry.inbox:
                    waiting = (to_sidecar, to_entry.inbox.popleft())
                    self.backlog.setdefault(entry, []).append(waiting)
                if entry not in self.frozen:
                    self.thaw(entry)
        held = self.sidecars[sidecar].held
        self.killed |= set(held)
        self.start_sidecar(sidecar)
        for attempt, bill in held.items():
            if not self.count_copies(attempt):
                # The sidecar held the only copy, because no entry was linked.
                assert bill.link is None
                self.expected_lost.add(attempt)
        for entry in ENTRIES:
            if entry not in self.frozen:
                self.open_link(entry, sidecar)

    @invariant()
    def no_duplicates(self):
        """Check that no attempt is in the ledger twice."""
        doubled = {a: n for a, n in ledger_rows(self.store).items() if n > 1}
        assert not doubled, doubled

    def teardown(self):
        """Check that every bill is in the ledger once after recovery."""
        try:
            self.recover()
        finally:
            self.patch.stop()

    def recover(self):
        """Restore the platform, processes and links, then check the ledger."""
        self.store.down = False
        for entry in ENTRIES:
            self.thaw(entry)
        for _ in range(6):
            self.now += const.RESEND_TIMEOUT_S + 1
            for entry, sidecar in itertools.product(ENTRIES, SIDECARS):
                if (entry, sidecar) not in self.links:
                    self.open_link(entry, sidecar)
                self.deliver(entry, sidecar)
            for sidecar in SIDECARS:
                self.sidecars[sidecar].sweep()
            for entry, sidecar in itertools.product(ENTRIES, SIDECARS):
                self.deliver(entry, sidecar)
            for entry in ENTRIES:
                self.entries[entry].flush()
        while self.store.late:
            self.store.apply_late_write()
        rows = ledger_rows(self.store)
        self.no_duplicates()
        missing = set(self.billed) - set(rows) - self.expected_lost
        assert not missing, missing
        assert not any(s.held for s in self.sidecars.values())
        assert not any(e.pending for e in self.entries.values())


BillingMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=200,
    stateful_step_count=40,
)
TestBilling = BillingMachine.TestCase
