"""HTTP client of the administration API and of the caller API."""

import asyncio
import ssl
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
from attrs import field, frozen, validators

from fireflyspread._http_client import ClientConnector, open_session
from fireflyspread._structuring import (
    decode_json,
    make_converter,
    require_match,
    structure,
)
from fireflyspread.exceptions import FireflyError, Outcome
from fireflyspread.operators._failures import (
    NoConnectionError,
    RefusedError,
    UsageError,
)

__all__ = ["AdminClient", "ClientSettings", "HttpClient", "open_client"]

_URL = require_match(
    r"https?://[^/\s]+", "write a URL without a path, e.g. http://10.0.0.5:8003"
)
_POSITIVE: Any = validators.gt(0)

# A node that cannot serve a request now responds with this status; another may.
_SERVICE_UNAVAILABLE = 503


@frozen(kw_only=True)
class ClientSettings:
    """Settings of the command line.

    Attributes
    ----------
    nodes : dict of str to str
        Base URL of the administration API of each node.
    callers : str or None
        Base URL of the caller API, for ``fireflyspread call``.
    operator_key, operator_key_file : str or None
        The operator's key, or a file that contains it.
    authority : str or None
        PEM file that verifies the nodes' certificates.
    timeout : float
        Seconds for one request.
    """

    nodes: dict[str, str] = field(
        validator=[
            validators.min_len(1),
            validators.deep_mapping(value_validator=_URL),
        ]
    )
    callers: str | None = field(default=None, validator=validators.optional(_URL))
    operator_key: str | None = field(default=None, repr=False)
    operator_key_file: str | None = None
    authority: str | None = None
    timeout: float = field(default=10.0, validator=_POSITIVE)

    @classmethod
    def from_file(cls, path: str) -> "ClientSettings":
        """Read a JSON file.

        Raises
        ------
        UsageError
            The file cannot be read or a field is unknown or invalid.
        """
        try:
            data = decode_json(Path(path).read_bytes())
            return structure(make_converter(), data, cls, "client")
        except OSError as exc:
            raise UsageError(
                f"cannot read the client settings {path}: {exc.strerror}; give the "
                "file by --client or FIREFLYSPREAD_CLIENT"
            ) from exc
        except ValueError as exc:
            raise UsageError(f"client settings {path} refused: {exc}") from exc

    def read_key(self) -> str:
        """Return the operator's key; raises ``UsageError``."""
        if self.operator_key_file is None:
            if self.operator_key is None:
                raise UsageError(
                    "the client settings have no operator key; set operator_key_file"
                )
            return self.operator_key
        try:
            return Path(self.operator_key_file).read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as exc:
            raise UsageError(
                f"cannot read the operator key in {self.operator_key_file}; "
                "correct operator_key_file"
            ) from exc


class HttpClient:
    """Sends JSON requests that are authenticated by one key.

    Parameters
    ----------
    key : str
        Sent as a bearer token.
    """

    def __init__(
        self, session: aiohttp.ClientSession, key: str, *, timeout: float
    ) -> None:
        self._session = session
        self._headers = {"Authorization": f"Bearer {key}"}
        self._timeout = aiohttp.ClientTimeout(total=timeout)

    async def call(
        self, method: str, url: str, *, body: Any = None, data: bytes | None = None
    ) -> Any:
        """Return the decoded response.

        Raises
        ------
        RefusedError
            The response is an error.
        NoConnectionError
            No connection, or no response in time.
        """
        if body is not None:
            data = msgspec.json.encode(body)
        try:
            async with self._session.request(
                method, url, data=data, headers=self._headers, timeout=self._timeout
            ) as response:
                content = await response.read()
                if response.status >= 400:
                    raise _make_refusal(response.status, content, url)
                return msgspec.json.decode(content)
        except aiohttp.ClientConnectorError as exc:
            raise NoConnectionError(
                f"no connection to {url}; check the address and that the node runs"
            ) from exc
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as exc:
            raise NoConnectionError(
                f"no usable response from {url}; the request may have run, so check "
                "before you repeat it",
                outcome=Outcome.MAY_HAVE_RUN,
            ) from exc
        except ValueError as exc:
            raise UsageError(
                f"the request to {url} cannot be sent: {exc}; check the key"
            ) from exc


