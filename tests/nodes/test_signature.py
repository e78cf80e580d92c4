"""Only requests signed by a node are accepted."""

import pytest

from fireflyspread.clock import ManualClock
from fireflyspread.exceptions import AuthenticationError
from fireflyspread.nodes import Identity, RequestSigner

CALLER = Identity(team="scans", key_digest="ab" * 32)
HEADERS = {"Idempotency-Key": "pickup-7"}
PATH = "/v1/services/pickup?x=1"


class TestRequestSigner:
    """RequestSigner.sign and check."""

    @pytest.fixture
    def clock(self) -> ManualClock:
        return ManualClock()

    @pytest.fixture
    def signer(self, clock: ManualClock) -> RequestSigner:
        return RequestSigner("0123456789abcdef", node="entry-1", clock=clock)

    @pytest.fixture
    def signed(self, signer: RequestSigner) -> dict[str, str]:
        fields = signer.sign("POST", PATH, HEADERS, b"{}", CALLER, hops=1)
        return {**HEADERS, **fields}

    def test_identity_survives(
        self, signer: RequestSigner, signed: dict[str, str]
    ) -> None:
        """Guards against an owner that gets another team or key digest."""
        identity = signer.check("POST", PATH, signed, b"{}")
        assert identity == Identity(team="scans", key_digest="ab" * 32, node="entry-1")

    @pytest.mark.parametrize(
        "name",
        ["X-Firefly-Team", "X-Firefly-Key-Digest", "X-Firefly-Time", "Idempotency-Key"],
    )
    def test_changed_header_is_refused(
        self, signer: RequestSigner, signed: dict[str, str], name: str
    ) -> None:
        """Guards against a changed identity or idempotency header that is accepted."""
        with pytest.raises(AuthenticationError):
            signer.check("POST", PATH, {**signed, name: "1000.0"}, b"{}")

    @pytest.mark.parametrize(
        ("method", "path", "body"),
        [
            ("DELETE", PATH, b"{}"),
            ("POST", "/v1/services/pickup?x=2", b"{}"),
            ("POST", PATH, b"[]"),
        ],
    )
    def test_changed_request_is_refused(
        self,
        signer: RequestSigner,
        signed: dict[str, str],
        method: str,
        path: str,
        body: bytes,
    ) -> None:
        """Guards against a signature that is valid for another request."""
        with pytest.raises(AuthenticationError):
            signer.check(method, path, signed, body)

    @pytest.mark.parametrize("headers", [{}, {"X-Firefly-Signature": "é"}])
    def test_unsigned_request_is_refused(
        self, signer: RequestSigner, headers: dict[str, str]
    ) -> None:
        """Guards against a request that is accepted without a valid signature."""
        with pytest.raises(AuthenticationError):
            signer.check("POST", PATH, headers, b"{}")

    def test_other_secret_is_refused(
        self, clock: ManualClock, signed: dict[str, str]
    ) -> None:
        """Guards against a process without the secret that acts as a node."""
        other = RequestSigner("fedcba9876543210", node="entry-1", clock=clock)
        with pytest.raises(AuthenticationError):
            other.check("POST", PATH, signed, b"{}")

    def test_old_request_is_refused(
        self, clock: ManualClock, signer: RequestSigner, signed: dict[str, str]
    ) -> None:
        """Guards against the replay of a recorded request after 30 s."""
        clock.advance(30.0)
        signer.check("POST", PATH, signed, b"{}")
        clock.advance(0.1)
        with pytest.raises(AuthenticationError, match="clocks"):
            signer.check("POST", PATH, signed, b"{}")
