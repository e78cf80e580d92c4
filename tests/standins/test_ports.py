"""Ports that tests give to the processes that they start."""

import subprocess
import sys

from standins._base import find_free_port

_COUNT = 300


class TestFindFreePort:
    def test_differs_from_the_ports_of_other_processes(self):
        """Guards against processes of two test runs that listen on the same port."""
        code = (
            "from standins._base import find_free_port\n"
            f"print(*(find_free_port() for _ in range({_COUNT})), flush=True)\n"
            "input()\n"
        )
        others = [
            subprocess.Popen(
                [sys.executable, "-c", code],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(3)
        ]
        ports = [find_free_port() for _ in range(_COUNT)]
        try:
            for other in others:
                assert other.stdout is not None
                ports.extend(int(port) for port in other.stdout.readline().split())
        finally:
            for other in others:
                other.communicate("\n")
        assert len(set(ports)) == len(ports) == (1 + len(others)) * _COUNT
