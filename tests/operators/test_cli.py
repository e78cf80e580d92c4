"""The command line against running administration APIs."""

import asyncio
import json
import ssl
from collections.abc import AsyncIterator
from io import StringIO
from pathlib import Path

import pytest
import trustme
from aiohttp import web
from attrs import frozen
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.buffered_output import BufferedOutput

from fireflyspread.bundle import hash_key
from fireflyspread.operators import MemberVersion
from fireflyspread.operators.cli import run
from tests.bundle.examples import KEY, make_bundle, make_config
from tests.operators.admin_node import ANA_KEY, AdminNode

# Nothing listens on the discard port of the loopback address.
DEAD_URL = "http://127.0.0.1:9"


@frozen
class Result:
    """Exit code and output of one command."""

    code: int
    output: str
    errors: str


@frozen
class Shell:
    """Runs commands with client settings in a temporary folder."""

    folder: Path

    async def run(
        self, *arguments: str, stdin: str = "", is_terminal: bool = False
    ) -> Result:
        """Run one command, in a thread because it starts its own event loop."""
        source = ArgvInput(["fireflyspread", *arguments])
        source.set_stream(StringIO(stdin))
        if is_terminal:
            source.interactive(True)
        output, errors = BufferedOutput(), BufferedOutput()
        code = await asyncio.to_thread(run, source, output=output, errors=errors)
        return Result(int(code), output.fetch(), errors.fetch())

    def write(self, name: str, data: object) -> str:
        """Write a JSON file and return its path."""
        path = self.folder / name
        path.write_text(json.dumps(data), encoding="utf-8")
        return str(path)

    def write_client(self, **fields: object) -> None:
        """Write the client settings."""
        self.write("client.json", {"operator_key": ANA_KEY, **fields})
        (self.folder / "client.json").chmod(0o600)

    async def roll(self, config: object, version: int) -> str:
        """Draft, approve and roll a bundle; return its digest."""
        drafted = await self.run("bundle", "draft", self.write("new.json", config))
        digest = drafted.output.strip()
        assert (await self.run("bundle", "approve", digest)).code == 0
        result = await self.run("bundle", "roll", digest, "--expect", str(version))
        assert result.code == 0, result.errors
        return digest


@pytest.fixture
def node() -> AdminNode:
    """A node without members."""
    return AdminNode()


