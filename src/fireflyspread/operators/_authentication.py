"""Authentication of operators by their keys."""

import hmac
from collections.abc import Mapping

from fireflyspread.bundle import hash_key
from fireflyspread.exceptions import AuthenticationError

__all__ = ["OperatorKeys"]


class OperatorKeys:
    """Authenticates operators by their keys.

    Parameters
    ----------
    digests : mapping of str to str
        SHA-256 digest of each operator's key, by the operator's name.
    """

    def __init__(self, digests: Mapping[str, str]) -> None:
        self._digests = dict(digests)

    def authenticate(self, header: str | None) -> str:
        """Return the operator named by an ``Authorization`` header.

        Raises
        ------
        AuthenticationError
            The header is absent or malformed, or the key is unknown.
        """
        scheme, _, key = (header or "").partition(" ")
        if scheme.lower() != "bearer" or not key.strip():
            raise AuthenticationError(
                "no operator key; send the header 'Authorization: Bearer <key>'"
            )
        presented = hash_key(key.strip())
        found = ""
        # All digests are compared, so that the response time does not reveal which
        # operator the key belongs to.
        for operator, digest in self._digests.items():
            if hmac.compare_digest(presented, digest):
                found = operator
        if not found:
            raise AuthenticationError(
                "the operator key is unknown; add its digest to operator_keys in the "
                "settings of this node"
            )
        return found
