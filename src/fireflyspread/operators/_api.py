"""Administration API on its own port."""

import logging
import ssl

import msgspec
from aiohttp import web

from fireflyspread.bundle import ActiveBundle, Bundle, Rollout, compare
from fireflyspread.exceptions import NotFoundError, RequestError, StoreError
from fireflyspread.operators._authentication import OperatorKeys
from fireflyspread.operators._responses import (
    Handler,
    handle_errors,
    make_response,
    read_json,
)
from fireflyspread.operators._views import MemberLister, ProgramAdmin, StateDumper
from fireflyspread.settings import Address, Settings

__all__ = ["AdminApi"]

_LOG = logging.getLogger(__name__)
_OPERATOR = web.RequestKey("operator", str)
_MAX_LISTED_PROGRAMS = 1_000

# Seconds that requests in flight have to finish when the API stops.
_SHUTDOWN_TIMEOUT = 2.0


class _RollRequest(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    expected_version: int
    write_id: str | None = None


class AdminApi:
    """HTTP API for operators.

    Parameters
    ----------
    list_members : callable
        Returns each member with the bundle version that it has confirmed.
    dump_state : callable
        Returns the state for a state dump, in JSON types.
    max_body_bytes : int
        Maximum size of a request body.
    tls : ssl.SSLContext, optional
        Serves HTTPS when given.
    """

    def __init__(
        self,
        *,
        address: Address,
        keys: OperatorKeys,
        rollout: Rollout,
        programs: ProgramAdmin,
        list_members: MemberLister,
        dump_state: StateDumper,
        max_body_bytes: int = 4 << 20,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._address = address
        self._keys = keys
        self._rollout = rollout
        self._programs = programs
        self._list_members = list_members
        self._dump_state = dump_state
        self._max_body_bytes = max_body_bytes
        self._tls = tls
        self._runner: web.AppRunner | None = None

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        *,
        rollout: Rollout,
        programs: ProgramAdmin,
        list_members: MemberLister,
        dump_state: StateDumper,
    ) -> "AdminApi":
        """Build the API of one node from its settings."""
        tls = None
        if settings.tls is not None:
            tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
            tls.load_cert_chain(settings.tls.certificate, settings.tls.private_key)
        return cls(
            address=settings.listen.operators,
            keys=OperatorKeys(settings.operator_keys),
            rollout=rollout,
            programs=programs,
            list_members=list_members,
            dump_state=dump_state,
            max_body_bytes=settings.limits.body_bytes,
            tls=tls,
        )

    @property
    def address(self) -> Address:
        """Address on which the API listens; after ``start`` with the actual port."""
        if self._runner is not None and self._runner.addresses:
            host, port = self._runner.addresses[0][:2]
            return Address(host=host, port=port)
        return self._address

    async def start(self) -> None:
        """Listen for requests."""
        self._runner = web.AppRunner(
            self.make_app(), access_log=None, shutdown_timeout=_SHUTDOWN_TIMEOUT
        )
        await self._runner.setup()
        site = web.TCPSite(
            self._runner,
            self._address.host,
            self._address.port,
            ssl_context=self._tls,
        )
        await site.start()

    async def stop(self) -> None:
        """Finish requests in flight and stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def make_app(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application(
            client_max_size=self._max_body_bytes,
            middlewares=[handle_errors, self._authenticate],
        )
        bundles, programs = "/admin/v1/bundles", "/admin/v1/programs"
        app.add_routes(
            [
                web.get(f"{bundles}/current", self._get_current),
                web.post(bundles, self._post_draft),
                web.get(f"{bundles}/{{digest}}", self._get_bundle),
                web.post(f"{bundles}/{{digest}}/approvals", self._post_approval),
                web.post(f"{bundles}/{{digest}}/roll", self._post_roll),
                web.get("/admin/v1/rollout", self._get_rollout),
                web.post("/admin/v1/keys/{digest}/withdraw", self._post_withdrawal),
                web.get("/admin/v1/state", self._get_state),
                web.get(programs, self._get_programs),
                web.get(f"{programs}/{{id}}", self._get_program),
                web.delete(f"{programs}/{{id}}", self._delete_program),
            ]
        )
        return app

    @web.middleware
    async def _authenticate(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        header = request.headers.get("Authorization")
        request[_OPERATOR] = self._keys.authenticate(header)
        return await handler(request)

    async def _get_current(self, request: web.Request) -> web.Response:
        current = await self._rollout.read_current()
        if current is None:
            raise NotFoundError("no bundle is in force; draft, approve and roll one")
        bundle = await self._rollout.read_bundle(current.digest)
        return make_response(
            {
                "version": current.version,
                "digest": current.digest,
                "rolled_by": current.rolled_by,
                "fences": current.fences,
                "recent": current.recent,
                "bundle": msgspec.Raw(bundle.to_json()),
            }
        )

    async def _post_draft(self, request: web.Request) -> web.Response:
        bundle = Bundle.from_json(await request.read())
        digest = await self._rollout.draft(bundle)
        _audit(request, "bundle drafted", digest=digest)
        return make_response(await self._describe_bundle(digest, bundle), status=201)

    async def _get_bundle(self, request: web.Request) -> web.Response:
        digest = request.match_info["digest"]
        bundle = await self._rollout.read_bundle(digest)
        description = await self._describe_bundle(digest, bundle)
        description["bundle"] = msgspec.Raw(bundle.to_json())
        return make_response(description)

    async def _describe_bundle(self, digest: str, bundle: Bundle) -> dict[str, object]:
        active = await self._rollout.read_active()
        return {
            "digest": digest,
            "approvals": await self._rollout.list_approvals(digest),
            "approvals_needed": self._rollout.approvals_needed,
            "compared_with": 0 if active is None else active.version,
            "differences": [
                {
                    "action": difference.action,
                    "section": difference.section,
                    "name": difference.name,
                    "changes_owner": difference.changes_owner,
                    "text": str(difference),
                }
                for difference in compare(_get_active_bundle(active), bundle)
            ],
        }

    async def _post_approval(self, request: web.Request) -> web.Response:
        digest = request.match_info["digest"]
        approvals = await self._rollout.approve(digest, request[_OPERATOR])
        _audit(request, "bundle approved", digest=digest)
        return make_response(
            {
                "digest": digest,
                "approvals": approvals,
                "approvals_needed": self._rollout.approvals_needed,
            }
        )

    async def _post_roll(self, request: web.Request) -> web.Response:
        body = await read_json(request, _RollRequest)
        digest = request.match_info["digest"]
        roll = await self._rollout.roll(
            digest,
            request[_OPERATOR],
            body.expected_version,
            write_id=body.write_id,
        )
        _audit(request, "bundle rolled", digest=digest, version=roll.version)
        return make_response(roll)

    async def _post_withdrawal(self, request: web.Request) -> web.Response:
        digest = request.match_info["digest"]
        roll = await self._rollout.withdraw_key(digest, request[_OPERATOR])
        _audit(request, "key withdrawn", digest=digest, version=roll.version)
        return make_response(roll)

    async def _get_rollout(self, request: web.Request) -> web.Response:
        members = self._list_members()
        version = max((member.bundle_version for member in members), default=0)
        is_store_up = True
        try:
            current = await self._rollout.read_current()
            version = version if current is None else max(version, current.version)
        except StoreError:
            # The newest version that a member has confirmed is reported instead.
            is_store_up = False
        return make_response(
            {
                "version": version,
                "is_store_up": is_store_up,
                "confirmed": [m for m in members if m.bundle_version >= version],
                "missing": [m for m in members if m.bundle_version < version],
            }
        )

    async def _get_state(self, request: web.Request) -> web.Response:
        return make_response(self._dump_state())

    async def _get_programs(self, request: web.Request) -> web.Response:
        programs = await self._programs.list_programs(
            team=request.query.get("team"), limit=_read_limit(request)
        )
        return make_response({"programs": list(programs)})

    async def _get_program(self, request: web.Request) -> web.Response:
        return make_response(
            await self._programs.read_program(request.match_info["id"])
        )

    async def _delete_program(self, request: web.Request) -> web.Response:
        program = request.match_info["id"]
        view = await self._programs.end_program(program, operator=request[_OPERATOR])
        _audit(request, "program ended", program=program, team=view.team)
        return make_response(view)


def _get_active_bundle(active: ActiveBundle | None) -> Bundle | None:
    return None if active is None else active.bundle


def _read_limit(request: web.Request) -> int:
    text = request.query.get("limit", "100")
    if not text.isdecimal() or not 1 <= int(text) <= _MAX_LISTED_PROGRAMS:
        raise RequestError(
            f"limit {text!r} is invalid; use a number from 1 to {_MAX_LISTED_PROGRAMS}"
        )
    return int(text)


def _audit(request: web.Request, action: str, **fields: object) -> None:
    _LOG.info(action, extra={"operator": request[_OPERATOR], **fields})
