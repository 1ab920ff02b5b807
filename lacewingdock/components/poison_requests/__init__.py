"""Support for poison requests, which crash the instances that run them.

A poison request is retried through any router and would crash one instance
after another. So would requests that are all different but share a prompt part
that crashes instances. Every router records at which instances requests were
lost, by their traits, reports these losses to the other routers, and refuses
the requests with a trait once the losses of all routers include enough crashes
that no other trait explains.
"""

import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping

from lacewingdock.components.poison_requests.address_check import AddressCheck
from lacewingdock.components.poison_requests.const import (
    CRASHES_TO_HOLD,
    MAX_LOGGED,
    PART_CRASHES_TO_SPARE,
    PUBLISH_EVERY_S,
    PUBLISH_PAUSE_S,
    SUSPECT_EXPIRY_S,
)
from lacewingdock.components.poison_requests.crash_checker import CrashChecker
from lacewingdock.components.poison_requests.culprits import find_culprits
from lacewingdock.components.poison_requests.decision import Decision
from lacewingdock.components.poison_requests.evidence import Evidence, Suspect
from lacewingdock.components.poison_requests.holds import Hold, Holds
from lacewingdock.components.poison_requests.publication import Publication
from lacewingdock.components.poison_requests.report import CrashReport
from lacewingdock.components.poison_requests.traits import (
    fingerprint_of,
    is_part,
    part_traits_of,
    traits_of,
)
from lacewingdock.components.poison_requests.trials import TrialClaim
from lacewingdock.components.upstreams.directory import Directory
from lacewingdock.components.upstreams.instance import UpstreamInstance
from lacewingdock.helpers.log import get_logger
from lacewingdock.world.call import Call

# Claims the next trial of a hold, by its name and the trials known so far.
ClaimTrial = Callable[[str, int], TrialClaim | None]

log = get_logger("suspects")


