"""TCP options of connections to replicas, nodes and the store."""

import functools
import socket
from typing import Any

from fireflyspread._http_client import ClientConnector

__all__ = ["REPLICA_USER_TIMEOUT_MS", "configure_socket", "make_connector"]

# TCP closes a connection whose sent bytes or keepalive probes are unacknowledged for
# this time.
_TCP_USER_TIMEOUT_MS = 800
# Connections to replicas: a sound replica may be silent for a second and go on.
REPLICA_USER_TIMEOUT_MS = 1500
_TCP_KEEPALIVE_SECONDS = 1


def make_connector(
    *,
    keepalive: float,
    kind: type[ClientConnector] = ClientConnector,
    user_timeout: int = _TCP_USER_TIMEOUT_MS,
) -> ClientConnector:
    """Return a connector that closes connections whose peer stops acknowledging.

    Parameters
    ----------
    keepalive : float
        Seconds that an idle connection is kept.
    kind : type
        Class of the connector.
    user_timeout : int
        Milliseconds without an acknowledgement after which a connection is closed.
    """
    return kind(
        limit=0,
        limit_per_host=0,
        keepalive_timeout=keepalive,
        use_dns_cache=False,
        configure=functools.partial(configure_socket, user_timeout=user_timeout),
    )


def configure_socket(sock: Any, *, user_timeout: int) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _TCP_KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _TCP_KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout)
