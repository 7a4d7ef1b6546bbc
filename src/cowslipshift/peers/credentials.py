"""Authentication between hosts by a shared secret."""

from __future__ import annotations

import hashlib
import hmac

from cowslipshift.peers import exceptions

HEADER = "X-Peer-Credential"
MAX_CREDENTIAL_AGE_S = 120
"""Largest age or clock difference at which a credential is accepted."""

MIN_SECRET_CHARS = 16


def sign_credential(secret: str, sender: str, wall_s: float) -> str:
    """Build the credential that a host sends with each call.

    Args:
        secret: The shared secret.
        sender: Name of the sending host.
        wall_s: Unix time in seconds.
    """
    stamp = str(int(wall_s))
    return f"{sender}:{stamp}:{_compute_mac(secret, sender, stamp)}"


def check_credential(secret: str, credential: str, wall_s: float) -> str:
    """Check a credential and return the name of the sender.

    Raises:
        PeerAuthenticationError: The credential is missing, forged or too old.
    """
    parts = credential.split(":")
    if len(parts) != 3 or not parts[1].isdecimal():
        raise exceptions.PeerAuthenticationError(
            "no valid peer credential was sent"
        )
    sender, stamp, mac = parts
    if not hmac.compare_digest(mac, _compute_mac(secret, sender, stamp)):
        raise exceptions.PeerAuthenticationError(
            "the peer credential was made with another secret"
        )
    if abs(wall_s - int(stamp)) > MAX_CREDENTIAL_AGE_S:
        raise exceptions.PeerAuthenticationError(
            "the peer credential is too old; check the hosts' clocks"
        )
    return sender


def _compute_mac(secret: str, sender: str, stamp: str) -> str:
    return hmac.new(
        secret.encode(), f"{sender}:{stamp}".encode(), hashlib.sha256
    ).hexdigest()
