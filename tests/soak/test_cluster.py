"""Clusters of real processes that tests and soak runs start."""

from pathlib import Path

import pytest

from soak.cluster import Cluster, Gateway


class TestCluster:
    async def test_that_does_not_start_leaves_no_process(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against nodes that join the cluster of a later test."""
        init = Gateway.__init__

        def take_port_of_metrics(self, *args) -> None:
            init(self, *args)
            if self.name == "front-1":
                self.callers = self.metrics

        monkeypatch.setattr(Gateway, "__init__", take_port_of_metrics)
        cluster = Cluster(tmp_path, nodes=2)
        with pytest.raises(AssertionError, match="front-1 is not ready"):
            await cluster.__aenter__()
        processes = [each.process for each in (*cluster.nodes, *cluster.loan_servers)]
        assert len(processes) == 4
        assert all(p is not None and p.returncode is not None for p in processes)
