"""Names of the keys that the system uses in the store."""

from __future__ import annotations

PREFIX = "/cowslipshift/"
CONFIGURATION = PREFIX + "configuration"
CHANGES = PREFIX + "changes/"
"""Change records by change id; each expires with its lease."""

HOSTS = PREFIX + "hosts/"
"""One record of the last incarnation of each host."""

FENCES = PREFIX + "fences/"
"""One record of fenced incarnations for each data centre."""

MOVE_OUTCOMES = PREFIX + "verdicts/"
"""One record of the outcome of each version move."""

PLATFORM_HOSTS = "/platform/hosts/"
"""The platform's lagging list of live and leaving hosts."""

CHANGE_RECORD_TTL_S = 86_400