class PoisonRequests:
    """Detects poison requests and refuses them for a time.

    Attributes:
        claim_trial: Claims the right to the next trial of a hold.
        checker: Tells crashed instances from others.
        evidence: The suspect traits.
        holding: The traits whose requests are refused.
        publication: What this router reports to the others.
        counts: Decisions since the start, for the metrics.
    """

    __slots__ = (
        "_lock",
        "checker",
        "claim_trial",
        "counts",
        "evidence",
        "holding",
        "publication",
    )

    def __init__(
        self,
        directory: Directory,
        publish: Callable[[CrashReport], bool],
        claim_trial: ClaimTrial,
        check_address: Callable[[UpstreamInstance], AddressCheck],
        source: random.Random,
    ) -> None:
        """Initialize without suspect requests.

        Args:
            directory: The upstream instances.
            publish: Publishes a report to the other routers; returns whether
                the publication was stored.
            claim_trial: Claims the right to the next trial of a hold.
            check_address: Checks which instance answers at an instance's
                address.
            source: Source of the jitter of holds.
        """
        self.claim_trial = claim_trial
        self.counts: Counter[str] = Counter()
        self.checker = CrashChecker(directory, check_address, self.counts)
        self.evidence = Evidence(self.checker)
        self.holding = Holds(source)
        self.publication = Publication(self.evidence, publish)
        self._lock = threading.Lock()

    @property
    def suspects(self) -> dict[str, Suspect]:
        """The suspects by trait, least recently lost first."""
        return self.evidence.suspects

    def holds(self, call: Call, workspace: str) -> bool:
        """Whether to refuse a request because it likely crashes instances.

        The request is not hashed while there are no suspects. After a hold
        ends, one request is let through as a trial.
        """
        if not self.suspects:
            return False
        traits = traits_of(call, workspace)
        with self._lock:
            hold = self._find_hold(traits)
            if hold is None:
                self._record_let_through(call, traits)
                return False
            is_trial = self.holding.try_out(hold, call.id)
            if hold.is_trial_due:
                self.publication.due.set()
            self.counts[Decision.TRIED if is_trial else Decision.REFUSED] += 1
        if is_trial:
            log.info(
                "suspect request let through as a trial",
                request=call.id,
                traits=sorted(hold.traits),
                trial=hold.trials,
            )
        return not is_trial

    def is_held(self, call: Call, workspace: str) -> bool:
        """Whether to stop an admitted request because of a hold since then.

        The request that was let through as a trial is never stopped.
        """
        if not self.suspects:
            return False
        traits = traits_of(call, workspace)
        with self._lock:
            hold = self._find_hold(traits)
            if hold is None or hold.trial == call.id:
                return False
            self.counts[Decision.STOPPED] += 1
        log.info(
            "suspect request stopped",
            request=call.id,
            traits=sorted(hold.traits),
        )
        return True

    def is_trial(self, call: Call) -> bool:
        """Whether a request was let through as the trial of a hold."""
        return any(hold.trial == call.id for hold in self.holding.in_force)

    def is_risky(self, call: Call) -> bool:
        """Whether a retry may crash another instance.

        That is so of a trial, and by the request's parts: one that was beside
        two crashes and was never answered may well be their cause, though there
        are too few crashes to refuse requests.
        """
        if not self.suspects:
            return False
        with self._lock:
            return self.is_trial(call) or any(
                map(self._is_risky, part_traits_of(call))
            )

    def lost(
        self,
        call: Call,
        workspace: str,
        instance: str,
        sent_at: float | None = None,
    ) -> bool:
        """Record that an instance closed the connection of a running request.

        Args:
            call: The request.
            workspace: The request's workspace.
            instance: Id of the instance's incarnation.
            sent_at: Monotonic time at which the request was sent; None for
                now.

        Returns:
            Whether the request must not be attempted again.
        """
        now = time.monotonic()
        sent_at = now if sent_at is None else sent_at
        traits = traits_of(call, workspace)
        with self._lock:
            found = {
                trait: suspect
                for trait in traits
                if (
                    suspect := self.evidence.add_loss(
                        trait, instance, sent_at, now
                    )
                )
            }
            self.counts[Decision.NOTED] += 1
            own = {
                name: lost_at
                for suspect in found.values()
                for name, lost_at in suspect.own_losses.items()
            }
            known = {trait: one.losses for trait, one in found.items()}
        log.info(
            "loss",
            request=call.id,
            fingerprint=fingerprint_of(call, workspace),
            upstream=instance,
            known=known[fingerprint_of(call, workspace)],
            parts=_most(known),
        )
        is_repeated = max(known.values()) > 1
        if is_repeated or any(map(self.evidence.is_unanswered_part, known)):
            self.checker.verify(own.items())
        if is_repeated:
            self.publication.due.set()
        with self._lock:
            self.publication.update_gossip(now)
            return self._find_hold(traits) is not None

    def ended_by_close(self, call: Call, workspace: str, instance: str) -> None:
        """Record an answer whose only sign of its end was a closed connection.

        A crash leaves the same, so the answer clears the request's traits only
        once the instance is found to have survived it.
        """
        now = time.monotonic()
        with self._lock:
            for trait in traits_of(call, workspace):
                suspect = self.evidence.add_loss(trait, instance, now, now)
                if suspect is not None:
                    suspect.unconfirmed.add(instance)
                    self._check_soon(trait)

    def passed_over(self, call: Call, instance: str, why: Decision) -> None:
        """Count and log a failed attempt that does not count as a loss."""
        self.counts[why] += 1
        log.info(
            "failed attempt not counted as a loss",
            request=call.id,
            upstream=instance,
            why=why,
        )

    def answered(self, call: Call, workspace: str) -> None:
        """Drop the losses of the traits of a request with a complete answer."""
        if self.suspects:
            traits = traits_of(call, workspace)
        else:
            traits = part_traits_of(call)
        with self._lock:
            found = [one for one in traits if self._clear(one)]
        if found:
            log.info("suspects cleared", request=call.id, traits=found)

    def receive(self, router: str, report: CrashReport) -> None:
        """Add what another router reports, in a message or a publication."""
        now = time.monotonic()
        with self._lock:
            changed = [
                trait
                for trait, instances in report.losses.items()
                if self.evidence.add_peer_losses(trait, instances, now)
            ]
            for trait in report.recurrent:
                if trait in self.suspects:
                    self.suspects[trait].recurrent = True
            cleared = [
                trait
                for trait, instances in report.cleared.items()
                if self.evidence.clear(trait, instances)
            ]
            if changed or cleared:
                self._refresh(now)
            self.counts[Decision.HEARD] += len(changed)
        if changed or cleared:
            log.info(
                "losses heard",
                router=router,
                traits=len(changed),
                lost=changed[-MAX_LOGGED:],
                cleared=cleared[-MAX_LOGGED:],
            )

    def recover(self, report: CrashReport) -> None:
        """Restore the losses that an earlier start of this router published.

        They are published again: this start's report replaces the earlier one,
        which some routers may not have received.
        """
        if not report.losses:
            return
        now = time.monotonic()
        with self._lock:
            for trait, instances in report.losses.items():
                suspect = self.evidence.suspect(trait)
                suspect.recurrent |= trait in report.recurrent
                for name in instances:
                    suspect.own_losses.setdefault(name, now)
        log.info(
            "losses of an earlier start restored", traits=len(report.losses)
        )

    def run(self, stopping: threading.Event) -> None:
        """Expire and publish losses until the daemon stops."""
        while not stopping.wait(PUBLISH_PAUSE_S):
            self.publication.due.wait(PUBLISH_EVERY_S - PUBLISH_PAUSE_S)
            self.publication.due.clear()
            try:
                self.round()
            except Exception:
                # If this task ended, no losses would be published any more.
                log.exception("publication of losses failed")

    def round(self) -> None:
        """Drop expired suspects, publish new losses and claim due trials."""
        now = time.monotonic()
        with self._lock:
            for trait in self.evidence.drop_survived():
                self._clear(trait)
            self.evidence.drop_expired(now - SUSPECT_EXPIRY_S)
            losses = self.evidence.unverified(now)
        self.checker.verify(losses)
        with self._lock:
            self._refresh(now)
            self.publication.update_gossip(now)
            report = self.publication.report(now)
            due = [one for one in self.holding.in_force if one.is_trial_due]
        self.publication.publish(report)
        for hold in due:
            self._claim_trial(hold)

    def held(self) -> int:
        """Return the number of holds in force."""
        return len(self.holding.in_force)

    def _claim_trial(self, hold: Hold) -> None:
        claim = self.claim_trial(hold.name, hold.trials)
        if claim is not None:
            with self._lock:
                self.holding.record_claim(hold, claim)

    def _find_hold(self, traits: Collection[str]) -> Hold | None:
        """Return the hold that refuses requests with these traits, if any."""
        if any(map(self._is_outdated, traits)):
            self._refresh(time.monotonic())
        return self.holding.find(traits)

    def _is_outdated(self, trait: str) -> bool:
        """Whether the crashes of a trait have changed since the last look."""
        suspect = self.suspects.get(trait)
        if suspect is None or suspect.losses < CRASHES_TO_HOLD:
            return False
        return self.evidence.evaluate(suspect) != suspect.crashes

    def _refresh(self, now: float) -> None:
        """Start, extend and end holds by the present evidence."""
        accused = self.evidence.accused(CRASHES_TO_HOLD)
        held = {trait for one in self.holding.in_force for trait in one.traits}
        changed = self.holding.update(find_culprits(accused, held), now)
        self.holding.retain(self.suspects)
        self.counts[Decision.HELD] += len(changed)
        for hold in changed:
            log.warning(
                "request held back",
                traits=sorted(hold.traits),
                crashes=sorted(hold.crashes),
                hold_s=round(hold.held_until - now, 1),
            )

    def _clear(self, trait: str) -> bool:
        """Drop the losses of a trait; return whether there were any."""
        now = time.monotonic()
        found = self.evidence.answer(trait, now)
        if found is None:
            return False
        self.counts[Decision.CLEARED] += 1
        if trait in self.holding.by_trait:
            # Traits that were held together with this one are now told apart.
            self.holding.drop(trait)
            self._refresh(now)
        self.publication.add_cleared(trait, found, now)
        return True

    def _check_soon(self, trait: str) -> None:
        """Have the next round check the losses of a part without an answer."""
        if self.evidence.is_unanswered_part(trait):
            self.publication.due.set()

    def _is_risky(self, trait: str) -> bool:
        suspect = self.suspects.get(trait)
        if suspect is None or suspect.losses < PART_CRASHES_TO_SPARE:
            return False
        if not self.evidence.is_unanswered_part(trait):
            return False
        return len(self.evidence.evaluate(suspect)) >= PART_CRASHES_TO_SPARE

    def _record_let_through(self, call: Call, traits: Iterable[str]) -> None:
        """Count and log a request that is let through despite losses."""
        fingerprint = next(iter(traits))
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return
        self.counts[Decision.LET_THROUGH] += 1
        log.info(
            "suspect request let through",
            request=call.id,
            fingerprint=fingerprint,
            own=sorted(suspect.own_losses),
            told=sorted(suspect.peer_losses),
            crashed=sorted(self.evidence.evaluate(suspect)),
        )


def _most(known: Mapping[str, int]) -> dict[str, int]:
    """Return the parts with the most losses, for a log line."""
    parts = [trait for trait in known if is_part(trait)]
    parts.sort(key=known.__getitem__, reverse=True)
    return {trait: known[trait] for trait in parts[:MAX_LOGGED]}
