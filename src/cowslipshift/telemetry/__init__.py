"""Writes log lines, explains requests from them, and keeps metrics.

The `cowslipshift.daemon` and `cowslipshift.edge` packages install the log
handler; `cowslipshift.console` prints the explanations.
"""
