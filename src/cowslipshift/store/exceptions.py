"""Errors of the store client."""

from __future__ import annotations

from cowslipshift import exceptions


class StoreError(exceptions.CowslipshiftError):
    """The store did not do what was asked."""

    code = "store_error"


class StoreUnavailableError(StoreError):
    """No endpoint answered; a write may or may not have taken effect."""

    code = "store_unavailable"


class StoreAnswerError(StoreError):
    """An endpoint answered something that is not the protocol."""

    code = "store_bad_answer"


class HistoryGoneError(StoreError):
    """The store no longer has the changes that a watch asked for."""

    code = "store_history_gone"
