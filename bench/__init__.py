"""Measurements of daemons over loopback and of components in simulated time.

The deployments to measure come from the package `cowslipshift.standins`.
"""
