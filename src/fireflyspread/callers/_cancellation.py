"""Steps that run to completion even if their request is cancelled."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["run_to_completion"]

T = TypeVar("T")


async def run_to_completion(step: Coroutine[Any, Any, T]) -> T:
    """Run ``step`` to completion; a cancellation takes effect only afterwards."""
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
        # Marks an error as retrieved; the step has already recorded its result.
        task.exception()
        raise asyncio.CancelledError
    return task.result()
