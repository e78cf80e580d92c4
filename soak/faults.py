"""Random sequence of faults, drawn from a seed."""

import asyncio
import random
import signal

from attrs import frozen

from soak.cluster import Cluster, Gateway
from soak.proxy import ProxyFault

__all__ = ["Fault", "apply_fault", "draw_faults"]

_KINDS = (
    "kill",
    "term",
    "pause",
    "kill_all",
    "proxy_delay",
    "proxy_reset",
    "proxy_silence",
    "proxy_cut_answers",
    "store_refuse",
    "store_hang",
    "store_busy",
    "store_lose_answers",
    "store_compact",
    "replica_break",
    "replica_lose",
    "replica_refuse",
    "loan_server_kill",
)
# Faults of streams; drawn on their own, so that each seed keeps its other faults.
_STREAM_KINDS = ("replica_resume_wrongly", "kill_everything")
_STREAM_FAULTS = 3
# Ids of the events of runs that are to go on after event 2, which break_streams leaves.
_WRONG_RUNS = (
    (1, 2, 3, 4, 5, 6, 7, 8),
    (2, 3, 4, 5, 6, 7, 8),
    (4, 5, 6, 7, 8),
    (3, 5, 6, 7, 8),
    (3, 2, 3, 4, 5, 6, 7, 8),
)


@frozen(kw_only=True)
class Fault:
    """One fault.

    Attributes
    ----------
    at, seconds : float
        Start, in seconds after the start of the load, and duration.
    index : int
        Selects the process; taken modulo the number of processes.
    """

    at: float
    kind: str
    seconds: float
    index: int


def draw_faults(seed: int, seconds: float) -> list[Fault]:
    """Return faults that start within ``seconds`` and may overlap."""
    rng = random.Random(seed)
    faults, at = [], 0.5
    while at < seconds:
        fault = Fault(
            at=at,
            kind=rng.choice(_KINDS),
            seconds=rng.uniform(0.2, 3.0),
            index=rng.randrange(100),
        )
        faults.append(fault)
        # A third of the faults start right after the previous one, to overlap with it.
        at += rng.uniform(0.0, 0.2) if rng.random() < 0.33 else rng.uniform(0.3, 1.5)
    rng = random.Random(f"streams-{seed}")
    for _ in range(_STREAM_FAULTS):
        fault = Fault(
            at=rng.uniform(0.5, seconds),
            kind=rng.choice(_STREAM_KINDS),
            seconds=rng.uniform(0.2, 3.0),
            index=rng.randrange(100),
        )
        faults.append(fault)
    return sorted(faults, key=lambda fault: fault.at)


async def apply_fault(cluster: Cluster, fault: Fault) -> None:
    """Inject one fault, wait for its duration and clear it."""
    if fault.kind.startswith("proxy_"):
        proxies = sorted(cluster.proxies)
        proxy = cluster.proxies[proxies[fault.index % len(proxies)]]
        proxy.inject(ProxyFault(fault.kind.removeprefix("proxy_")), delay=0.2)
        await asyncio.sleep(fault.seconds)
        proxy.clear()
    elif fault.kind.startswith("store_"):
        await _apply_store_fault(cluster, fault)
    elif fault.kind == "replica_resume_wrongly":
        await _resume_wrongly(cluster, fault)
    elif fault.kind.startswith("replica_"):
        _apply_replica_fault(cluster, fault)
    elif fault.kind == "loan_server_kill":
        await _restart(cluster.loan_servers[fault.index % len(cluster.loan_servers)])
    elif fault.kind == "kill_all":
        await asyncio.gather(*(_restart(node) for node in cluster.nodes))
    elif fault.kind == "kill_everything":
        processes = (*cluster.nodes, *cluster.loan_servers)
        await asyncio.gather(*(_restart(process) for process in processes))
    else:
        await _apply_node_fault(cluster.nodes[fault.index % len(cluster.nodes)], fault)


async def _apply_store_fault(cluster: Cluster, fault: Fault) -> None:
    faults = cluster.store.faults
    match fault.kind:
        case "store_compact":
            cluster.store.compact()
            return
        case "store_lose_answers":
            faults.lose_answers = 3
            return
        case "store_busy":
            faults.status = 503
        case kind:
            faults.down = kind.removeprefix("store_")
    await asyncio.sleep(fault.seconds)
    faults.status, faults.down = 0, ""


def _apply_replica_fault(cluster: Cluster, fault: Fault) -> None:
    replicas = [*cluster.models, *cluster.orders]
    faults = replicas[fault.index % len(replicas)].faults
    match fault.kind:
        case "replica_break":
            faults.break_streams = 2
        case "replica_lose":
            faults.lose_answers = 2
        case _:
            faults.refuse = 3


async def _resume_wrongly(cluster: Cluster, fault: Fault) -> None:
    faults = cluster.models[fault.index % len(cluster.models)].faults
    faults.resume_ids = _WRONG_RUNS[fault.index % len(_WRONG_RUNS)]
    faults.break_streams = 4
    await asyncio.sleep(fault.seconds)
    faults.resume_ids, faults.break_streams = (), 0


async def _apply_node_fault(node: Gateway, fault: Fault) -> None:
    if fault.kind == "pause":
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.seconds)
        node.send_signal(signal.SIGCONT)
    elif fault.kind == "term":
        await _restart(node, signal.SIGTERM)
    else:
        await _restart(node)


async def _restart(node: Gateway, number: signal.Signals = signal.SIGKILL) -> None:
    # Another fault may be restarting the same process.
    async with node.lock:
        node.send_signal(signal.SIGCONT)
        await node.stop(number)
        await node.start(is_first=False, wait_ready=False)
