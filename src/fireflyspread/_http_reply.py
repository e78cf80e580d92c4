"""Reply whose body is read with aiohttp."""

from collections.abc import AsyncIterator

import aiohttp

from fireflyspread._http_protocol import UnexpectedBytesError
from fireflyspread.exceptions import ReplicaCrashedError, UnexpectedAnswerError
from fireflyspread.forwarding import Reply

__all__ = ["HttpReply"]


class HttpReply(Reply):
    """Base of the replies over HTTP.

    Parameters
    ----------
    source : str
        Where the body comes from, for error messages.
    """

    def __init__(self, response: aiohttp.ClientResponse, source: str) -> None:
        self._response = response
        self._source = source

    async def iterate(self) -> AsyncIterator[bytes]:
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except UnexpectedBytesError as exc:
            raise UnexpectedAnswerError(
                f"{self._source} sent bytes that are no answer; check it"
            ) from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise ReplicaCrashedError(
                f"connection to {self._source} broke during the response: {exc}; "
                "resume or retry"
            ) from exc

    async def close(self) -> None:
        if self._response.content.at_eof():
            self._response.release()
        else:
            self._response.close()
