"""Clients of the platform: store, VM list, weight store."""

from fireflyspread.platform._etcd import EtcdStore
from fireflyspread.platform._leaving import LeavingVms
from fireflyspread.platform._vms import Vm, VmList, VmListError, VmState

__all__ = ["EtcdStore", "LeavingVms", "Vm", "VmList", "VmListError", "VmState"]
