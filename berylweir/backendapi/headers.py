"""Names of the HTTP headers of callers, routers and backend servers.

They are in lower case, as the HTTP parsers return them.
"""

KEY = b"berylweir-key"
CALLER = b"berylweir-caller"
GROUP = b"berylweir-group"
DEADLINE_MS = b"berylweir-deadline-ms"
SLICE = b"berylweir-slice"
TOKEN = b"berylweir-token"
OUTCOME = b"berylweir-outcome"
REFUSAL = b"berylweir-refusal"
SERVER = b"berylweir-server"
HOP = b"berylweir-hop"
PRIORITY = b"berylweir-priority"
IDEMPOTENCY_KEY = b"idempotency-key"
TRACEPARENT = b"traceparent"
REQUEST_ID = b"x-request-id"
