"""Records exactly one outcome for each move in the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.store import exceptions
from cowslipshift.store import keys
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from cowslipshift import clock as clocks
    from cowslipshift.moves import controller as controllers
    from cowslipshift.store import client as clients

EVALUATION_INTERVAL_S = 0.25
RECORD_INTERVAL_S = 1.0


class OutcomeRecord(msgspec.Struct):
    """Stored outcome of a move that ended."""

    verdict: str
    host: str
    at_ms: int


class MoveRecorder:
    """Evaluates moves at an interval and records their outcomes.

    Args:
        host: Name of this host.
        clock: Source of the present time.
        store: Client of the platform's key-value store.
        controller: Evaluates moves.
        send_evidence: Sends this host's counters to other hosts.
    """

    def __init__(
        self,
        host: str,
        clock: clocks.Clock,
        store: clients.StoreClient,
        controller: controllers.MoveController,
        send_evidence: Callable[[], None],
    ) -> None:
        self._host = host
        self._clock = clock
        self._store = store
        self._controller = controller
        self._send_evidence = send_evidence
        self._log = logs.EventLog("moves")

    async def run_evaluation(self) -> None:
        """Send counters and evaluate moves until cancelled."""
        while True:
            self._send_evidence()
            self._controller.evaluate_moves(self._clock.wall())
            await asyncio.sleep(EVALUATION_INTERVAL_S)

    async def run_recording(self) -> None:
        """Record outcomes until cancelled; failed writes are repeated."""
        while True:
            for name, outcome in self._controller.list_unrecorded_outcomes(
                self._clock.wall()
            ):
                try:
                    await self._record(name, outcome)
                except exceptions.StoreError as error:
                    self._log.info(
                        "verdict_unrecorded", move=name, reason=error
                    )
            await asyncio.sleep(RECORD_INTERVAL_S)

    async def _record(self, name: str, outcome: str) -> None:
        """Store an outcome unless there is one, and publish the stored one."""
        key = keys.MOVE_OUTCOMES + name
        stored = await self._store.get_key(key)
        if stored is None:
            record = OutcomeRecord(
                outcome, self._host, int(self._clock.wall() * 1000)
            )
            await self._store.swap_key(key, msgspec.json.encode(record), 0)
            stored = await self._store.get_key(key)
        if stored is None:
            return
        try:
            recorded = msgspec.json.decode(stored.value, type=OutcomeRecord)
        except msgspec.DecodeError as error:
            raise exceptions.StoreAnswerError(
                f"malformed outcome record of move {name}: {error}"
            ) from error
        self._controller.publish_outcome(name, recorded.verdict)
        self._log.info(
            "verdict", move=name, verdict=recorded.verdict, by=recorded.host
        )
