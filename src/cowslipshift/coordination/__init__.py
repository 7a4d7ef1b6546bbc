"""Coordination parts that work without a daemon."""
