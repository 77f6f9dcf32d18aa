"""Names of the platform's protocol: headers, paths, fields and kinds.

Only this package decodes the platform's protocol. Other modules and the
stand-ins for tests refer to its names by these constants.
"""

from __future__ import annotations

from peridotmast.schema import peridotmast_pb2 as pb


REQUEST_ID = 'X-Request-Id'
DEADLINE_MS = 'X-Deadline-Ms'
"""Time until the sender stops waiting, in ms from sending the request."""
MODEL = 'X-Model'
TOKEN_COUNTS = 'X-Token-Counts'
"""Number of prompt tokens and maximum number of response tokens."""
PROMPT_PARTS = 'X-Prefix-Hash'
"""``ID:TOKENS`` of each prompt part; despite the name, not a hash."""
SEAL = 'X-Response-Seal'
"""Signature of an upstream on its response."""
TEAM = 'X-Tenant'
EXPECT_UPSTREAM = 'X-Expect-Instance'
UPSTREAM = 'X-Instance-Id'
NOT_RUN = 'X-Not-Executed'
LIMIT = 'Server-Limit'
"""Requests per second that an upstream accepts from all routers combined."""
BRITTLE = 'Server-Brittle'
"""Refusals per second that an upstream bears."""
PRIORITY = 'X-Request-Urgency'
EXPECT_VERSION = 'X-Expect-Version'
PIN_MS = 'X-Pin-Ms'
RESERVATION = 'X-Kv-Hold'
BACKUP = 'X-Kv-Backup'
COPY_FROM = 'Kv-From'
FETCH_FROM = 'Kv-Fetch'
LAST_EVENT = 'Last-Event-Id'
RESUMES = 'Resumes'
"""Id of the attempt that brought the first event of a stream that a caller
takes up."""
AUTHORIZATION = 'Authorization'
KEY_SCHEME = 'Bearer '
RETRY_AFTER = 'Retry-After'
ERA = 'Store-Era'
"""Number of times that the store has come back from an older copy, in each of
its answers."""
LEAVING = 'Server-Leaving'
"""States in each answer of an upstream that it is leaving."""

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
"""Start time of an upstream's current incarnation, in ms since 1970, in its
report and its store entry."""
TARGET = 'target'
LAST = 'last'
HANDLE = 'handle'
CREATED = 'created'
RUNS = 'runs'
"""Runs in an engine's report: id, tokens, events and priority of each."""

UPSTREAM_STATES = {
    'ready': pb.UPSTREAM_STATE_LIVE,
    'draining': pb.UPSTREAM_STATE_LEAVING,
}


ROLLOUT_OUTCOMES = {
    'running': pb.ROLLOUT_PHASE_TRIAL,
    'completed': pb.ROLLOUT_PHASE_COMPLETED,
    'rolled_back': pb.ROLLOUT_PHASE_ROLLED_BACK,
}


OBJECTS_PATH = '/objects'
META = 'metadata'
SPEC = 'spec'
STATUS = 'status'
REVISION = 'revision'
"""Revision of an object; the store has one counter for all kinds."""
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
ROLLOUT_KIND = 'rollouts'
DURATION_S = 'duration-s'
STATE = 'state'


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
