"""Stand-ins for the store, backend servers and whole deployments, for tests.

The package `cowslipshift.console` starts them from the command line.
"""
