"""The command line against running nodes."""

from pathlib import Path

import pytest

from tests.operators.test_cli import Shell
from tools.cluster._cluster import OPERATORS, LocalCluster


class TestCluster:
    """fireflyspread with fireflyspreadd."""

    async def test_withdrawn_key_is_refused_everywhere(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a node that accepts a key after its withdrawal.

        This happens if ``rollout wait`` returns before every node has the new bundle.
        """
        shell = Shell(tmp_path)
        monkeypatch.setenv("FIREFLYSPREAD_CLIENT", str(tmp_path / "client.json"))
        async with LocalCluster(nodes=2) as cluster:
            nodes = {name: n.operators_url for name, n in cluster.nodes.items()}
            key = cluster.deployment.keys["sourcing"]
            monkeypatch.setenv("FIREFLYSPREAD_KEY", key)
            for withdrawn, code in ((False, 0), (True, 1)):
                if withdrawn:
                    assert (await shell.run("key", "withdraw", stdin=key)).code == 0
                    assert (await shell.run("rollout", "wait")).code == 0
                for url in cluster.urls:
                    shell.write_client(
                        nodes=nodes, callers=url, operator_key=OPERATORS["olga"]
                    )
                    result = await shell.run("call", "lid-matching", "Which lid?")
                    assert result.code == code, result.errors
        assert "key_unknown" in result.errors
