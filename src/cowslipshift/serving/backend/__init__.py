"""Attempts at owned backend servers, and forwarding to other hosts.

The package `serving.decision` chooses where a request runs; this one
allocates the slots and carries the request out.
"""
