"""How much evidence makes a request a suspect, and how much quarantines it."""

import abc
from collections.abc import Sequence

from fireflyspread.routing._crashes import Sighting

__all__ = [
    "CrashSeriesPolicy",
    "IsolationPolicy",
    "QuarantinePolicy",
    "count_series",
]

# Crashes one after the other that quarantine a request.
_MIN_SERIES = 3
# The same if another request was in flight at as many of them.
_MAX_SERIES = 5
# Crashes that make a request a suspect.
_MIN_SUSPECT_SERIES = 2


def count_series(sightings: Sequence[Sighting]) -> int:
    """Return the number of crashes one after the other.

    Requests that were in flight on several replicas when these crashed together count
    once: each of them was sent before any of these crashes was known. Crashes of one
    replica count each: one that returns before its registration is known, or that does
    not register again, cannot be told from the process before.
    """
    return len({sighting.rank for sighting in sightings})


class QuarantinePolicy(abc.ABC):
    """Judges a fingerprint by the unexplained crashes with it in flight.

    Attributes
    ----------
    min_crashes : int
        Crashes below which a fingerprint is neither suspect nor proven.
    presumes_crashes : bool
        Whether a request counts before a crash is certain, because any answer clears
        it: while it waits at a replica that has lost its registration, and when it ends
        without an answer after it was in flight at a crash.
    """

    min_crashes = 1
    presumes_crashes = False

    @abc.abstractmethod
    def is_suspect(self, sightings: Sequence[Sighting]) -> bool:
        """Return whether requests with the fingerprint must run in isolation."""

    @abc.abstractmethod
    def is_proven(self, sightings: Sequence[Sighting]) -> bool:
        """Return whether requests with the fingerprint must not run."""

    def is_conclusive(self, sightings: Sequence[Sighting]) -> bool:
        """Return whether a fingerprint is proven whatever explains its other crashes.

        Parameters
        ----------
        sightings : sequence of Sighting
            All its crashes, also those that a proven fingerprint explains.
        """
        return False

    def is_held(self, sightings: Sequence[Sighting]) -> bool:
        """Return whether requests with the fingerprint must not run for a while.

        Unlike a proof this needs no crash that a node has seen, so it ends soon.
        """
        return False

    @abc.abstractmethod
    def is_cleared(self, *, isolated: bool) -> bool:
        """Return whether an answer shows that the fingerprint crashes nothing."""


class IsolationPolicy(QuarantinePolicy):
    """Isolates a request after one crash, and quarantines it after two.

    One of the two crashes must have happened while its node sent nothing else to the
    replica. Isolation takes replicas away from other requests, so this suits targets
    with spare replicas and requests without tight deadlines.

    If several replicas crash together, the cause is a rack or a zone. Then only a
    request that was in flight on more than one of them is a suspect, because isolating
    all requests of a lost zone would use up the remaining capacity.
    """

    def is_suspect(self, sightings: Sequence[Sighting]) -> bool:
        return len(sightings) > 1 or any(
            sighting.is_alone or not sighting.is_outage for sighting in sightings
        )

    def is_proven(self, sightings: Sequence[Sighting]) -> bool:
        # Requests of other nodes beside it are no cause if they explain fewer crashes.
        alone = [
            sighting
            for sighting in sightings
            if sighting.is_alone and sighting.max_other_crashes < len(sightings)
        ]
        processes = {sighting.process for sighting in sightings}
        if any(not sighting.is_shared for sighting in alone):
            return len(processes) >= 2
        # Nodes that have not reported may have sent the cause to a shared replica.
        return len(alone) >= 2 and len(processes) >= 3

    def is_cleared(self, *, isolated: bool) -> bool:
        # Other answers are to requests sent before the suspicion, or by a node that
        # did not know of it.
        return isolated


class CrashSeriesPolicy(QuarantinePolicy):
    """Quarantines a request after three crashes one after the other.

    Requests run beside others until two replicas have crashed with them in flight.
    Then each suspect runs on a replica without other suspects, so that the next crash
    tells them apart. A request is not quarantined as long as another one was in flight
    at the last crash that explains as many crashes.

    A request that has crashed a replica may also end without an answer because its
    caller leaves before the replica ends, or because the replica falls silent and
    nothing tells why. Such an end counts as one more crash of the series, but it only
    holds the request back for a while.

    Any answer ends a series: a request that crashes every replica that runs it is never
    answered.
    """

    min_crashes = _MIN_SUSPECT_SERIES
    presumes_crashes = True

    def is_suspect(self, sightings: Sequence[Sighting]) -> bool:
        return count_series(sightings) >= _MIN_SUSPECT_SERIES

    def is_held(self, sightings: Sequence[Sighting]) -> bool:
        return count_series(sightings) >= _MIN_SERIES and any(
            sighting.is_presumed for sighting in sightings
        )

    def is_proven(self, sightings: Sequence[Sighting]) -> bool:
        series = count_series(sightings)
        if series < _MIN_SERIES:
            return False
        last = max(sightings, key=lambda sighting: sighting.rank)
        return last.max_other_crashes < len(sightings) or series >= _MAX_SERIES

    def is_conclusive(self, sightings: Sequence[Sighting]) -> bool:
        # Otherwise two requests that crash replicas would free each other in turn: the
        # crashes that they have in common count for the one that is proven first.
        if count_series(sightings) < _MIN_SERIES:
            return False
        last = max(sightings, key=lambda sighting: sighting.rank)
        return not last.max_other_crashes

    def is_cleared(self, *, isolated: bool) -> bool:
        return True
