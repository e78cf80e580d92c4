"""Header names of the platform and which headers are forwarded."""

from collections.abc import Iterable, Mapping

__all__ = [
    "AFFINITY_KEY",
    "COLD_REMAINING",
    "INSTANCE_ID",
    "LAST_EVENT_ID",
    "LENGTH_HINT",
    "MODEL",
    "NOT_EXECUTED",
    "PREVIOUS_TURN",
    "PROGRAM_DEADLINE",
    "PROGRAM_ID",
    "PROMPT_PREFIX",
    "REQUEST_ID",
    "REQUEST_PRIORITY",
    "RESUMES",
    "SERVER_LEAVING",
    "SERVER_LIMIT",
    "SERVER_LOAD",
    "SESSION_ID",
    "TARGET_INSTANCE",
    "TENANT",
    "TIME_REMAINING",
    "TOKEN_BUDGET",
    "TOKEN_COUNT",
    "select_request_headers",
    "select_response_headers",
]

_PREFIX = "Fireflyspread-"

REQUEST_ID = _PREFIX + "Request-Id"
# Milliseconds until the sender stops waiting.
TIME_REMAINING = _PREFIX + "Time-Remaining"
TARGET_INSTANCE = _PREFIX + "Target-Instance"
TENANT = _PREFIX + "Tenant"
REQUEST_PRIORITY = _PREFIX + "Request-Priority"
NOT_EXECUTED = _PREFIX + "Not-Executed"
# Running requests, waiting requests and slots, separated by commas.
SERVER_LOAD = _PREFIX + "Server-Load"
# Milliseconds for which the replica stays cold.
COLD_REMAINING = _PREFIX + "Cold-Remaining"
# Requests a second that the replica takes from all nodes together.
SERVER_LIMIT = "Server-Limit"
# "1" in all answers of a replica that is leaving.
SERVER_LEAVING = "Server-Leaving"
# Cookie with the same value in all requests about an object.
AFFINITY_KEY = _PREFIX + "Affinity-Key"
INSTANCE_ID = _PREFIX + "Instance-Id"
MODEL = _PREFIX + "Model"
# Prompt tokens and maximum output tokens, separated by a comma.
TOKEN_COUNT = _PREFIX + "Token-Count"
# Parts of the prompt as ID:TOKENS, separated by commas.
PROMPT_PREFIX = _PREFIX + "Prompt-Prefix"
LENGTH_HINT = _PREFIX + "Length-Hint"
PROGRAM_ID = _PREFIX + "Program-Id"
# Id of one sequence of turns in a program, not of a connection.
SESSION_ID = _PREFIX + "Session-Id"
# Milliseconds until the program should have finished.
PROGRAM_DEADLINE = _PREFIX + "Program-Deadline"
TOKEN_BUDGET = _PREFIX + "Token-Budget"
LAST_EVENT_ID = "Last-Event-Id"
# Request id of the turn that a turn continues from.
PREVIOUS_TURN = _PREFIX + "Previous-Turn"
# Request id of the client attempt that brought the first event of a resumed stream.
RESUMES = "Resumes"

_HOP_BY_HOP = frozenset(
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
        "content-length",
        "expect",
    }
)
# Never forwarded from a caller: the gateway sets them itself or leaves them out.
_DROPPED_FROM_REQUESTS = frozenset(
    name.lower()
    for name in (
        TIME_REMAINING,
        TARGET_INSTANCE,
        TENANT,
        REQUEST_PRIORITY,
        NOT_EXECUTED,
        LAST_EVENT_ID,
        "Authorization",
        _PREFIX + "Expected-Version",
        _PREFIX + "Hold",
        _PREFIX + "Pin-Duration",
        _PREFIX + "Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
    )
)
_DROPPED_FROM_RESPONSES = frozenset(
    {
        NOT_EXECUTED.lower(),
        SERVER_LEAVING.lower(),
        COLD_REMAINING.lower(),
        "date",
        "server",
    }
)


def select_request_headers(
    headers: Mapping[str, str], items: Iterable[tuple[str, str]]
) -> list[tuple[str, str]]:
    """Return the headers of a caller that are forwarded to a replica."""
    connection_options = _list_connection_options(headers)
    return [
        (name, value)
        for name, value in items
        if (lowered := name.lower()) not in _HOP_BY_HOP
        and lowered not in _DROPPED_FROM_REQUESTS
        and lowered not in connection_options
    ]


def select_response_headers(
    headers: Mapping[str, str], items: Iterable[tuple[str, str]]
) -> list[tuple[str, str]]:
    """Return the headers of a replica that are forwarded to a caller."""
    connection_options = _list_connection_options(headers)
    return [
        (name, value)
        for name, value in items
        if (lowered := name.lower()) not in _HOP_BY_HOP
        and lowered not in _DROPPED_FROM_RESPONSES
        and lowered not in connection_options
    ]


def _list_connection_options(headers: Mapping[str, str]) -> frozenset[str]:
    value = headers.get("Connection")
    if not value:
        return frozenset()
    return frozenset(option.strip().lower() for option in value.split(","))
