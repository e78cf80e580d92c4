"""Builds the memory limits of callers from the settings of a node."""

import ctypes
import logging
import os
import resource

from fireflyspread._caller_memory import CallerLimitsOfProcess, CallerMemory
from fireflyspread.clock import Clock
from fireflyspread.forwarding import AnswerBuffers
from fireflyspread.gateway._settings import MemoryLimits

__all__ = ["make_caller_memory", "release_freed_memory"]

_LOG = logging.getLogger(__name__)

# MB assumed if the settings of an older deployment do not state the memory of the VM.
_MAX_ASSUMED_MB = 256.0
# Answers that are held back share the limit with requests.
_ANSWER_FRACTION = 0.5
# Parameter of mallopt, and the size from which blocks are returned when freed. By
# default glibc raises it to the largest freed block, and keeps 200 MB of freed bodies.
_M_MMAP_THRESHOLD = -3
_MMAP_THRESHOLD_BYTES = 1 << 17


def make_caller_memory(
    settings: MemoryLimits, clock: Clock
) -> tuple[CallerMemory, AnswerBuffers]:
    """Return the limits on what is held for callers, and on answers held back."""
    limits = CallerLimitsOfProcess.from_vm(
        vm_bytes=_find_vm_mb(settings) * 1e6,
        descriptors=resource.getrlimit(resource.RLIMIT_NOFILE)[0],
        held_bytes=settings.caller_bytes,
        connections=settings.connections,
    )
    answers = AnswerBuffers()
    answers.max_total_bytes = min(
        answers.max_total_bytes, int(limits.held_bytes * _ANSWER_FRACTION)
    )
    _LOG.info(
        "memory for callers limited (%d connections)",
        limits.connections,
        extra={"bytes": limits.held_bytes},
    )
    memory = CallerMemory(limits, clock, count_answers=lambda: answers.held_bytes)
    return memory, answers


def _find_vm_mb(settings: MemoryLimits) -> float:
    if settings.vm_mb is not None:
        return settings.vm_mb
    physical = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return min(_MAX_ASSUMED_MB, physical / 1e6)


def release_freed_memory() -> None:
    """Have the allocator return large blocks to the system when they are freed."""
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(_M_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES)
