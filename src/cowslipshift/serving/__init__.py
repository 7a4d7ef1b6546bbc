"""The request path from callers to backend servers.

`routing` chooses regions, data centres and hosts; `moves` chooses versions.
"""
