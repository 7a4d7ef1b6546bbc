"""The platform's names, formats and calls, without decisions.

`cowslipshift.edge` runs a host with them; `cowslipshift.steering` decides.
"""
