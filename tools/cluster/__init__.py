"""Local cluster of daemon processes and stand-ins."""

from tools.cluster._cluster import LocalCluster
from tools.cluster._forwarder import Forwarder
from tools.cluster._nodes import NodeProcess
from tools.cluster._targets import Deployment, load_bundle, load_keys

__all__ = [
    "Deployment",
    "Forwarder",
    "LocalCluster",
    "NodeProcess",
    "load_bundle",
    "load_keys",
]
