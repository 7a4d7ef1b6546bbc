"""Implements the ``cowslipshift`` command line for operators and callers.

It changes the configuration with `cowslipshift.config` and asks the hosts,
which `cowslipshift.daemon` runs, for their status.
"""
