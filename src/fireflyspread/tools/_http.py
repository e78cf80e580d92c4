"""HTTP client of service replicas."""

import time

import aiohttp
from yarl import URL

from fireflyspread._http_client import (
    AnswerCallback,
    raise_if_not_run,
    read_code,
    translate_errors,
)
from fireflyspread.bundle import Replica
from fireflyspread.exceptions import Outcome, StaleFenceError, TargetError
from fireflyspread.tools._service import Service, ServiceAnswer, ServiceRequest

__all__ = ["HttpService"]


class HttpService(Service):
    """Client of one service replica over HTTP.

    Only the headers that ``_make_headers`` returns are set, so no header of a caller
    reaches a service.

    Parameters
    ----------
    url : str
        Base URL of the replica.
    session : aiohttp.ClientSession
        Shared by all clients of the process; ``close`` leaves it open.
    name : str
        Name of the replica in error messages; ``url`` by default.
    on_answer : callable or None
        Called with each answer and the seconds since its call was sent.
    max_answer_bytes : int
        Maximum size of an answer in bytes.
    """

    def __init__(
        self,
        url: str,
        *,
        session: aiohttp.ClientSession,
        name: str = "",
        on_answer: AnswerCallback | None = None,
        max_answer_bytes: int = 4 << 20,
    ) -> None:
        self._url = url.rstrip("/")
        self._session = session
        self._name = name or url
        self._on_answer = on_answer
        self._max_answer_bytes = max_answer_bytes

    @classmethod
    def from_config(
        cls,
        replica: Replica,
        session: aiohttp.ClientSession,
        *,
        on_answer: AnswerCallback | None = None,
        max_answer_bytes: int = 4 << 20,
    ) -> "HttpService":
        """Build the client of a replica that the bundle describes."""
        return cls(
            replica.url,
            session=session,
            name=replica.name,
            on_answer=on_answer,
            max_answer_bytes=max_answer_bytes,
        )

    async def call(self, request: ServiceRequest) -> ServiceAnswer:
        sent_at = time.monotonic()
        with translate_errors(self._name):
            async with self._session.post(
                URL(self._url + request.path),
                data=request.body,
                headers=_make_headers(request),
                timeout=aiohttp.ClientTimeout(
                    total=request.timeout,
                    sock_connect=self._session.timeout.sock_connect,
                ),
                allow_redirects=False,
            ) as response:
                if self._on_answer is not None:
                    self._on_answer(response, time.monotonic() - sent_at)
                return await self._read_answer(response)

    async def _read_answer(self, response: aiohttp.ClientResponse) -> ServiceAnswer:
        raise_if_not_run(response, self._name)
        body = bytearray()
        async for data in response.content.iter_any():
            body += data
            if len(body) > self._max_answer_bytes:
                raise TargetError(
                    f"replica {self._name} answered with more than "
                    f"{self._max_answer_bytes} bytes; ask for less",
                    outcome=Outcome.RAN,
                )
        if response.status == 409 and read_code(bytes(body)) == StaleFenceError.code:
            raise StaleFenceError(
                f"replica {self._name} has seen a newer bundle; "
                "retry under the newest one"
            )
        return ServiceAnswer(
            status=response.status,
            content_type=response.headers.get(
                "Content-Type", "application/octet-stream"
            ),
            body=bytes(body),
        )

    async def close(self) -> None:
        """Do nothing, because the connections belong to the shared session."""


def _make_headers(request: ServiceRequest) -> dict[str, str]:
    headers = {
        "Content-Type": request.content_type,
        "X-Request-Id": request.request_id,
        "X-Fencing-Token": str(request.fence),
    }
    if request.idempotency_key is not None:
        headers["Idempotency-Key"] = request.idempotency_key
    return headers
