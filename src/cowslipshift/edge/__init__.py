"""Runs a host on a platform: requests, heartbeats, store, start and stop.

The decisions are in `cowslipshift.steering`, the platform's formats and calls
in `cowslipshift.platform`.
"""
