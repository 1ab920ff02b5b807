"""Properties of an answer under any sequence of events on its links."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, rule

from lacewingdock.components.answers.answer import LinkLost
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.links.messages import Chunk, Finish, Resume
from tests.memory_links import Pair, attempt_of

COUNTS = st.integers(1, 5)


class AnswerEvents(RuleBasedStateMachine):
    """The caller has a prefix of what its upstream sent, then all or an error.

    Symptom: an answer that lacks a piece, has one twice, has another's, or
    never ends. Sequence: any of the rules below. Cause: whatever they find.
    """

    def __init__(self) -> None:
        super().__init__()
        self.pair = Pair()
        self.answer = self.pair.answers.ask(self.pair.upstream, attempt_of())
        self.other = self.pair.answers.ask(
            self.pair.upstream, attempt_of("a2", resumable=True)
        )
        self.pair.move(self.pair.links[0])
        self.run = self.pair.runs.run_store.get("a1")
        self.made: list[bytes] = []
        self.taken: list[bytes] = []
        self.error: LacewingdockError | None = None
        self.may_fail = False

    @rule(count=COUNTS)
    def produce(self, count):
        """Let the upstream make pieces."""
        for _ in range(count):
            if self.run.outcome is None:
                self.made.append(b"piece %d" % len(self.made))
                self.run.add(self.made[-1])

    @rule()
    def end(self):
        """Let the upstream end its answer."""
        if self.run.outcome is None:
            self.run.end(Finish("a1", 0))

    @rule(count=COUNTS, index=st.integers(0, 9))
    def arrive(self, count, index):
        """Let frames of any link arrive, also of a closed one."""
        # A closed link that thaws delivers what it held back.
        link = self.pair.links[index % len(self.pair.links)]
        self.pair.move(link.other, count)
        if not link.closed:
            self.pair.move(link, count)

    @rule(index=st.integers(0, 9))
    def repeat_frame(self, index):
        """Send a frame again."""
        sent = self.pair.links[-1].other.sent
        if sent:
            sent.append(sent[index % len(sent)])

    @rule(index=st.integers(0, 9))
    def reorder(self, index):
        """Let a frame overtake others."""
        sent = self.pair.links[-1].other.sent
        if len(sent) > 1:
            sent.insert(index % len(sent), sent.pop())

    @rule()
    def fall_silent(self):
        """Let the newest link swallow all that is sent."""
        link = self.pair.links[-1]
        link.silent = link.other.silent = True

    @rule()
    def give_up(self):
        """Close the newest link and open another."""
        self.pair.close(self.pair.links[-1])
        self.pair.connect()

    @rule(offset=st.integers(0, 9))
    def intrude(self, offset):
        """Forge frames and resume for another workspace."""
        pair, current = self.pair, self.answer.current
        stranger = pair.connect()
        pair.upstream.set_link(pair.links[-2])
        pair.links[-1], pair.links[-2] = pair.links[-2], pair.links[-1]
        pair.entry_peers.deliver(stranger, Chunk(current, offset, b"forged"))
        seen = len(stranger.other.sent)
        pair.peers.deliver(stranger.other, Resume("x", "a1", "other", 0))
        frames = stranger.other.sent[seen:]
        assert not any(isinstance(f, Chunk | Finish) for f in frames)
        pair.close(stranger)

    @rule()
    def evict(self):
        """Drop the pieces of an ended answer."""
        if self.run.outcome is not None:
            self.run.evict()
            self.may_fail = True

    @rule()
    def restart_sidecar(self):
        """Replace the sidecar by one without memory."""
        for link in self.pair.links:
            self.pair.close(link)
        self.pair.start_sidecar()
        self.pair.connect()
        self.may_fail = True

    @rule()
    def take(self):
        """Take what there is, as the caller does."""
        answer = self.answer
        is_over = self.error or answer.finish
        if is_over or (answer.held is None and answer.events.empty()):
            return
        try:
            got = answer.take()
            if isinstance(got, LinkLost):
                self.pair.answers.reattach(answer)
            else:
                self.taken += got
        except LacewingdockError as error:
            self.error = error
        assert self.taken == self.made[: len(self.taken)]

    def teardown(self):
        """Let all come to rest: then it must be over, one way or the other."""
        pair, answer = self.pair, self.answer
        self.end()
        for _ in range(50):
            pair.deliver_all()
            if pair.links[-1].silent:
                self.give_up()
            self.take()
        assert self.error or answer.finish, "the caller would wait for good"
        assert self.may_fail or not self.error, self.error
        if answer.finish:
            assert self.taken == self.made
        for each in (answer, self.other):
            pair.answers.drop(each, cancel=True)
        pair.deliver_all()
        for link in pair.links:
            assert link.busy.value == 0, "an entry's link stays busy"
            assert link.closed or link.other.busy.value == 0


AnswerEvents.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=30
)
TestAnswerEvents = AnswerEvents.TestCase
