"""Finds out who sent a request."""

from multidict import CIMultiDictProxy

from fireflyspread.bundle import BundleHolder, hash_key
from fireflyspread.exceptions import AuthenticationError
from fireflyspread.nodes import Identity

__all__ = ["Authenticator"]

_SCHEME = "bearer "


class Authenticator:
    """Finds the team of a key in the bundle in force."""

    def __init__(self, bundles: BundleHolder) -> None:
        self._bundles = bundles

    def authenticate(self, headers: CIMultiDictProxy[str]) -> Identity:
        """Return the identity behind the ``Authorization`` header.

        Raises
        ------
        AuthenticationError
            No key, an unknown key or a withdrawn key.
        """
        value = headers.get("Authorization", "")
        if not value.lower().startswith(_SCHEME):
            raise AuthenticationError(
                "no key; send the header 'Authorization: Bearer <key>'"
            )
        return self.confirm(hash_key(value[len(_SCHEME) :].strip()))

    def confirm(self, key_digest: str) -> Identity:
        """Return the identity of a key digest that is in force.

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
