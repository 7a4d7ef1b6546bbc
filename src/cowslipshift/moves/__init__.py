"""Moves: gradual rollouts of a new service version with automatic rollback.

`serving` sends requests to the versions chosen here and reports how they went.
"""
