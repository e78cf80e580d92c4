"""A cluster of daemon processes and stand-ins on this machine."""

from tests.harness._cluster import LocalCluster
from tests.harness._forwarder import Forwarder
from tests.harness._nodes import NodeProcess
from tests.harness._targets import Deployment, load_bundle, load_keys

__all__ = [
    "Deployment",
    "Forwarder",
    "LocalCluster",
    "NodeProcess",
    "load_bundle",
    "load_keys",
]
