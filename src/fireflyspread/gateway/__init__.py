"""The daemon that forwards requests on platforms of many small VMs."""

from fireflyspread.gateway._node import GatewayNode
from fireflyspread.gateway._settings import GatewaySettings

__all__ = ["GatewayNode", "GatewaySettings"]
