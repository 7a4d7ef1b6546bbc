"""The daemon of an entry host configured by `cowslipshift.config`.

`cowslipshift.edge` is the daemon of a host that is configured by a platform.
"""
