"""Membership, ownership, quotas and outcomes, without a central coordinator.

Holds state and decisions only; the ``daemon`` package connects them to the
network, the clock and the platform's store.
"""
