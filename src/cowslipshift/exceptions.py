"""Base class of all errors."""

from __future__ import annotations


class CowslipshiftError(Exception):
    """An error with a stable code.

    Attributes:
        code: A short, stable identifier that callers and operators may match
            on.
        message: A sentence that says what happened and what to do next.
    """

    code = "internal"

    def __init__(self, message: str, code: str | None = None) -> None:
        super().__init__(message)
        self.message = message
        if code is not None:
            self.code = code

    def __str__(self) -> str:
        return f"[{self.code}] {self.message}"
