"""``fireflyspread bundle``."""

import re
import secrets
from typing import Any

import msgspec
from cleo.helpers import argument, option

from fireflyspread.bundle import (
    MAX_BUNDLE_BYTES,
    Bundle,
    Difference,
    compare,
)
from fireflyspread.exceptions import BundleError, StoreError
from fireflyspread.operators._client import AdminClient
from fireflyspread.operators._commands._base import (
    JSON_OPTION,
    AdminCommand,
    FireflyCommand,
    read_file,
)
from fireflyspread.operators._failures import ExitCode, RefusedError, UsageError

__all__ = [
    "BundleApproveCommand",
    "BundleCheckCommand",
    "BundleDiffCommand",
    "BundleDraftCommand",
    "BundleRollCommand",
    "BundleShowCommand",
    "BundleStatusCommand",
]

_DIGEST = re.compile(r"[0-9a-f]{64}")
_DIGEST_ARGUMENT = argument("digest", "Digest that 'bundle draft' printed.")


def _read_bundle(path: str) -> Bundle:
    return Bundle.from_json(read_file(path))


async def _read_current(admin: AdminClient) -> dict[str, Any] | None:
    try:
        return await admin.call("GET", "/bundles/current")
    except RefusedError as exc:
        if exc.response_status == 404:
            return None
        raise


def _require_digest(text: str) -> str:
    if not _DIGEST.fullmatch(text):
        raise UsageError(
            f"{text!r} is not a digest; give the 64 hex digits that "
            "'fireflyspread bundle draft' printed"
        )
    return text


class BundleCheckCommand(FireflyCommand):
    """Check a bundle file without a connection."""

    name = "bundle check"
    description = "Checks a bundle file and prints its digest."
    arguments = [argument("file", "Bundle as JSON.")]
    options = [JSON_OPTION]

    def handle(self) -> int:
        bundle = _read_bundle(self.argument("file"))
        size = len(bundle.to_json())
        if size > MAX_BUNDLE_BYTES:
            raise BundleError(
                f"the bundle has {size} bytes and the store accepts at most "
                f"{MAX_BUNDLE_BYTES}; remove withdrawn keys and unused routes"
            )
        counts = {
            "teams": len(bundle.teams),
            "keys": len(bundle.keys),
            "targets": len(bundle.targets),
            "routes": len(bundle.routes),
        }
        data = {"digest": bundle.digest, "bytes": size, **counts}
        if self.option("json"):
            self.print_json(data)
        else:
            self.print(bundle.digest)
            self.warn(
                ", ".join(f"{n} {kind}" for kind, n in counts.items())
                + f", {size} bytes"
            )
        return ExitCode.OK


class _BundleCommand(AdminCommand):
    def print_differences(self, differences: list[dict[str, Any]]) -> None:
        """Print one line for each difference and mark changes of the owner."""
        for difference in differences:
            mark = " [new owner]" if difference["changes_owner"] else ""
            self.print(f"  {difference['text']}{mark}")
        if not differences:
            self.print("  no difference")


def _describe(difference: Difference) -> dict[str, Any]:
    return {
        "action": difference.action.value,
        "section": difference.section,
        "name": difference.name,
        "changes_owner": difference.changes_owner,
        "text": str(difference),
    }


class BundleDiffCommand(_BundleCommand):
    """Compare a bundle with the bundle in force or another file."""

    name = "bundle diff"
    description = "Shows what a bundle changes."
    arguments = [argument("bundle", "Bundle file, or digest of a draft.")]
    options = [
        option("against", None, "Compare with this file instead.", flag=False),
        JSON_OPTION,
    ]

    async def perform(self) -> int:
        name = self.argument("bundle")
        if self.option("against") is not None:
            old = _read_bundle(self.option("against"))
            differences = [_describe(d) for d in compare(old, _read_bundle(name))]
        elif _DIGEST.fullmatch(name):
            async with self.open_admin() as admin:
                draft = await admin.call("GET", f"/bundles/{name}")
            differences = draft["differences"]
        else:
            new = _read_bundle(name)
            async with self.open_admin() as admin:
                current = await _read_current(admin)
            old_bundle = (
                None if current is None else Bundle.from_config(current["bundle"])
            )
            differences = [_describe(d) for d in compare(old_bundle, new)]
        if self.option("json"):
            self.print_json(differences)
        else:
            self.print_differences(differences)
        return ExitCode.OK


class BundleShowCommand(AdminCommand):
    """Print a bundle, for example to edit the one in force."""

    name = "bundle show"
    description = "Prints the bundle in force, or a draft, as JSON."
    arguments = [
        argument(
            "digest",
            "Digest of a draft; the bundle in force when absent.",
            optional=True,
        )
    ]

    async def perform(self) -> int:
        digest = self.argument("digest")
        name = "current" if digest is None else _require_digest(digest)
        async with self.open_admin() as admin:
            found = await admin.call("GET", f"/bundles/{name}")
        self.print_json(found["bundle"])
        # Standard output has only the bundle, so that it can be saved to a file.
        if digest is None:
            self.warn(f"version {found['version']}, digest {found['digest']}")
        return ExitCode.OK


