"""Look-up tables of places, servers, services and accounts.

They are built from the configuration that `cowslipshift.config` defines.
"""
