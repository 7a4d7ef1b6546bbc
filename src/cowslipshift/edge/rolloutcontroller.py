"""Evaluates roll-outs and writes their next stages to the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.platform import codec
from cowslipshift.platform import names
from cowslipshift.steering import rollouts
from cowslipshift.store import exceptions as store_exceptions
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from cowslipshift import clock as clocks
    from cowslipshift.edge import watcher as watchers
    from cowslipshift.platform import store as stores
    from cowslipshift.steering import balancer as balancers


class RolloutController:
    """Writes the stage of a roll-out when it is this host's turn.

    Args:
        clock: Source of the present time.
        balancer: Holds the roll-outs.
        store: The platform's store.
        watcher: Receives whether the store answers.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        balancer: balancers.Balancer,
        store: stores.PlatformStore,
        watcher: watchers.Watcher,
    ) -> None:
        self._clock = clock
        self._balancer = balancer
        self._store = store
        self._watcher = watcher
        self._log = logs.EventLog("verdicts")

    async def evaluate(self, now: float) -> None:
        """Evaluate all roll-outs and write the stages that are due.

        A host that can't tell whether its replica is recent leaves them to
        others: they may have gone further.
        """
        if not self._watcher.is_current(now):
            return
        membership = self._balancer.membership
        hosts = [member.name for member in membership.list_usable(now)]
        for rollout in list(self._balancer.rollouts.values()):
            stage = rollout.propose_stage(
                now, self._clock.wall(), membership.own.name, hosts
            )
            if stage is not None:
                await self._write_stage(rollout, stage)

    async def _write_stage(
        self, rollout: rollouts.Rollout, stage: rollouts.Stage
    ) -> None:
        key = names.STAGE_PREFIX + rollout.service
        state = "running" if stage.state == rollouts.WATCHING else stage.state
        started_s = self._clock.now()
        try:
            is_written = await self._store.swap_items(
                {key: rollout.stage_revision},
                {
                    key: rollouts.encode_stage(stage),
                    names.STATUS_PREFIX + rollout.service: codec.encode_status(
                        stage.version, state
                    ),
                },
            )
        except store_exceptions.StoreError as error:
            self._watcher.record_store_failure(error, started_s)
            self._watcher.request_changes()
            return
        self._log.info(
            "stage_written" if is_written else "stage_lost",
            service=rollout.service,
            state=state,
            step=stage.step,
            reason=stage.reason,
        )
        # The new stage comes back through the replica of the store; until
        # then no other stage is due.
        rollout.defer(now=self._clock.now())
        if not is_written:
            self._watcher.request_changes()