class BundleDraftCommand(_BundleCommand):
    """Store a bundle so that it can be approved."""

    name = "bundle draft"
    description = "Stores a bundle for approval and prints its digest."
    arguments = [argument("file", "Bundle as JSON.")]
    options = [JSON_OPTION]

    async def perform(self) -> int:
        bundle = _read_bundle(self.argument("file"))
        async with self.open_admin() as admin:
            draft = await admin.call("POST", "/bundles", data=bundle.to_json())
        return self.print_result(draft, draft["digest"])


class BundleApproveCommand(_BundleCommand):
    """Approve a drafted bundle by its digest."""

    name = "bundle approve"
    description = "Approves a drafted bundle and shows what it changes."
    arguments = [_DIGEST_ARGUMENT]
    options = [JSON_OPTION]

    async def perform(self) -> int:
        path = f"/bundles/{_require_digest(self.argument('digest'))}"
        async with self.open_admin() as admin:
            draft = await admin.call("GET", path)
            if not self.option("json"):
                self.print_differences(draft["differences"])
            approved = await admin.call("POST", f"{path}/approvals")
        names = ", ".join(approved["approvals"])
        return self.print_result(
            approved, f"approved by {names} ({approved['approvals_needed']} needed)"
        )


class BundleRollCommand(_BundleCommand):
    """Put an approved bundle in force."""

    name = "bundle roll"
    description = "Puts an approved bundle in force."
    arguments = [_DIGEST_ARGUMENT]
    options = [
        option(
            "expect",
            None,
            "Version in force that the bundle was compared with (0: none). When "
            "absent, the changes are shown and must be confirmed at a prompt.",
            flag=False,
        ),
        JSON_OPTION,
    ]

    async def perform(self) -> int:
        digest = _require_digest(self.argument("digest"))
        expected = self.read_number("expect")
        async with self.open_admin() as admin:
            if expected is None:
                expected = await self._confirm(admin, digest)
            # The write id makes the roll idempotent, so that another node can retry it.
            body = {"expected_version": expected, "write_id": secrets.token_hex(16)}
            roll = await admin.call("POST", f"/bundles/{digest}/roll", body=body)
        return self.print_result(roll, f"version {roll['version']} rolled")

    async def _confirm(self, admin: AdminClient, digest: str) -> int:
        if not self.io.is_interactive():
            raise UsageError("no terminal to confirm on; give --expect VERSION")
        draft = await admin.call("GET", f"/bundles/{digest}")
        version: int = draft["compared_with"]
        self.print(f"Changes to version {version}:")
        self.print_differences(draft["differences"])
        if not self.confirm("Roll this bundle?"):
            raise UsageError("not confirmed; nothing was rolled")
        return version


class BundleStatusCommand(AdminCommand):
    """Show the bundle in force and which nodes have confirmed it."""

    name = "bundle status"
    description = "Shows the bundle in force and which nodes have confirmed it."
    options = [JSON_OPTION]

    async def perform(self) -> int:
        async with self.open_admin() as admin:
            rollout = await admin.call("GET", "/rollout")
            failure, current = await self._try_read_current(admin)
        if self.option("json"):
            current = {k: v for k, v in (current or {}).items() if k != "bundle"}
            self.print_json({"current": current or None, "rollout": rollout})
        else:
            if current is not None:
                self._print_rolls(current)
            elif failure is None:
                self.print("no bundle is in force")
            members = [
                (m["node"], m["zone"], m["bundle_version"], state)
                for state in ("confirmed", "missing")
                for m in rollout[state]
            ]
            self.print_table(["Node", "Zone", "Version", "State"], members)
        if failure is not None:
            raise failure
        return ExitCode.OK

    async def _try_read_current(
        self, admin: AdminClient
    ) -> tuple[RefusedError | None, dict[str, Any] | None]:
        """Return the failure if the store is unavailable, or the bundle in force."""
        try:
            return None, await _read_current(admin)
        except RefusedError as exc:
            if exc.response_code != StoreError.code:
                raise
            return exc, None

    def _print_rolls(self, current: dict[str, Any]) -> None:
        rolls = [current, *current["recent"]][:5]
        rows = [(r["version"], r["digest"], r["rolled_by"]) for r in rolls]
        self.print_table(["Version", "Digest", "Rolled by"], rows)
        fences = msgspec.json.encode(current["fences"]).decode()
        self.print(f"fencing numbers: {fences}")
