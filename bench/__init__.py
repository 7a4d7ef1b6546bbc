"""Measurements on real daemons over loopback."""
