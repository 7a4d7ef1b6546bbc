"""Keys and key prefixes in the etcd store."""

from __future__ import annotations

PREFIX = "/cowslipshift/"
CONFIGURATION = PREFIX + "configuration"
CHANGES = PREFIX + "changes/"
"""Prefix of change records by change id; each expires with its lease."""

HOSTS = PREFIX + "hosts/"
"""Prefix of the records with the last incarnation of each host."""

FENCES = PREFIX + "fences/"
"""Prefix of the records of fenced incarnations, one for each data centre."""

MOVE_OUTCOMES = PREFIX + "verdicts/"
"""Prefix of the records with the outcome of each version move."""

PLATFORM_HOSTS = "/platform/hosts/"
"""Prefix of the platform's list of live and leaving hosts, which lags."""

CHANGE_RECORD_TTL_S = 86_400
