"""Crashes of replicas, as nodes report them to each other."""

from attrs import Factory, define, field, frozen

from fireflyspread.bundle import Replica

__all__ = ["Crash", "CrashReport", "MergedCrash", "Sighting", "identify_process"]


def identify_process(replica: Replica) -> str:
    """Return a name that differs after a restart if the platform reports restarts."""
    return f"{replica.name}@{replica.vm}"


@frozen(kw_only=True)
class Crash:
    """A crash of a replica, as one node saw it.

    Attributes
    ----------
    id : str
        Equal in the reports of all nodes about the same crash.
    process : str
        The replica that crashed. A restarted replica is another process if the
        platform tells the two apart.
    at : float
        Unix seconds.
    ranks : dict of str to int
        Fingerprints of the node's requests that were in flight and that no replica has
        answered since. The rank counts crashes one after the other: a request that was
        sent before its node knew of any crash with the same fingerprint has rank 1, one
        that was sent after a crash of rank 1 has rank 2. The lowest rank of equal
        requests counts, because the earliest of them may be the cause.
    is_alone : bool
        Whether the node sent nothing else to the replica.
    is_shared : bool
        Whether the replica reported requests of other nodes.
    is_presumed : bool
        Whether the only sign of the crash is a request on trial that is not answered.
    is_running : bool
        Whether this request still runs.
    begun : tuple of str
        Fingerprints whose requests had all begun to be answered.
    """

    id: str
    process: str
    at: float
    ranks: dict[str, int] = Factory(dict)
    is_alone: bool = False
    is_shared: bool = False
    is_presumed: bool = False
    is_running: bool = False
    begun: tuple[str, ...] = ()


@frozen(kw_only=True)
class CrashReport:
    """What one node tells the others about crashes.

    A newer report of a node replaces the older one.

    Attributes
    ----------
    incarnation : str
        Unique to one run of the node's process.
    number : int
        Increases with each change within an incarnation.
    crashes : tuple of Crash
        Crashes that the node saw.
    answered : tuple of (str, str)
        Crash id and fingerprint of requests that the node has seen answered since the
        crash, as long as another node lists them.
    """

    incarnation: str = ""
    number: int = 0
    crashes: tuple[Crash, ...] = ()
    answered: tuple[tuple[str, str], ...] = ()


@define
class MergedCrash:
    """A crash with the requests of all nodes; ``Crash`` describes the attributes.

    Attributes
    ----------
    alone : set of str
        Fingerprints of nodes that sent nothing else to the replica.
    waiting : set of str
        Fingerprints of requests of which no part of an answer had arrived.
    """

    process: str
    at: float
    ranks: dict[str, int] = field(factory=dict)
    alone: set[str] = field(factory=set)
    waiting: set[str] = field(factory=set)
    is_shared: bool = False
    is_presumed: bool = False
    is_running: bool = False

    def add(self, crash: Crash) -> None:
        """Add the report of one more node."""
        self.at = min(self.at, crash.at)
        for fingerprint, rank in crash.ranks.items():
            self.ranks[fingerprint] = min(rank, self.ranks.get(fingerprint, rank))
        if crash.is_alone:
            self.alone.update(crash.ranks)
        self.waiting.update(crash.ranks.keys() - set(crash.begun))
        self.is_shared |= crash.is_shared
        self.is_presumed |= crash.is_presumed
        self.is_running |= crash.is_running


@frozen(kw_only=True)
class Sighting:
    """One crash as evidence against one fingerprint.

    Attributes
    ----------
    at : float
        Unix seconds.
    is_alone : bool
        Whether the node of the request sent nothing else to the replica.
    is_shared : bool
        Whether the replica reported requests of other nodes.
    max_other_crashes : int
        Unexplained crashes, this one included, of the other request in flight then that
        has most of them; 0 if there was none.
    is_outage : bool
        Whether several replicas crashed at about the same time.
    is_presumed : bool
        Whether the only sign of the crash is that the request is not answered.
    is_running : bool
        Whether this request still runs.
    """

    process: str
    at: float
    rank: int
    is_alone: bool
    is_shared: bool
    max_other_crashes: int
    is_outage: bool
    is_presumed: bool = False
    is_running: bool = False
