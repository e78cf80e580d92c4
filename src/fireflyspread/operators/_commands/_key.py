"""``fireflyspread key``."""

import re
import secrets

from cleo.helpers import argument, option

from fireflyspread.bundle import hash_key
from fireflyspread.operators._client import AdminClient
from fireflyspread.operators._commands._base import (
    JSON_OPTION,
    AdminCommand,
    FireflyCommand,
)
from fireflyspread.operators._failures import ExitCode, UsageError

__all__ = ["KeyHashCommand", "KeyWithdrawCommand"]

_DIGEST = re.compile(r"[0-9a-f]{64}")
_KEY_FILE = option(
    "key-file",
    None,
    "File with the key; when absent, a prompt or standard input is read.",
    flag=False,
)


class KeyHashCommand(FireflyCommand):
    """Print the digest of a key, as bundles and settings contain it."""

    name = "key hash"
    description = "Prints the digest of a key."
    options = [
        _KEY_FILE,
        option("generate", description="Make a new key and print it first."),
    ]

    def handle(self) -> int:
        if self.option("generate"):
            key = secrets.token_urlsafe(32)
            self.print(key)
        else:
            key = self.read_secret("Key:")
        self.print(hash_key(key))
        return ExitCode.OK


class KeyWithdrawCommand(AdminCommand):
    """Withdraw a caller's key at once."""

    name = "key withdraw"
    description = "Withdraws a caller's key from the bundle in force."
    arguments = [
        argument(
            "digest",
            "Digest of the key; read from a prompt when absent.",
            optional=True,
        )
    ]
    options = [_KEY_FILE, JSON_OPTION]

    async def perform(self) -> int:
        given = self.argument("digest")
        # Arguments stay in the shell's history, so a key is refused here, and the
        # message does not repeat it.
        if given is not None and not _DIGEST.fullmatch(given):
            raise UsageError(
                "the argument is not a digest; give the key itself at the prompt or "
                "with --key-file"
            )
        secret = given or self.read_secret("Key or its digest:")
        async with self.open_admin() as admin:
            digest = secret if given else await _resolve_digest(admin, secret)
            roll = await admin.call("POST", f"/keys/{digest}/withdraw")
        return self.print_result(
            roll, f"key {digest[:12]} withdrawn with version {roll['version']}"
        )


async def _resolve_digest(admin: AdminClient, secret: str) -> str:
    """Return the digest of a key; a digest is returned as it is.

    A key may consist of 64 hex digits, as a digest does. Such a value counts as a key
    if the bundle in force has its digest.
    """
    if not _DIGEST.fullmatch(secret):
        return hash_key(secret)
    current = await admin.call("GET", "/bundles/current")
    digests = {key["digest"] for key in current["bundle"]["keys"]}
    return hash_key(secret) if hash_key(secret) in digests else secret
