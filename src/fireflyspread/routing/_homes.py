"""Regions in which requests and their bodies may be handled."""

from collections.abc import Mapping

from attrs import field, frozen

__all__ = ["NO_HOMES", "Homes", "RegionMap"]


@frozen(kw_only=True)
class Homes:
    """Zones to which a request may go; None allows all.

    Attributes
    ----------
    replica_zones : frozenset of str or None
        Zones of replicas that may get the request: those in its home regions.
    node_zones : frozenset of str or None
        Zones of nodes that may get its body: these, and those in the caller's region.
    turn_zones : frozenset of str or None
        Zones of nodes that may keep its turn; None as well if all known zones may.
    """

    replica_zones: frozenset[str] | None = None
    node_zones: frozenset[str] | None = None
    turn_zones: frozenset[str] | None = None


NO_HOMES = Homes()


@frozen(kw_only=True)
class RegionMap:
    """The region of each zone.

    Parameters
    ----------
    regions : mapping of str to str
        Region by zone. Zones that are missing are in no home. If it is empty, all zones
        are in one region, and homes have no effect.
    zone : str
        Zone of this node, whose region counts as that of its callers.
    """

    regions: Mapping[str, str] = field(factory=dict)
    zone: str = ""

    def find_homes(self, *allowed: frozenset[str] | None) -> Homes:
        """Return the zones for a request.

        Parameters
        ----------
        allowed : frozenset of str or None
            Home regions by route and by team; all that are given apply.
        """
        given = [regions for regions in allowed if regions is not None]
        if not given or not self.regions:
            return NO_HOMES
        homes = frozenset.intersection(*given)
        zones = self._list_zones(homes)
        own = self.regions.get(self.zone)
        nodes = zones | self._list_zones(frozenset({own} - {None})) | {self.zone}
        is_everywhere = nodes >= self.regions.keys()
        return Homes(
            replica_zones=zones,
            node_zones=nodes,
            turn_zones=None if is_everywhere else nodes,
        )

    def _list_zones(self, regions: frozenset[str | None]) -> frozenset[str]:
        return frozenset(
            zone for zone, region in self.regions.items() if region in regions
        )