def _make_refusal(status: int, content: bytes, url: str) -> RefusedError:
    try:
        data = msgspec.json.decode(content)
        # Only the caller API wraps the error in an object with the field "error".
        data = data.get("error", data)
        return RefusedError(
            data["message"],
            code=data["code"],
            status=status,
            outcome=Outcome(data["outcome"]),
            retry_after=data["retry_after"],
        )
    except (msgspec.DecodeError, LookupError, AttributeError, TypeError, ValueError):
        return RefusedError(
            f"{url} answered {status} and the body is not an error of "
            "fireflyspread; check the address",
            code="unknown",
            status=status,
            outcome=Outcome.MAY_HAVE_RUN,
            retry_after=None,
        )


class AdminClient:
    """Client of the administration APIs of all nodes.

    Every request may be retried through another node, because all requests are
    idempotent or carry a write id.
    """

    def __init__(self, http: HttpClient, nodes: Mapping[str, str]) -> None:
        self._http = http
        self._nodes = dict(nodes)

    @property
    def nodes(self) -> Sequence[str]:
        """Names of the nodes."""
        return tuple(self._nodes)

    async def call_node(
        self,
        node: str,
        method: str,
        path: str,
        *,
        body: Any = None,
        data: bytes | None = None,
    ) -> Any:
        """Send a request to one node."""
        url = f"{self._nodes[node]}/admin/v1{path}"
        return await self._http.call(method, url, body=body, data=data)

    async def call(
        self, method: str, path: str, *, body: Any = None, data: bytes | None = None
    ) -> Any:
        """Send a request to each node in turn until one can serve it.

        Raises
        ------
        RefusedError
            A node refused the request, or no node can serve it now.
        NoConnectionError
            No node gave a usable response.
        """
        failures: list[FireflyError] = []
        for node in self._nodes:
            try:
                return await self.call_node(node, method, path, body=body, data=data)
            except NoConnectionError as exc:
                failures.append(exc)
            except RefusedError as exc:
                if exc.response_status != _SERVICE_UNAVAILABLE:
                    raise
                failures.append(exc)
        raise _choose_failure(failures)

    async def call_all(
        self, method: str, path: str
    ) -> dict[str, Any | RefusedError | NoConnectionError]:
        """Send a request to all nodes at once and return each response or failure."""
        results = await asyncio.gather(
            *(self.call_node(node, method, path) for node in self._nodes),
            return_exceptions=True,
        )
        for result in results:
            if isinstance(result, BaseException) and not isinstance(
                result, RefusedError | NoConnectionError
            ):
                raise result
        return dict(zip(self._nodes, results, strict=True))


def _choose_failure(failures: Sequence[FireflyError]) -> FireflyError:
    """Return the failure that is reported to the operator.

    Failures after which the request may have run come first, then refusals.
    """
    uncertain = [f for f in failures if f.outcome is not Outcome.NOT_RUN]
    refused = [f for f in failures if isinstance(f, RefusedError)]
    return (uncertain or refused or list(failures))[0]


@asynccontextmanager
async def open_client(settings: ClientSettings, key: str) -> AsyncIterator[HttpClient]:
    """Open an HTTP client that sends ``key``."""
    tls: ssl.SSLContext | bool = True
    if settings.authority is not None:
        try:
            tls = ssl.create_default_context(cafile=settings.authority)
        except OSError as exc:
            raise UsageError(
                f"cannot use the authority {settings.authority}: {exc}; give a PEM file"
            ) from exc
    connector = ClientConnector(ssl=tls)
    async with open_session(connector=connector) as session:
        yield HttpClient(session, key, timeout=settings.timeout)
