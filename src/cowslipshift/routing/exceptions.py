"""Exceptions raised by look-ups."""

from __future__ import annotations

from cowslipshift import exceptions


class LookupRefusedError(exceptions.CowslipshiftError):
    """A look-up cannot be answered.

    Attributes:
        status: HTTP status code of the response.
    """

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(message, code)
        self.status = status
