"""HTTP interfaces for callers and for other hosts.

This package parses, authenticates and answers requests; the package
`serving.decision` chooses where they run.
"""
