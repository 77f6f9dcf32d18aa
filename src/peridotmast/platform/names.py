"""The platform's names, each once, beside what the product calls it.

Everything that the platform's wire calls by a word of its own is decoded in
this package. Other modules, and the stand-ins for tests, use the constants.
"""

from __future__ import annotations

from peridotmast.schema import peridotmast_pb2 as pb


REQUEST_ID = 'X-Request-Id'
DEADLINE_MS = 'X-Deadline-Ms'
"""How long the sender waits, in ms from when the request is sent."""
MODEL = 'X-Model'
TOKEN_COUNTS = 'X-Token-Counts'
"""Tokens of the prompt, and most tokens of the answer."""
PROMPT_PARTS = 'X-Prefix-Hash'
"""``ID:TOKENS`` of each part of the prompt; no hash of anything."""
SEAL = 'X-Response-Seal'
"""By which an upstream signs its answer."""
TEAM = 'X-Tenant'
EXPECT_UPSTREAM = 'X-Expect-Instance'
UPSTREAM = 'X-Instance-Id'
NOT_RUN = 'X-Not-Executed'
LIMIT = 'Server-Limit'
"""Requests per second that an upstream accepts from all routers together."""
PRIORITY = 'X-Request-Urgency'
EXPECT_VERSION = 'X-Expect-Version'
PIN_MS = 'X-Pin-Ms'
RESERVATION = 'X-Kv-Hold'
BACKUP = 'X-Kv-Backup'
COPY_FROM = 'Kv-From'
FETCH_FROM = 'Kv-Fetch'
LAST_EVENT = 'Last-Event-Id'
AUTHORIZATION = 'Authorization'
KEY_SCHEME = 'Bearer '
RETRY_AFTER = 'Retry-After'

REQUEST_KINDS = {
    'idempotent': pb.IDEMPOTENT,
    'non_idempotent': pb.NON_IDEMPOTENT,
    'streaming': pb.STREAMING,
}


REPORT_PATH = '/report'
HEALTH_PATH = '/health'
MOVE_PATH = '/kv-move'
COPY_PATH = '/kv-handle'
LEAVES_MS = 'leaves_ms'
BORN = 'born'
"""When a run of an upstream began, ms since 1970, in all that it says of
itself."""
TARGET = 'target'
LAST = 'last'
HANDLE = 'handle'
CREATED = 'created'
RUNS = 'runs'
"""Runs that an engine reports: id, tokens, events, priority of each."""

UPSTREAM_STATES = {
    'ready': pb.UPSTREAM_STATE_LIVE,
    'draining': pb.UPSTREAM_STATE_LEAVING,
}


OBJECTS_PATH = '/objects'
META = 'metadata'
SPEC = 'spec'
REVISION = 'revision'
"""The store counts one revision for all kinds."""
ITEMS = 'items'
HAS_MORE = 'has-more'
AT_REVISION = 'at'
AFTER = 'after'
WATCH = 'watch'
WAIT_MS = 'wait-ms'
ALLOW_STALE = 'allow-stale'
EVENTS = 'events'
OBJECT = 'object'
DELETED = 'deleted'

CONFIG_KIND = 'config'
CONFIG_NAME = 'main'
UPSTREAM_KIND = 'servers'


HOLDER = 'X-Duty-Holder'
FENCING = 'X-Fencing-Token'
USAGE_PATH = '/usage'
WINDOW_ID = 'window-id'
REQUEST_COUNTS = 'request-counts'
SCALE_PATH = '/scale'
SERVICE = 'service'
FAILURE_DOMAIN = 'zone'
DESIRED_COUNT = 'desired'
RECLAIMABLE = 'spot'


RESOLVE_PATH = '/resolve'
READY_PATH = '/readiness'
ADDRESSES = 'addresses'
TTL_S = 'ttl-s'
