"""Balancing, quotas and roll-outs of one host on a platform, without I/O.

Time is passed as an argument. `edge` feeds it the requests, the store's
changes and the heartbeats of other hosts.
"""
