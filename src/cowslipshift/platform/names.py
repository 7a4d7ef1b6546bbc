"""Names of the platform's headers, HTTP paths and store keys."""

from __future__ import annotations

REQUEST_ID_HEADER = "Cowslipshift-Request-Id"
DEADLINE_MS_HEADER = "Cowslipshift-Deadline-Ms"
AFFINITY_COOKIE = "Cowslipshift-Affinity-Key"
SIGNATURE_HEADER = "Cowslipshift-Response-Signature"
ACCOUNT_HEADER = "Cowslipshift-Tenant"
INSTANCE_HEADER = "Cowslipshift-Target-Instance"
LOAD_HEADER = "Cowslipshift-Server-Load"
NOT_EXECUTED_HEADER = "Cowslipshift-Not-Executed"
SERVER_LIMIT_HEADER = "Server-Limit"
COLD_MS_HEADER = "Cowslipshift-Cold-Ms"
API_KEY_HEADER = "Api-Key"

RESOLVE_PATH = "/cowslipshift/resolve"
READY_PATH = "/cowslipshift/ready"

RANGE_PATH = "/cowslipshift/kv-range"
WATCH_PATH = "/cowslipshift/kv-watch"
TXN_PATH = "/cowslipshift/kv-txn"
LEASE_GRANT_PATH = "/cowslipshift/kv-lease"
LEASE_RENEW_PATH = "/cowslipshift/kv-keep"
LEASE_REVOKE_PATH = "/cowslipshift/kv-lease-end"

CONFIG_KEY = "op/config"
ROLLOUT_PREFIX = "op/rollout/"
EVACUATION_PREFIX = "op/evacuate/"
BACKEND_PREFIX = "servers/"
STATUS_PREFIX = "status/rollout/"
MEMBER_PREFIX = "cowslipshift/hosts/"
STAGE_PREFIX = "cowslipshift/stages/"
