"""Chooses region, data centre and host for look-ups and requests.

`serving` sends the requests to the hosts that are chosen here.
"""
