"""Decides whether a request is admitted and which host runs it.

`serving.backend` runs the admitted requests on backend servers.
"""
