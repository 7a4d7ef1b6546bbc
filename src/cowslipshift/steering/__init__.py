"""Decisions of a host on a platform: no network, time is an argument."""
