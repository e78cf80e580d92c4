"""Relays requests to the nodes that own their slots."""

from aiohttp import web

from fireflyspread.callers._context import Context
from fireflyspread.exceptions import NoAuthorityError
from fireflyspread.nodes import Identity

__all__ = ["relay_unless_owned"]

_TAKEOVER_TIMEOUT = 1.0  # seconds


async def relay_unless_owned(
    context: Context,
    request: web.Request,
    slot: int,
    identity: Identity,
    body: bytes,
) -> web.StreamResponse | None:
    """Relay a request to the owner of ``slot``.

    Returns
    -------
    web.StreamResponse or None
        None when this node is the owner and handles the request itself.

    Raises
    ------
    NoAuthorityError
        The owner is unknown or has not taken over yet; nothing was run.
    """
    if context.ownership.owns(slot):
        return None
    owner = context.ownership.find_owner(slot)
    if owner is None or owner.name == context.settings.node.name:
        # A planned change of owner takes less than a second; refusing the request
        # and waiting for its retry would take longer.
        if await context.ownership.wait_owned(slot, timeout=_TAKEOVER_TIMEOUT):
            return None
        raise NoAuthorityError(
            "the program is moving to another node; send the request again",
            retry_after=0.5,
        )
    return await context.relay.forward(request, body, owner, identity)
