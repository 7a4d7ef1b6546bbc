"""Implements the commands, one module for each group.

The `cowslipshift.console` package has what they share: access to the store
and to the hosts, and the output.
"""
