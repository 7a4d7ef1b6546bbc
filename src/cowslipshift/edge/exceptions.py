"""Errors on the way to backend servers and other hosts."""

from __future__ import annotations

from cowslipshift import exceptions


class NotSentError(exceptions.CowslipshiftError):
    """No byte of a request left; it certainly did not run."""

    code = "backend_unreachable"


class AnswerLostError(exceptions.CowslipshiftError):
    """A request was sent and its answer is lost; it may have run.

    Attributes:
        is_late: Whether time ran out while the connection stood.
    """

    code = "outcome_unknown"

    def __init__(self, message: str, is_timeout: bool) -> None:
        super().__init__(message)
        self.is_timeout = is_timeout


class PeerError(exceptions.CowslipshiftError):
    """Another host did not answer, or answered something else."""

    code = "peer_unavailable"
