"""Authenticated links between hosts and the messages sent over them.

`cowslipshift.daemon` opens the links and handles the messages.
"""
