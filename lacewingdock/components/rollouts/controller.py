"""Support for advancing roll-outs, one conditional update at a time.

Any entry may be the controller's holder and any step may be its last, so:

- The record says what shall be; a step makes one thing so and comes again
  until it is so. The next holder starts from the record.
- A holder first *adopts* a record: it writes its fencing number there, which
  fails every step that an earlier holder based on the record it read.
- It then *seals* the model: it writes the same shares again, which fails
  every write that an earlier holder based on the model it read.
- A step reads the model before the record. The other way round, a holder
  frozen between the two would read the model after the seal, and its stale
  shares would be taken.
"""

import time
from collections.abc import Callable
from concurrent.futures import Executor
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from lacewingdock.components.exposure.increments import Levels
from lacewingdock.components.orders.const import ACTION_LOAD, ACTION_UNLOAD
from lacewingdock.components.rollouts.const import (
    BY_CONTROLLER,
    MAX_LEFT_OUT,
    NAME,
    STATE_DONE,
    STATE_RAISING,
    STATE_RETURNED,
    STATE_RETURNING,
    STATE_UNLOADING,
)
from lacewingdock.components.rollouts.loading import Loading, SendOrder
from lacewingdock.components.rollouts.record import Rollout, decode_rollout
from lacewingdock.components.rollouts.verdict import (
    GoOn,
    Hold,
    Return,
    Verdict,
)
from lacewingdock.const import (
    COLLECTION_CONFIG,
    COLLECTION_ROLLOUTS,
    KIND_MODEL,
    KIND_VERSION,
)
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.ids import new_id
from lacewingdock.helpers.log import get_logger
from lacewingdock.platform.store import Stored
from lacewingdock.world.objects import Instance

log = get_logger(NAME)

PURPOSE = "rollouts"


@dataclass(slots=True)
class Basis:
    """What one step is based on; read in this order.

    Attributes:
        model: The model's configuration.
        version: The version's configuration.
        stored: The roll-out's object.
        rollout: The roll-out.
    """

    model: Stored
    version: Stored
    stored: Stored
    rollout: Rollout


