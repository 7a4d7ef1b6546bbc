"""All connections that others have opened to this process."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from cowslipshift.inbound import limits as inbound_limits
from cowslipshift.inbound import waiting
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from cowslipshift import clock as clocks

REQUEST_TIMEOUT_STATUS = 408
"""Answer to a head that is late; it says that nothing ran."""


class Connection(Protocol):
    """A connection, as far as it can be closed.

    Attributes:
        unread_bytes: Bytes of answers that were not taken when it was
            looked at last.
    """

    unread_bytes: int

    def __hash__(self) -> int:
        """Return a hash by identity."""

    def close_expired(self, status: int | None) -> None:
        """Close it because it has waited too long."""

    def abort(self) -> None:
        """Reset it."""

    def has_unread(self) -> bool:
        """Tell whether bytes have arrived that were not read yet."""

    def count_unread_bytes(self) -> int:
        """Return the bytes of answers that the other end has not taken."""


class ConnectionRegister:
    """Closes connections that wait too long, or are too many.

    Args:
        clock: Source of the present time.
        max_waiting: Connections that may wait without a whole request.

    Attributes:
        limits: Limits of each connection; may be replaced at any time.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        max_waiting: int = inbound_limits.MAX_WAITING,
    ) -> None:
        self.limits = inbound_limits.InboundLimits()
        self._clock = clock
        self._waiting: waiting.WaitingConnections[Connection] = (
            waiting.WaitingConnections(max_waiting)
        )
        self._log = logs.EventLog("inbound")

    def record(self, connection: Connection, wait: waiting.Wait) -> None:
        """Record what a connection waits for; close others that are too many.

        Args:
            connection: The connection.
            wait: What it waits for.
        """
        self._waiting.record(connection, wait, self._clock.now())
        for chosen in self._waiting.choose_excess():
            self._waiting.discard(chosen)
            self._log.notice("connection_evicted", waiting=len(self._waiting))
            chosen.abort()

    def record_unread(self, connection: Connection) -> None:
        """Record that a caller does not take an answer."""
        connection.unread_bytes = connection.count_unread_bytes()
        self.record(connection, waiting.Wait.UNREAD)
        self._abort_excess_unread()

    def forget(self, connection: Connection) -> None:
        """Record that a connection does not wait, or is closed."""
        self._waiting.discard(connection)

    def close_expired(self) -> None:
        """Close the connections that have waited too long."""
        now, limits = self._clock.now(), self.limits
        for wait, timeout_s, status in (
            (
                waiting.Wait.HEAD,
                limits.header_timeout_s,
                REQUEST_TIMEOUT_STATUS,
            ),
            (waiting.Wait.FIRST, limits.idle_timeout_s, None),
            (waiting.Wait.NEXT, limits.idle_timeout_s, None),
        ):
            for connection in self._waiting.list_since(wait, now - timeout_s):
                # What has arrived may be a request: the process may have
                # been paused meanwhile.
                if not connection.has_unread():
                    self._waiting.discard(connection)
                    connection.close_expired(status)
        for connection in self._waiting.list_since(
            waiting.Wait.UNREAD, now - limits.unread_timeout_s
        ):
            self._check_unread(connection)
        self._abort_excess_unread()

    def _check_unread(self, connection: Connection) -> None:
        """Reset a connection unless some of its answers were taken."""
        size = connection.count_unread_bytes()
        is_moving = size < connection.unread_bytes
        self._waiting.discard(connection)
        if is_moving:
            self.record_unread(connection)
            return
        self._log.notice("answer_not_taken", size=size)
        connection.abort()

    def _abort_excess_unread(self) -> None:
        """Reset those that hold up most, if all together hold too much."""
        stalled = self._waiting.list_waiting(waiting.Wait.UNREAD)
        if not stalled:
            return
        held = sum(connection.count_unread_bytes() for connection in stalled)
        for connection in stalled:
            if held <= inbound_limits.MAX_UNREAD_BYTES:
                return
            held -= connection.count_unread_bytes()
            self._waiting.discard(connection)
            self._log.notice("answers_not_taken", size=held)
            connection.abort()
