"""Errors of what others send."""

from __future__ import annotations

from cowslipshift import exceptions


class FramingError(exceptions.CowslipshiftError):
    """What was sent exceeds a limit or is no request.

    Attributes:
        status: Status of the answer.
    """

    code = "request_malformed"

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status
