"""Collects the tokens that former owners of a program's account still hold."""

import itertools
import logging
import math
from collections.abc import Awaitable, Callable

from attrs import frozen

from fireflyspread.budgets._account import REQUEST_SEPARATOR, Account, find_node
from fireflyspread.clock import Clock
from fireflyspread.exceptions import OverloadedError, PeerError, PeerGoneError

__all__ = ["HandOver", "HandOvers", "RequestHandOver"]

_LOG = logging.getLogger(__name__)

# Former owners that are asked for one turn. More than one exist only after the loss of
# several nodes.
_MAX_ASKED = 2
# Seconds for which a former owner counts as empty after it has answered.
_EMPTY_SECONDS = 2.0
# Seconds after which to retry a turn while not all former owners have answered.
_RETRY_AFTER = 0.3


@frozen
class HandOver:
    """Answer of a former owner.

    Attributes
    ----------
    tokens : int
        Tokens that it hands over.
    recipients : tuple of str
        Nodes to which it has handed over tokens before.
    """

    tokens: int
    recipients: tuple[str, ...] = ()


# Requests tokens from a node that has drawn for a program (node, program, tokens,
# tokens drawn by process, id of the request). A request that is repeated under its id
# hands over the same tokens.
RequestHandOver = Callable[[str, str, int, dict[str, int], str], Awaitable[HandOver]]


class HandOvers:
    """Asks former owners for all their tokens, a few of them for each turn.

    A turn asks only if the store has no tokens left to draw. What it gets is all that
    the former owner holds, so later turns rarely ask again. A former owner also names
    the nodes that have asked it before, which hold what they got.

    A former owner that has not answered may hold tokens: the turn is then refused for a
    moment, and the budget does not count as spent. It holds none once its process is
    known to have ended.
    """

    def __init__(self, request: RequestHandOver, *, node: str, clock: Clock) -> None:
        self._request = request
        self._node = node
        self._clock = clock
        self._numbers = itertools.count()

    async def collect(self, account: Account, max_tokens: int) -> None:
        """Add tokens of former owners until ``max_tokens`` are available.

        Raises
        ------
        OverloadedError
            Further former owners may hold tokens; retry the turn.
        """
        now = self._clock.read_monotonic()
        drawn = {} if account.record is None else dict(account.record.drawn)
        names = self._list_holders(account, drawn)
        for node in sorted(names, key=lambda each: account.asked_at.get(each, 0.0))[
            :_MAX_ASKED
        ]:
            account.asked_at[node] = now
            tokens = await self._ask(account, node, drawn)
            if tokens is None:
                continue
            account.emptied_at[node] = now
            account.available += tokens
            if account.available >= max_tokens:
                return
        unknown = [
            node
            for node in self._list_holders(account, drawn)
            if account.emptied_at.get(node, -math.inf) < now - _EMPTY_SECONDS
        ]
        if unknown:
            raise OverloadedError(
                "former owners of the program's budget account may hold tokens: "
                f"{', '.join(unknown)}; retry",
                retry_after=_RETRY_AFTER,
            )

    def _list_holders(self, account: Account, drawn: dict[str, int]) -> list[str]:
        """Return the nodes that may hold tokens of the program."""
        nodes = {find_node(process) for process in drawn} | account.recipients
        return sorted(filter(None, nodes - {self._node}))

    async def _ask(
        self, account: Account, node: str, drawn: dict[str, int]
    ) -> int | None:
        """Return the tokens that a node hands over; None if it does not answer."""
        request = account.hand_over_requests.setdefault(
            node, f"{account.process}{REQUEST_SEPARATOR}{next(self._numbers)}"
        )
        try:
            answer = await self._request(
                node, account.program, account.budget, drawn, request
            )
        except PeerGoneError:
            answer = HandOver(0)
        except PeerError as exc:
            _LOG.warning(
                "it is not known whether node %s holds tokens: %s",
                node,
                exc,
                extra={"program": account.program},
            )
            return None
        account.hand_over_requests.pop(node, None)
        account.recipients.update(answer.recipients)
        return answer.tokens
