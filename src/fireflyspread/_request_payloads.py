"""Releases what unfinished bodies of requests hold."""

from aiohttp.streams import StreamReader

__all__ = ["drop_payload", "release_frames"]


def drop_payload(payload: StreamReader | None) -> None:
    """Free the bytes of an unfinished body and fail its reader."""
    if payload is not None and not payload.is_eof():
        payload._buffer.clear()
        payload.set_exception(ConnectionResetError("the request was refused"))


def release_frames(payload: StreamReader) -> None:
    """Release the frames of the handler that got the exception of a body.

    The frames refer to the request, whose body has the exception. The cycle would keep
    the head and all that the handler has read until the garbage collector runs.
    """
    error = payload.exception()
    if error is not None:
        error.__traceback__ = None
