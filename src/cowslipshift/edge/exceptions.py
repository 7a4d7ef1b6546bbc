"""Errors of requests to backend servers and to other hosts."""

from __future__ import annotations

from cowslipshift import exceptions


class NotSentError(exceptions.CowslipshiftError):
    """No byte of a request was sent; it certainly did not run.

    Attributes:
        is_late: Whether the request's own time was over before the server
            had time to accept a connection.
    """

    code = "backend_unreachable"

    def __init__(self, message: str, is_late: bool = False) -> None:
        super().__init__(message)
        self.is_late = is_late


class AnswerLostError(exceptions.CowslipshiftError):
    """A request was sent but got no valid answer; it may have run.

    Attributes:
        is_timeout: Whether the time limit passed after the connection was
            established.
    """

    code = "outcome_unknown"

    def __init__(self, message: str, is_timeout: bool) -> None:
        super().__init__(message)
        self.is_timeout = is_timeout


class ForeignAnswerError(AnswerLostError):
    """The answer that arrived belongs to another request."""

    code = "foreign_answer"

    def __init__(self) -> None:
        super().__init__("answer to another request", False)


class PeerError(exceptions.CowslipshiftError):
    """Another host did not answer, or its answer is not valid."""

    code = "peer_unavailable"
