"""Steps that must run to their end although their connection is cancelled."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["complete"]

T = TypeVar("T")


async def complete(step: Coroutine[Any, Any, T]) -> T:
    """Run ``step`` to its end; a cancellation takes effect only afterwards."""
    task = asyncio.ensure_future(step)
    is_cancelled = False
    while not task.done():
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            if task.cancelled():
                raise
            is_cancelled = True
        except Exception:
            break
    if is_cancelled:
        # The result of the step is kept in the state that it changed.
        task.exception()
        raise asyncio.CancelledError
    return task.result()
