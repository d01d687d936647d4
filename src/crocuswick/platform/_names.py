"""Names of the platform's HTTP headers, store topics, store keys and settings file."""

from __future__ import annotations

# Headers between callers, nodes and replicas.
ATTEMPT_ID = "X-Attempt-Id"
TIME_BUDGET = "X-Time-Budget"
PROMPT_SEGMENTS = "X-Prompt-Prefix"
LAST_EVENT_ID = "Last-Event-Id"
REPLICA_SIGNATURE = "X-Replica-Seal"
TENANT = "X-Tenant"
EXPECTED_REPLICA = "X-Expect-Replica"
NOT_RUN = "X-Not-Executed"
REPLICA_ID = "X-Replica-Id"
MODEL = "X-Model"
TOKEN_COUNTS = "X-Token-Counts"
CACHE_SALT = "X-Cache-Salt"
ENGINE_PRIORITY = "X-Request-Priority"
FETCH_KV_FROM = "X-Kv-Fetch-From"
STORE_KV_TO = "X-Kv-Store-To"
WEIGHTS_VERSION = "X-Weight-Versions"
EXPECTED_WEIGHTS = "X-Expect-Version"
PIN_DURATION = "X-Pin-Duration"
HOLD = "X-Hold"
KV_BACKUP = "X-Kv-Backup"
KV_FROM = "Kv-From"
AUTHORIZATION = "Authorization"
KEY_SCHEME = "Token "
LEAVING = "Server-Leaving"
RETRY_AFTER = "Retry-After"

STORE_ERA = "Store-Era"
"""Header of the store's answers; rises each time the store returns from an older copy."""

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that apply to a single connection, in lower case."""

NODE_ONLY_HEADERS = frozenset(
    name.lower()
    for name in (
        AUTHORIZATION,
        TIME_BUDGET,
        TENANT,
        EXPECTED_REPLICA,
        EXPECTED_WEIGHTS,
        ENGINE_PRIORITY,
        CACHE_SALT,
        FETCH_KV_FROM,
        STORE_KV_TO,
        PIN_DURATION,
        HOLD,
        KV_BACKUP,
        KV_FROM,
        LAST_EVENT_ID,
        "Content-Length",
        "Expect",
    )
)
"""Headers that a node removes from callers' requests, in lower case. A replica receives
such a header only if the node itself sets it."""

# Topics and keys of the store.
OPERATIONS_TOPIC = "keyed.op"
REPLICAS_TOPIC = "keyed.servers"
NODES_TOPIC = "keyed.crocuswick-nodes"
CRASHES_TOPIC = "keyed.crocuswick-crashes"
LEASES_TOPIC = "crocuswick-leases"
CONFIGURATION_KEY = "config"
WEIGHTS_KEY_PREFIX = "version/"

PRESSURE_CONTRACT = "pressure"
TENANTS_CONTRACT = "tenants"
SETTINGS_VARIABLE = "CROCUSWICK_BOOT"
DEFAULT_SETTINGS_PATH = "/etc/crocuswick/node.conf"
