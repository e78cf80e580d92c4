"""Decoder of the operators' configuration."""

from typing import Any

import msgspec

from fireflyspread._decoding import decode_json
from fireflyspread.bundle import Team
from fireflyspread.exceptions import BundleError
from fireflyspread.forwarding import (
    CallerLimits,
    EngineTraits,
    ForwardingConfig,
    ForwardingRoute,
    RouteKind,
    ServiceTraits,
    TeamPolicy,
)
from fireflyspread.limits import ColdRule

__all__ = ["decode_config"]

_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}
# Replicas that one request may use if its route sets no maximum.
_DEFAULT_MAX_REPLICAS = 2
# Callers abandon a stream after the longest of these gaps: milliseconds, and multiples
# of the route's targets.
_MIN_SILENCE_MS = 2000.0
_SILENCE_LATENCY_TARGETS = 4.0
_SILENCE_GAP_TARGETS = 8.0


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    prefix: str
    kind: str = "safe"
    # Milliseconds.
    timeout_ms: float = 10_000.0
    target_latency_ms: float = 1000.0
    target_gap_ms: float = 0.0
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Split] = []
    # Limits replicas, not attempts: the same replica may be retried.
    max_attempts: int = _DEFAULT_MAX_REPLICAS
    auth_exempt: bool = False
    resumable: bool = False
    # Whether a turn carries only its new input, and seconds for which turns are kept.
    retain_context: bool = False
    retention_s: float = 0.0
    # Whether requests about the same object prefer the same replica.
    sticky: object = False
    # Home regions; absent or empty allows all.
    allowed_regions: list[str] | None = None


class _Engine(msgspec.Struct, rename="camel"):
    slots: int
    kv_capacity_tokens: int = 0
    # Tokens per event of a stream.
    stride: int = 1


class _Service(msgspec.Struct, rename="camel"):
    name: str
    # Connections that a replica accepts from all nodes; absent or 0 sets no bound.
    max_connections: int | None = None
    engine: _Engine | None = None
    # Seconds for which a replica is cold after its start, and requests per second that
    # it tolerates meanwhile; 0 sets no bound.
    cold_start_s: float | None = None
    cold_per_s: float | None = None


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    # Requests per second and token bucket size in requests; a rate of 0 is no limit.
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: list[str] | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


def decode_config(data: bytes) -> ForwardingConfig:
    """Return the configuration in ``data``.

    Raises
    ------
    BundleError
        The bytes are not a configuration.
    """
    try:
        config = decode_json(data, _Config)
        return ForwardingConfig(
            version=config.version,
            routes=tuple(_read_route(route) for route in config.routes),
            services={each.name: _read_service(each) for each in config.services},
            teams={each.name: _read_team(each) for each in config.tenants or ()},
            keys=_read_keys(config.tenants),
            limits=_read_limits(config.limits),
            raw=data,
        )
    except (msgspec.DecodeError, KeyError, ValueError, OverflowError) as exc:
        raise BundleError(f"the configuration cannot be read: {exc}") from exc


def _read_route(route: _Route) -> ForwardingRoute:
    if route.service is not None:
        services: tuple[tuple[str, float], ...] = ((route.service, 1.0),)
    else:
        services = tuple((each.service, each.weight) for each in route.traffic_split)
    return ForwardingRoute(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        kind=_KINDS[route.kind],
        services=services,
        timeout=route.timeout_ms / 1000,
        latency_target=route.target_latency_ms / 1000,
        priority=route.priority,
        max_replicas=max(1, route.max_attempts),
        resumable=route.resumable,
        gap_target=route.target_gap_ms / 1000,
        max_silence=_compute_max_silence(route),
        open=route.auth_exempt,
        turn_retention=route.retention_s if route.retain_context else 0.0,
        sticky=bool(route.sticky),
        allowed_regions=_read_regions(route.allowed_regions),
    )


def _read_regions(regions: list[str] | None) -> frozenset[str] | None:
    return frozenset(regions) if regions else None


def _compute_max_silence(route: _Route) -> float:
    longest_ms = max(
        _MIN_SILENCE_MS,
        _SILENCE_LATENCY_TARGETS * route.target_latency_ms,
        _SILENCE_GAP_TARGETS * route.target_gap_ms,
    )
    return longest_ms / 1000


def _read_max_connections(service: _Service) -> int | None:
    value = service.max_connections
    return value if value is not None and value > 0 else None


def _read_service(service: _Service) -> ServiceTraits:
    engine = service.engine
    return ServiceTraits(
        name=service.name,
        max_connections=_read_max_connections(service),
        engine=None
        if engine is None
        else EngineTraits(
            slots=engine.slots,
            cache_tokens=engine.kv_capacity_tokens,
            tokens_per_event=engine.stride,
        ),
        cold=_read_cold_rule(service),
    )


def _read_cold_rule(service: _Service) -> ColdRule | None:
    start, rate = service.cold_start_s or 0.0, service.cold_per_s or 0.0
    return ColdRule(start=start, rate=rate) if start > 0 and rate > 0 else None


def _read_team(tenant: _Tenant) -> TeamPolicy:
    limits: Any = None
    if tenant.rate_per_s > 0:
        limits = Team(
            name=tenant.name, rate=tenant.rate_per_s, burst=max(1.0, tenant.burst)
        )
    return TeamPolicy(
        name=tenant.name,
        limits=limits,
        priority=tenant.priority,
        allowed_regions=_read_regions(tenant.allowed_regions),
    )


def _read_keys(tenants: list[_Tenant] | None) -> dict[str, str] | None:
    if tenants is None:
        return None
    return {key: tenant.name for tenant in tenants for key in tenant.api_keys}


def _read_limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout=limits.header_timeout_ms / 1000,
        idle_timeout=limits.idle_timeout_ms / 1000,
    )
