"""Commands of the README."""

import asyncio
import re
import subprocess
from pathlib import Path

import pytest

from tools.cluster import LocalCluster, load_keys

ROOT = Path(__file__).parents[1]
README = (ROOT / "README.md").read_text(encoding="utf-8")


def list_blocks(mark: str) -> list[str]:
    """Return the shell blocks that follow a comment with ``mark``.

    Blocks with the mark ``given`` set the variables of those with ``run``, which are
    executed. The commands of ``dry`` are only passed to ``make -n``.
    """
    pattern = rf"<!-- shell: {mark} -->\n```sh\n(.*?)```"
    return re.findall(pattern, README, re.DOTALL)


class TestReadme:
    """README.md."""

    def test_every_block_is_marked(self) -> None:
        """Guards against blocks without a mark, which no test runs."""
        marked = [list_blocks(mark) for mark in ("dry", "given", "run")]
        assert all(marked)
        assert README.count("```sh\n") == sum(map(len, marked))

    @pytest.mark.parametrize("block", list_blocks("dry"))
    def test_make_targets_exist(self, block: str) -> None:
        """Guards against renamed make targets; only a dry run is made here."""
        for line in block.splitlines():
            assert line.startswith("make ")
            command = line.replace("make ", "make -n ", 1)
            subprocess.run(command, shell=True, cwd=ROOT, check=True, timeout=60)

    def test_options_exist(self) -> None:
        """Guards against renamed options of the local run."""
        found = re.findall(r'RUN_ARGS="([^"]*)"', README)
        source = (ROOT / "tools" / "run_local.py").read_text(encoding="utf-8")
        options = re.findall(r"--[a-z-]+", " ".join(found))
        assert options
        assert all(f'"{option}"' in source for option in options)

    async def test_requests_are_answered(self) -> None:
        """Guards against copied requests that are refused or answered wrongly."""
        key = load_keys("poklopac")["sourcing"]
        (given,) = list_blocks("given")
        assert f"KEY={key}\n" in given
        async with LocalCluster(nodes=1, forwarders=False) as cluster:
            start = re.sub(r"NODE=\S+", f"NODE={cluster.urls[0]}", given)
            process = await asyncio.create_subprocess_exec(
                "bash",
                "-euo",
                "pipefail",
                "-c",
                "\n".join([start, *list_blocks("run")]),
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.PIPE,
                cwd=ROOT,
            )
            async with asyncio.timeout(60):
                output, errors = await process.communicate()
            assert process.returncode == 0, errors.decode()
            services = cluster.deployment.services.values()
            effects = [effect.path for s in services for effect in s.effects]
        text = output.decode()
        assert "data: [DONE]" in text
        assert '"ended":true' in text
        assert text.count('"ran":true') == 3
        assert sorted(effects) == ["/orders", "/quotes"]
