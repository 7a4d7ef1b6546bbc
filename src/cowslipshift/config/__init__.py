"""The operators' configuration: format, validation, changes, differences.

`cowslipshift.topology` builds the look-up tables from it that hosts use.
"""
