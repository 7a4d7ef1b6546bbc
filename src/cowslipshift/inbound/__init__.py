"""Connections that others open to this process, and what they may send.

The same limits hold on all ports, before a parser keeps anything.
"""
