"""Signatures of caller requests that one node relays to another."""

import hashlib
import hmac
from collections.abc import Mapping

import msgspec
from attrs import frozen

from fireflyspread.clock import Clock
from fireflyspread.exceptions import AuthenticationError

__all__ = ["HOPS_HEADER", "Identity", "RequestSigner"]

NODE_HEADER = "X-Firefly-Node"
TEAM_HEADER = "X-Firefly-Team"
KEY_DIGEST_HEADER = "X-Firefly-Key-Digest"
TIME_HEADER = "X-Firefly-Time"
HOPS_HEADER = "X-Firefly-Hops"
SIGNATURE_HEADER = "X-Firefly-Signature"

_IDENTITY_HEADERS = (
    NODE_HEADER,
    TEAM_HEADER,
    KEY_DIGEST_HEADER,
    TIME_HEADER,
    HOPS_HEADER,
)

# Headers of the caller that affect what is executed.
_CALLER_HEADERS = ("Idempotency-Key", "X-Program-Id", "X-Turn")

# Seconds. Limits the replay of a recorded request; larger than the skew between the
# wall clocks of two nodes.
_MAX_AGE = 30.0


@frozen(kw_only=True)
class Identity:
    """Team and key on whose behalf a request runs.

    Attributes
    ----------
    team : str
        Empty on a route that is open to all.
    key_digest : str
        SHA-256 of the caller's key, by which the owner notices a withdrawal.
    node : str
        Node that authenticated the caller; empty on that node itself.
    """

    team: str
    key_digest: str
    node: str = ""


class RequestSigner:
    """Signs and verifies relayed requests with a secret that all nodes share.

    Parameters
    ----------
    secret : str
        ``node_secret`` of the settings.
    node : str
        Name of this node.
    """

    def __init__(self, secret: str, *, node: str, clock: Clock) -> None:
        self._secret = secret.encode()
        self._node = node
        self._clock = clock

    def sign(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        identity: Identity,
        *,
        hops: int,
    ) -> dict[str, str]:
        """Return the headers that identify and sign a request.

        Parameters
        ----------
        path : str
            Path and query as sent.
        headers : mapping
            Headers of the caller that are relayed.
        hops : int
            Number of times the request has been relayed, including this one.
        """
        fields = {
            NODE_HEADER: self._node,
            TEAM_HEADER: identity.team,
            KEY_DIGEST_HEADER: identity.key_digest,
            TIME_HEADER: f"{self._clock.read_wall():.3f}",
            HOPS_HEADER: str(hops),
        }
        signature = self._compute_signature(method, path, {**headers, **fields}, body)
        return {**fields, SIGNATURE_HEADER: signature}

    def check(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> Identity:
        """Return the identity of a relayed request.

        Raises
        ------
        AuthenticationError
            The signature is absent or wrong, or the request is too old.
        """
        expected = self._compute_signature(method, path, headers, body)
        actual = headers.get(SIGNATURE_HEADER, "")
        if not hmac.compare_digest(expected.encode(), actual.encode(errors="replace")):
            raise AuthenticationError(
                "the relayed request is not signed by a node; "
                "use the same node_secret on all nodes"
            )
        age = self._clock.read_wall() - float(headers[TIME_HEADER])
        if abs(age) > _MAX_AGE:
            raise AuthenticationError(
                f"the relayed request was signed {age:.0f} s ago; "
                "synchronize the clocks of the nodes"
            )
        return Identity(
            team=headers[TEAM_HEADER],
            key_digest=headers[KEY_DIGEST_HEADER],
            node=headers[NODE_HEADER],
        )

    def _compute_signature(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> str:
        names = _IDENTITY_HEADERS + _CALLER_HEADERS
        fields = [headers.get(name) for name in names]
        # JSON keeps the fields separate whatever they contain.
        text = msgspec.json.encode(
            [method, path, *fields, hashlib.sha256(body).hexdigest()]
        )
        return hmac.new(self._secret, text, hashlib.sha256).hexdigest()
