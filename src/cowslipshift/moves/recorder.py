"""Recording the outcome of moves in the store, exactly one for each."""

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
    """What the store keeps of a move that ended."""

    verdict: str
    host: str
    at_ms: int


class MoveRecorder:
    """Judges at an interval and records outcomes.

    Args:
        host: Name of this host.
        clock: Source of the present time.
        store: The platform's store.
        controller: Judges moves.
        send: Sends this host's counters to others.
    """

    def __init__(
        self,
        host: str,
        clock: clocks.Clock,
        store: clients.StoreClient,
        controller: controllers.MoveController,
        send: Callable[[], None],
    ) -> None:
        self._host = host
        self._clock = clock
        self._store = store
        self._controller = controller
        self._send = send
        self._log = logs.EventLog("moves")

    async def run_evaluation(self) -> None:
        """Exchange evidence and judge, until cancelled."""
        while True:
            self._send()
            self._controller.evaluate_moves(self._clock.wall())
            await asyncio.sleep(EVALUATION_INTERVAL_S)

    async def run_recording(self) -> None:
        """Record outcomes as the store permits, until cancelled."""
        while True:
            for name, verdict in self._controller.list_unrecorded_outcomes(
                self._clock.wall()
            ):
                try:
                    await self._record(name, verdict)
                except exceptions.StoreError as error:
                    self._log.info(
                        "verdict_unrecorded", move=name, reason=error
                    )
            await asyncio.sleep(RECORD_INTERVAL_S)

    async def _record(self, name: str, verdict: str) -> None:
        """Record a verdict unless there is one; the recorded one counts."""
        key = keys.VERDICTS + name
        known = await self._store.get_key(key)
        if known is None:
            record = OutcomeRecord(
                verdict, self._host, int(self._clock.wall() * 1000)
            )
            await self._store.swap_key(key, msgspec.json.encode(record), 0)
            known = await self._store.get_key(key)
        if known is None:
            return
        try:
            recorded = msgspec.json.decode(known.value, type=OutcomeRecord)
        except msgspec.DecodeError as error:
            raise exceptions.StoreAnswerError(
                f"the verdict on {name} is malformed: {error}"
            ) from error
        self._controller.publish_outcome(name, recorded.verdict)
        self._log.info(
            "verdict", move=name, verdict=recorded.verdict, by=recorded.host
        )