@pytest.fixture
async def shell(
    node: AdminNode, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> AsyncIterator[Shell]:
    """A shell whose client settings name an unreachable node and ``node``."""
    api = node.make_api()
    await api.start()
    shell = Shell(tmp_path)
    urls = {"entry-0": DEAD_URL, "entry-1": f"http://{api.address}"}
    shell.write_client(nodes=urls)
    monkeypatch.setenv("FIREFLYSPREAD_CLIENT", str(tmp_path / "client.json"))
    yield shell
    await api.stop()


class TestBundle:
    """fireflyspread bundle."""

    async def test_check_prints_digest(self, shell: Shell) -> None:
        """Guards against a printed digest other than that of the stored bundle."""
        result = await shell.run("bundle", "check", shell.write("b", make_config()))
        assert (result.code, result.output.strip()) == (0, make_bundle().digest)

    async def test_check_names_problem(self, shell: Shell) -> None:
        """Guards against accepting an invalid bundle, or refusing it without reason."""
        config = make_config()
        config["routes"][0]["target"] = "absent"
        result = await shell.run("bundle", "check", shell.write("b", config))
        assert result.code == 1 and "absent target" in result.errors

    async def test_rolls_through_reachable_node(self, shell: Shell) -> None:
        """Guards against a roll that fails because one node is unreachable."""
        digest = await shell.roll(make_config(), 0)
        result = await shell.run("bundle", "status", "--json")
        assert json.loads(result.output)["current"]["digest"] == digest

    async def test_show_prints_bundle_in_force(self, shell: Shell) -> None:
        """Guards against a printed bundle that differs from the one in force."""
        digest = await shell.roll(make_config(), 0)
        for arguments in ([], [digest]):
            shown = await shell.run("bundle", "show", *arguments)
            path = shell.write("shown.json", json.loads(shown.output))
            checked = await shell.run("bundle", "check", path)
            assert checked.output.strip() == digest

    async def test_roll_reports_conflict(self, shell: Shell) -> None:
        """Guards against a conflict that scripts cannot tell from other refusals.

        It has an exit code of its own, and the error names the operator of the other
        roll.
        """
        digest = await shell.roll(make_config(), 0)
        result = await shell.run("bundle", "roll", digest, "--expect", "0")
        assert result.code == 4 and "ana rolled version 1" in result.errors

    async def test_roll_needs_confirmation(self, shell: Shell) -> None:
        """Guards against a roll by a script that names no version in force."""
        digest = await shell.roll(make_config(), 0)
        result = await shell.run("bundle", "roll", digest)
        assert result.code == 2 and "--expect" in result.errors

    @pytest.mark.parametrize(("answer", "code"), [("yes", 0), ("no", 2), ("", 2)])
    async def test_roll_asks_at_terminal(
        self, shell: Shell, answer: str, code: int
    ) -> None:
        """Guards against a roll that the operator has not seen and confirmed."""
        await shell.roll(make_config(), 0)
        config = {**make_config(), "routes": []}
        digest = (await shell.run("bundle", "draft", shell.write("b", config))).output
        await shell.run("bundle", "approve", digest.strip())
        result = await shell.run(
            "bundle", "roll", digest.strip(), stdin=f"{answer}\n", is_terminal=True
        )
        assert result.code == code, result.errors
        assert "removed route order" in result.output

    async def test_diff_marks_owner_change(self, shell: Shell) -> None:
        """Guards against differences that depend on the kind of the operands.

        The operands are a file, a draft and the bundle in force.
        """
        old = shell.write("old.json", make_config())
        await shell.roll(make_config(), 0)
        config = make_config()
        config["targets"][1]["half"] = "south"
        new = shell.write("new.json", config)
        draft = (await shell.run("bundle", "draft", new)).output.strip()
        expected = "changed target quotes (half: north -> south) [new owner]"
        for arguments in ([new], [draft], [new, "--against", old]):
            result = await shell.run("bundle", "diff", *arguments)
            assert result.output.strip() == expected


class TestKey:
    """fireflyspread key."""

    async def test_hash_reads_standard_input(self, shell: Shell) -> None:
        """Guards against a digest that includes the line break after the key."""
        result = await shell.run("key", "hash", stdin=f"{KEY}\n")
        assert result.output.strip() == hash_key(KEY)

    async def test_withdraws_by_key(self, shell: Shell, node: AdminNode) -> None:
        """Guards against a withdrawal that prints the key or sends it to the store."""
        await shell.roll(make_config(), 0)
        result = await shell.run("key", "withdraw", stdin=KEY)
        assert result.code == 0 and "version 2" in result.output
        assert KEY not in result.output + result.errors
        assert not any(KEY.encode() in e.value for e in node.store.written)

    async def test_withdraws_key_that_looks_like_digest(self, shell: Shell) -> None:
        """Guards against taking a key of 64 hex digits for a digest."""
        key, config = "ab" * 32, make_config()
        config["keys"][0]["digest"] = hash_key(key)
        await shell.roll(config, 0)
        result = await shell.run("key", "withdraw", stdin=key)
        assert result.code == 0 and hash_key(key)[:12] in result.output

    async def test_refuses_key_as_argument(self, shell: Shell) -> None:
        """Guards against accepting a key as argument or repeating it in the error."""
        result = await shell.run("key", "withdraw", KEY)
        assert result.code == 2 and KEY not in result.errors


class TestNodes:
    """fireflyspread rollout, state and config."""

    async def test_wait_ends_after_confirmation(
        self, shell: Shell, node: AdminNode
    ) -> None:
        """Guards against a wait that continues after the last confirmation."""
        await shell.roll(make_config(), 0)
        node.members = [MemberVersion(node="entry-1", zone="a", bundle_version=0)]
        waiting = asyncio.create_task(shell.run("rollout", "wait"))
        await asyncio.sleep(0.1)
        node.members = [MemberVersion(node="entry-1", zone="a", bundle_version=1)]
        result = await waiting
        assert result.code == 0 and "1 of 1 nodes" in result.errors

    async def test_wait_names_missing_node(self, shell: Shell, node: AdminNode) -> None:
        """Guards against success, or an unnamed node, after an incomplete rollout."""
        await shell.roll(make_config(), 0)
        node.members = [MemberVersion(node="entry-1", zone="a", bundle_version=0)]
        result = await shell.run("rollout", "wait", "--timeout", "0")
        assert result.code == 1 and "entry-1" in result.output

    async def test_dump_names_known_nodes(self, shell: Shell) -> None:
        """Guards against an error for an unknown node that lists no valid names."""
        result = await shell.run("state", "dump", "entry-9")
        assert result.code == 2 and "entry-0, entry-1" in result.errors
        result = await shell.run("state", "dump", "entry-1")
        assert json.loads(result.output) == {"epoch": 3}

    async def test_check_names_invalid_settings_field(self, shell: Shell) -> None:
        """Guards against invalid settings that are found only at a daemon's start."""
        result = await shell.run("config", "check", shell.write("s", {"nodes": 1}))
        assert result.code == 1 and "nodes" in result.errors

    async def test_status_shows_members_without_store(
        self, shell: Shell, node: AdminNode
    ) -> None:
        """Guards against a status without the members while the store is down."""
        node.members = [MemberVersion(node="entry-1", zone="a", bundle_version=4)]
        node.store.is_down = True
        result = await shell.run("bundle", "status")
        assert result.code == 1 and "store_unavailable" in result.errors
        assert "entry-1" in result.output

    async def test_reports_no_connection(self, shell: Shell) -> None:
        """Guards against an exit code that takes an unreachable node for a refusal."""
        shell.write_client(nodes={"entry-0": DEAD_URL})
        result = await shell.run("bundle", "status")
        assert result.code == 3 and DEAD_URL in result.errors

    async def test_verifies_certificates(self, shell: Shell, node: AdminNode) -> None:
        """Guards against sending a key to a node without a trusted certificate."""
        authority, path = trustme.CA(), shell.folder / "ca.pem"
        tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        authority.issue_cert("127.0.0.1").configure_cert(tls)
        api = node.make_api(tls=tls)
        await api.start()
        for issuer, code in ((authority, 0), (trustme.CA(), 3)):
            issuer.cert_pem.write_to_path(str(path))
            nodes = {"entry-1": f"https://{api.address}"}
            shell.write_client(nodes=nodes, authority=str(path))
            assert (await shell.run("bundle", "status")).code == code
        await api.stop()

    async def test_reports_wrong_key(self, shell: Shell) -> None:
        """Guards against a refused operator key that is reported without its code."""
        client = json.loads((shell.folder / "client.json").read_text())
        shell.write_client(nodes=client["nodes"], operator_key="wrong")
        result = await shell.run("bundle", "status")
        assert result.code == 1 and "key_unknown" in result.errors


class TestPrograms:
    """fireflyspread programs."""

    async def test_list_reports_missing_node(self, shell: Shell) -> None:
        """Guards against an incomplete list that is taken for a complete one."""
        result = await shell.run("programs", "list")
        assert result.code == 3
        assert "p1" in result.output and "entry-0 is missing" in result.errors

    async def test_end_does_not_claim_absence(self, shell: Shell) -> None:
        """Guards against reporting that a program does not exist when it may.

        It may be on the node that does not respond.
        """
        assert (await shell.run("programs", "end", "p1")).code == 0
        assert (await shell.run("programs", "show", "p1")).code == 3


class TestCall:
    """fireflyspread call."""

    async def test_prints_answer_and_ends_program(
        self, shell: Shell, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a failed call, or a program left open, after a lost response.

        The first response to the turn is lost.
        """
        seen: list[str] = []

        async def handle(request: web.Request) -> web.Response:
            assert request.headers["Authorization"] == f"Bearer {KEY}"
            seen.append(f"{request.method} {request.path}")
            if request.path == "/v1/programs":
                return web.json_response({"id": "p-1"}, status=201)
            if len(seen) == 2:
                assert request.transport is not None
                request.transport.abort()
            message = {"role": "assistant", "content": "lid 7\x1b[2J"}
            return web.json_response({"choices": [{"message": message}]})

        app = web.Application()
        app.router.add_route("*", "/{path:.*}", handle)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        port = runner.addresses[0][1]
        shell.write_client(nodes={"a": DEAD_URL}, callers=f"http://127.0.0.1:{port}")
        monkeypatch.setenv("FIREFLYSPREAD_KEY", KEY)
        result = await shell.run("call", "lid-matching", "Which lid fits?")
        await runner.cleanup()
        assert (result.code, result.output) == (0, "lid 7?[2J\n")
        turn = "POST /v1/programs/p-1/turns"
        assert seen == ["POST /v1/programs", turn, turn, "DELETE /v1/programs/p-1"]