class Controller:
    """Advances every roll-out while this entry holds the lease.

    Attributes:
        store: The platform.
        engines: Returns the engines of a pool.
        send: Sends an order to an engine's sidecar.
        executor: Runs orders side by side.
        verdict: What is thought of a version now; replaced by whoever
            judges ratings and errors.
        levels: What entries shall compare a version with.
        ended: Told the ids of all active roll-outs after each round.
        clock: Wall-clock seconds, for pacing only.
        loadings: What this holder knows of engines, by roll-out id.
    """

    __slots__ = (
        "clock",
        "ended",
        "engines",
        "executor",
        "levels",
        "loadings",
        "send",
        "store",
        "verdict",
    )

    def __init__(
        self,
        store: Any,
        engines: Callable[[str], list[Instance]],
        send: SendOrder,
        executor: Executor,
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Start knowing nothing."""
        self.store = store
        self.engines = engines
        self.send = send
        self.executor = executor
        self.verdict: Callable[[Rollout], Verdict] = lambda rollout: GoOn()
        self.levels: Callable[[Rollout], Levels] = lambda r: r.levels
        self.ended: Callable[[set[str]], None] = lambda active: None
        self.clock = clock
        self.loadings: dict[str, Loading] = {}

    def work(self, fencing: int) -> None:
        """Advance every active roll-out by a step.

        Raises:
            LacewingdockError: CONFLICT when what a step was based on has
                changed, perhaps since another holds the lease.
        """
        active: set[str] = set()
        failed: LacewingdockError | None = None
        listing = self.store.list_all(COLLECTION_ROLLOUTS, PURPOSE)
        for stored in listing.objects:
            try:
                rollout = decode_rollout(stored)
                if rollout is None or not rollout.active:
                    continue
                active.add(rollout.id)
                self.advance(rollout.model, rollout.version, fencing)
            except LacewingdockError as error:
                if error.kind is ErrorKind.PLATFORM_UNAVAILABLE:
                    raise
                # One roll-out in conflict, or one unreadable record, must
                # not stop the others. A conflict is what the lease's holder
                # has to hear of.
                if failed is None or error.kind is ErrorKind.CONFLICT:
                    failed = error
        self.loadings = {k: v for k, v in self.loadings.items() if k in active}
        self.ended(active)
        if failed is not None:
            raise failed

    def advance(self, model: str, version: str, fencing: int) -> None:
        """Do the next step of one model's roll-out.

        Raises:
            LacewingdockError: As `work`.
        """
        basis = self._read(model, version)
        if basis is None:
            return
        rollout = basis.rollout
        if rollout.fencing > fencing:
            raise LacewingdockError(
                ErrorKind.CONFLICT, f"roll-out of {model}: another holds it"
            )
        if rollout.fencing < fencing:
            self._put(basis, fencing=fencing, sealed=False)
            return
        if rollout.state == STATE_UNLOADING:
            self._unload(basis)
            return
        if basis.model.value is None:
            self._put(basis, state=STATE_RETURNED, reason="the model is gone")
            return
        if not rollout.sealed:
            self._seal(basis)
            return
        if self._foreign(basis):
            self._yield_model(basis)
            return
        if rollout.state != STATE_RETURNING and _withdrawn(basis.version):
            self._put(
                basis, state=STATE_RETURNING, reason="the version is withdrawn"
            )
            return
        match rollout.state:
            case "loading":
                self._load(basis)
            case "raising":
                self._raise(basis)
            case _:
                self._return(basis)

    def _read(self, model: str, version: str) -> Basis | None:
        """Read what a step is based on: the record last."""
        model_object = self.store.get(
            COLLECTION_CONFIG, f"{KIND_MODEL}/{model}", PURPOSE
        )
        version_object = self.store.get(
            COLLECTION_CONFIG, f"{KIND_VERSION}/{version}", PURPOSE
        )
        stored = self.store.get(COLLECTION_ROLLOUTS, model, PURPOSE)
        rollout = decode_rollout(stored)
        if rollout is None or not rollout.active:
            return None
        if rollout.version != version:
            return None
        return Basis(model_object, version_object, stored, rollout)

    def _seal(self, basis: Basis) -> None:
        """Shut earlier holders out of the model."""
        if self._foreign(basis):
            # Another has written the model since, which shuts them out too.
            self._put(basis, sealed=True)
            return
        revision = self._write_model(basis, basis.model.value)
        self._put(basis, sealed=True, model_revision=revision)

    def _foreign(self, basis: Basis) -> bool:
        """Tell whether somebody else wrote the model meanwhile."""
        return (
            basis.model.revision != basis.rollout.model_revision
            and not basis.model.writer.startswith(f"{basis.rollout.id}:")
        )

    def _yield_model(self, basis: Basis) -> None:
        """Leave the model to whoever wrote it, and say so.

        An operator's newer shares are never overwritten. Resuming goes on
        from them as the shares to return to; aborting leaves them.
        """
        rollout = basis.rollout
        if rollout.state == STATE_RETURNING:
            self._finish_return(basis)
            return
        if not rollout.paused:
            self._put(
                basis,
                paused=True,
                by=BY_CONTROLLER,
                reason=(
                    f"model/{rollout.model} was written by "
                    f"{basis.model.writer or 'another'} at revision "
                    f"{basis.model.revision}"
                ),
            )

    def _load(self, basis: Basis) -> None:
        rollout = basis.rollout
        if rollout.paused:
            return
        engines, loading = self._load_some(rollout)
        left_out = loading.left_out() & {e.address for e in engines}
        if len(loading.loaded) + len(left_out) < len(engines):
            if rollout.loaded != len(loading.loaded):
                self._put(
                    basis, loaded=len(loading.loaded), engines=len(engines)
                )
            return
        if not engines or len(left_out) > MAX_LEFT_OUT * len(engines):
            loading.failures.clear()
            self._put(
                basis,
                paused=True,
                by=BY_CONTROLLER,
                reason=f"{len(left_out)} of {len(engines)} engines "
                "do not load it",
            )
            return
        self._put(
            basis,
            state=STATE_RAISING,
            step=0,
            entered=self.clock(),
            loaded=len(loading.loaded),
            engines=len(engines),
        )

    def _unload(self, basis: Basis) -> None:
        """Order the version out of the engines; shares are not touched."""
        rollout = basis.rollout
        if rollout.paused:
            return
        if not _withdrawn(basis.version):
            self._put(
                basis, state=STATE_RETURNED, reason="the version is offered"
            )
            return
        engines, loading = self._load_some(rollout, ACTION_UNLOAD)
        left_out = loading.left_out() & {e.address for e in engines}
        count = len(loading.loaded)
        if count + len(left_out) >= len(engines):
            reason = f"{len(left_out)} left out" if left_out else ""
            self._put(
                basis,
                state=STATE_DONE,
                reason=reason,
                loaded=count,
                engines=len(engines),
            )
        elif rollout.loaded != count:
            self._put(basis, loaded=count, engines=len(engines))

    def _load_some(
        self, rollout: Rollout, action: str = ACTION_LOAD
    ) -> tuple[list[Instance], Loading]:
        engines = self.engines(rollout.pool)
        loading = self.loadings.setdefault(rollout.id, Loading(action))
        loading.advance(
            engines,
            rollout.version,
            rollout.fencing,
            rollout.parallel,
            self.send,
            self.executor,
        )
        return engines, loading

    def _raise(self, basis: Basis) -> None:
        rollout = basis.rollout
        verdict = self.verdict(rollout)
        if isinstance(verdict, Return):
            self._put(
                basis,
                state=STATE_RETURNING,
                withdraw=True,
                reason=verdict.reason,
                by=BY_CONTROLLER,
            )
            return
        if not self._shares_are(basis, rollout.shares(), rollout.version):
            return
        levels = self.levels(rollout)
        if rollout.paused:
            self._put_levels(basis, levels)
            return
        # Engines that were replaced come up without the version.
        self._load_some(rollout)
        if self.clock() - rollout.entered < rollout.dwell_s:
            self._put_levels(basis, levels)
            return
        match verdict:
            case Hold(reason=reason) if rollout.reason != reason:
                self._put(basis, reason=reason, levels=levels)
            case Hold():
                self._put_levels(basis, levels)
            case GoOn() if rollout.step + 1 < len(rollout.steps):
                self._put(
                    basis,
                    step=rollout.step + 1,
                    entered=self.clock(),
                    reason="",
                )
            case GoOn():
                self._put(basis, state=STATE_DONE, reason="")

    def _put_levels(self, basis: Basis, levels: Levels) -> None:
        """Write the levels if they moved."""
        if levels != basis.rollout.levels:
            self._put(basis, levels=levels)

    def _return(self, basis: Basis) -> None:
        if self._shares_are(basis, basis.rollout.old_shares, ""):
            self._finish_return(basis)

    def _finish_return(self, basis: Basis) -> None:
        """Withdraw the version if it is bad, then end."""
        if basis.rollout.withdraw and not _withdrawn(basis.version):
            self.store.put(
                COLLECTION_CONFIG,
                basis.version.name,
                {**basis.version.value, "state": "withdrawn"},
                basis.version.revision,
                PURPOSE,
                f"{basis.rollout.id}:{new_id()}",
            )
            return
        self._put(basis, state=STATE_RETURNED)

    def _shares_are(
        self, basis: Basis, shares: dict[str, float], incoming: str
    ) -> bool:
        """Tell whether the model has the shares; if not, write them.

        Args:
            basis: What the step is based on.
            shares: The shares wanted.
            incoming: The version that entries shall watch; empty for none.
        """
        value = basis.model.value
        wanted = {**value, "shares": shares, "incoming": incoming}
        if not incoming:
            del wanted["incoming"]
        if value == wanted:
            return True
        revision = self._write_model(basis, wanted)
        self._put(basis, model_revision=revision, entered=self.clock())
        return False

    def _write_model(self, basis: Basis, value: Any) -> int:
        stored: Stored = self.store.put(
            COLLECTION_CONFIG,
            basis.model.name,
            value,
            basis.model.revision,
            PURPOSE,
            f"{basis.rollout.id}:{new_id()}",
        )
        return stored.revision

    def _put(self, basis: Basis, **changes: Any) -> None:
        rollout = replace(basis.rollout, **changes)
        self.store.put(
            COLLECTION_ROLLOUTS,
            basis.stored.name,
            msgspec.to_builtins(rollout),
            basis.stored.revision,
            PURPOSE,
            f"{rollout.id}:{new_id()}",
        )
        log.info(
            "roll-out",
            model=rollout.model,
            version=rollout.version,
            state=rollout.state,
            share=rollout.share,
            paused=rollout.paused,
            reason=rollout.reason,
            fencing=rollout.fencing,
        )


def _withdrawn(version: Stored) -> bool:
    value = version.value or {"state": "withdrawn"}
    return bool(value.get("state") == "withdrawn")
