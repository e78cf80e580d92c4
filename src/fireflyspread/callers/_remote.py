"""Non-idempotent calls of programs, run by the node that owns their intent."""

import msgspec

from fireflyspread.callers._calls import Call, ServiceCaller
from fireflyspread.callers._context import Context
from fireflyspread.callers._deadlines import DEADLINE_HEADER
from fireflyspread.exceptions import (
    FireflyError,
    NoAuthorityError,
    Outcome,
)
from fireflyspread.programs import IntentTable
from fireflyspread.recovery import find_slot
from fireflyspread.tools import ServiceAnswer

__all__ = ["call_through_owner", "find_intent_slot"]


class _ErrorDetail(msgspec.Struct):
    code: str
    message: str
    outcome: str
    retry_after: float | None = None


class _ErrorBody(msgspec.Struct):
    error: _ErrorDetail


class RemoteError(FireflyError):
    """Another node refused a call; code, status and outcome are that node's."""

    def __init__(self, status: int, detail: _ErrorDetail) -> None:
        super().__init__(
            detail.message,
            retry_after=detail.retry_after,
            outcome=Outcome(detail.outcome),
        )
        self.code = detail.code  # type: ignore[misc]
        self.status = status  # type: ignore[misc]


def find_intent_slot(team: str, key: str) -> int:
    """Return the slot of an idempotency key of a team."""
    return find_slot(IntentTable.make_subject(team, key))


async def call_through_owner(
    context: Context, services: ServiceCaller, call: Call
) -> ServiceAnswer:
    """Run a non-idempotent call on the node that owns its intent.

    The idempotency key belongs to the team, not to the program, so that a second
    program that repeats a call finds the same intent.

    Raises
    ------
    FireflyError
        As ``ServiceCaller.call``.
    """
    key = call.idempotency_key
    if not key:
        return await services.call(call)
    slot = find_intent_slot(call.identity.team, key)
    if context.ownership.owns(slot):
        return await services.call(call)
    owner = context.ownership.find_owner(slot)
    if owner is None or owner.name == context.settings.node.name:
        raise NoAuthorityError(
            "the call is moving to another node; send the request again",
            retry_after=0.5,
        )
    remaining_seconds = call.deadline - context.clock.read_monotonic()
    headers = {
        "Content-Type": call.content_type,
        "Idempotency-Key": key,
        DEADLINE_HEADER: str(max(1, int(remaining_seconds * 1000))),
    }
    path = f"/v1/services/{call.route.name}"
    answer = await context.relay.call(
        owner,
        path,
        headers=headers,
        body=call.body,
        identity=call.identity,
        timeout=max(0.001, remaining_seconds),
    )
    if answer.is_error:
        detail = msgspec.json.decode(answer.body, type=_ErrorBody).error
        raise RemoteError(answer.status, detail)
    return ServiceAnswer(
        status=answer.status, content_type=answer.content_type, body=answer.body
    )
