"""Names of the platform's headers, calls and keys."""

from __future__ import annotations

REQUEST_ID = "Cowslipshift-Request-Id"
DEADLINE_MS = "Cowslipshift-Deadline-Ms"
AFFINITY_COOKIE = "Cowslipshift-Affinity-Key"
SIGNATURE = "Cowslipshift-Response-Signature"
ACCOUNT = "Cowslipshift-Tenant"
INSTANCE = "Cowslipshift-Target-Instance"
LOAD = "Cowslipshift-Server-Load"
NOT_EXECUTED = "Cowslipshift-Not-Executed"
COLD_MS = "Cowslipshift-Cold-Ms"
KEY = "Api-Key"

RESOLVE_PATH = "/cowslipshift/resolve"
READY_PATH = "/cowslipshift/ready"

RANGE_PATH = "/cowslipshift/kv-range"
WATCH_PATH = "/cowslipshift/kv-watch"
TXN_PATH = "/cowslipshift/kv-txn"
LEASE_PATH = "/cowslipshift/kv-lease"
KEEP_PATH = "/cowslipshift/kv-keep"
LEASE_END_PATH = "/cowslipshift/kv-lease-end"

CONFIG_KEY = "op/config"
ROLLOUT_PREFIX = "op/rollout/"
EVACUATION_PREFIX = "op/evacuate/"
BACKEND_PREFIX = "servers/"
STATUS_PREFIX = "status/rollout/"
MEMBER_PREFIX = "cowslipshift/hosts/"
STAGE_PREFIX = "cowslipshift/stages/"
