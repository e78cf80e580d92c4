"""Adapters to the platform: store, VM list, replicas, callers, configuration."""

from fireflyspread.platform._config import decode_config
from fireflyspread.platform._etcd import EtcdStore
from fireflyspread.platform._front import (
    Frontend,
    make_readiness_handler,
    read_explained_request,
)
from fireflyspread.platform._kv_store import KvStore
from fireflyspread.platform._leaving import LeavingVms
from fireflyspread.platform._registrations import (
    REGISTRATIONS_PREFIX,
    decode_registration,
)
from fireflyspread.platform._replicas import ReplicaClient
from fireflyspread.platform._retirement import (
    CONFIG_KEY,
    EVACUATION_PREFIX,
    OPERATORS_PREFIX,
    RETIREMENT_PREFIX,
    encode_retired,
    make_status_key,
)
from fireflyspread.platform._tcp import make_connector
from fireflyspread.platform._vms import Vm, VmList, VmListError, VmState

__all__ = [
    "CONFIG_KEY",
    "EVACUATION_PREFIX",
    "OPERATORS_PREFIX",
    "REGISTRATIONS_PREFIX",
    "RETIREMENT_PREFIX",
    "EtcdStore",
    "Frontend",
    "KvStore",
    "LeavingVms",
    "ReplicaClient",
    "Vm",
    "VmList",
    "VmListError",
    "VmState",
    "decode_config",
    "decode_registration",
    "encode_retired",
    "make_connector",
    "make_readiness_handler",
    "make_status_key",
    "read_explained_request",
]
