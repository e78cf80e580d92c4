"""Authentication of callers by their keys."""

from multidict import CIMultiDictProxy

from fireflyspread.bundle import BundleHolder, hash_key
from fireflyspread.exceptions import AuthenticationError
from fireflyspread.nodes import Identity

__all__ = ["Authenticator"]

_SCHEME = "bearer "


class Authenticator:
    """Finds the team of a key in the active bundle."""

    def __init__(self, bundles: BundleHolder) -> None:
        self._bundles = bundles

    def authenticate(self, headers: CIMultiDictProxy[str]) -> Identity:
        """Return the identity of the key in the ``Authorization`` header.

        Raises
        ------
        AuthenticationError
            The key is missing, unknown or withdrawn.
        """
        value = headers.get("Authorization", "")
        if not value.lower().startswith(_SCHEME):
            raise AuthenticationError(
                "no key; send the header 'Authorization: Bearer <key>'"
            )
        return self.authenticate_digest(hash_key(value[len(_SCHEME) :].strip()))

    def authenticate_digest(self, key_digest: str) -> Identity:
        """Return the identity of a key digest in the active bundle.

        Raises
        ------
        AuthenticationError
            The digest is unknown or withdrawn.
        """
        team = self._bundles.get_active().keys.get(key_digest)
        if team is None:
            raise AuthenticationError(
                "the key is unknown or withdrawn; ask your operator for a new one"
            )
        return Identity(team=team, key_digest=key_digest)
