"""Reads the era of the platform's store from its answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.platform import names
from cowslipshift.store import exceptions
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

MAX_ERA_DIGITS = 9


class EraReader:
    """Follows the era of the store.

    Args:
        on_era: Called with each era that is later than the known one.

    Attributes:
        era: The latest era; 0 as long as the store has stated none.
    """

    def __init__(self, on_era: Callable[[int], None]) -> None:
        self.era = 0
        self._on_era = on_era
        self._has_logged = False
        self._log = logs.EventLog("store")

    def read(self, headers: Mapping[str, str]) -> int:
        """Return the era of an answer, or the known one if it states none.

        Raises:
            StoreAnswerError: The answer is from an earlier era, so that what
                it tells may no longer hold.
        """
        text = headers.get(names.STORE_ERA_HEADER)
        if text is None and not self.era:
            return 0
        if (
            text is None
            or not (text.isascii() and text.isdigit())
            or len(text) > MAX_ERA_DIGITS
        ):
            self._log_once("the header has no number")
            return self.era
        era = int(text)
        if era < self.era:
            self._log_once(f"era {era} came after era {self.era}")
            raise exceptions.StoreAnswerError(
                f"the store answered from era {era}, after era {self.era}"
            )
        if era > self.era:
            self.era = era
            self._on_era(era)
        return era

    def _log_once(self, reason: str) -> None:
        if not self._has_logged:
            self._has_logged = True
            self._log.error(
                "store_era_invalid",
                code=exceptions.StoreAnswerError.code,
                era=self.era,
                reason=reason,
            )
