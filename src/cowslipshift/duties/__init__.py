"""Duties that one host at a time has for all hosts.

Decisions only: they take the present time, and know no names of a platform.
"""
