"""Errors of the links between hosts."""

from __future__ import annotations

from cowslipshift import exceptions


class PeerError(exceptions.CowslipshiftError):
    """Base class of errors in the communication between hosts."""

    code = "peer_error"


class PeerMessageError(PeerError):
    """A peer sent a message that cannot be decoded."""

    code = "peer_bad_message"


class PeerAuthenticationError(PeerError):
    """A peer did not prove that it knows the shared secret."""

    code = "peer_unauthenticated"


class PeerUnreachableError(PeerError):
    """No link to the peer is open."""

    code = "peer_unreachable"
