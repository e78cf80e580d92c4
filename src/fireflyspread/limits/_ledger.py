"""Shares of the teams' limits that this node may use, and their buckets."""

import itertools
import math
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from fireflyspread.bundle import Team
from fireflyspread.clock import Clock
from fireflyspread.limits._bucket import NO_SHARE, Bucket, Segment, Share
from fireflyspread.limits._homes import MembersView
from fireflyspread.limits._timeline import Timeline

__all__ = ["ShareLedger"]


class ShareLedger:
    """Shares of this node over time.

    A share is the smallest that any members seen during the last ``members_delay``
    seconds and any limits seen during the last ``limits_delay`` seconds allow. It
    therefore shrinks at once, and grows only when no node can still act on replaced
    members and limits.

    Members and limits may have been in force on other nodes since this node last had
    authority: without authority a node receives no updates, while the shares of other
    nodes may already have grown. That interval therefore counts with the smaller share.

    Parameters
    ----------
    node : str
        Name of this node.
    authority_ttl : float
        Seconds for which a node may act after its authority was renewed.
    members_delay : float
        Seconds after which no node acts on replaced members.
    limits_delay : float or None
        Seconds after which no node acts on replaced limits of a team; None takes
        ``members_delay``.
    new_teams_start_full : bool
        Whether the bucket of a team seen for the first time starts full. Safe only
        where configurations reach all nodes within seconds, so that the team cannot
        have spent anything under other limits.
    burst_for_each_home : float or None
        See ``MembersView``; None takes its default.
    max_homes : int or None
        See ``MembersView``.
    new_homes_start_empty : bool
        Whether a share that this node gets by ``replace_members`` accrues from then on
        only. Otherwise the burst is available at once, although the homes before may
        just have spent it.
    """

    def __init__(
        self,
        node: str,
        *,
        authority_ttl: float,
        members_delay: float,
        clock: Clock,
        limits_delay: float | None = None,
        new_teams_start_full: bool = False,
        burst_for_each_home: float | None = None,
        max_homes: int | None = None,
        new_homes_start_empty: bool = False,
    ) -> None:
        self._node = node
        self._authority_ttl = authority_ttl
        self._members_delay = members_delay
        self._limits_delay = members_delay if limits_delay is None else limits_delay
        self._clock = clock
        self._views: Timeline[MembersView] = Timeline()
        self._limits: dict[str, Timeline[Team]] = {}
        self._has_seen_teams = False
        # No other node can have spent anything before the first member.
        self._is_first_member = False
        self._authority_confirmed_at = -math.inf
        self._accrues_from: float | None = None
        self._new_teams_start_full = new_teams_start_full
        self._new_homes_start_empty = new_homes_start_empty
        self._view_options: dict[str, Any] = {"max_homes": max_homes}
        if burst_for_each_home is not None:
            self._view_options["burst_for_each_home"] = burst_for_each_home
        self._revision = 0
        self.buckets: dict[str, Bucket] = {}

    @property
    def view(self) -> MembersView | None:
        """Members of the newest epoch seen."""
        return self._views.current

    def confirm_authority(self) -> None:
        """Record that this node has authority now."""
        self._authority_confirmed_at = self._clock.read_monotonic()

    def replace_members(self, names: Iterable[str], *, since: float) -> None:
        """Replace the members without the delay of ``set_members``.

        For platforms that remove a member only after its authority has ended, so that
        no share has to wait for another one to lapse.

        Parameters
        ----------
        since : float
            Monotonic seconds from which this node's share accrues; minus infinity
            when nobody has spent anything yet.
        """
        view = MembersView(1, names, **self._view_options)
        last = self._views.current
        if self._new_homes_start_empty and last is not None:
            if last.names == view.names:
                return
            for name in self.buckets:
                # Up to now they accrue by the members before.
                self.refresh_bucket(name)
            since = max(since, self._clock.read_monotonic())
        self._accrues_from = since
        self._views = Timeline(view)
        self._revision += 1

    def drop_tokens(self, *, since: float) -> None:
        """Let all buckets accrue from ``since`` on, in monotonic seconds.

        For a node that gets its first share: what accrued before belonged to others.
        """
        for bucket in self.buckets.values():
            bucket.level, bucket.time = 0.0, max(bucket.time, since)

    def set_members(self, epoch: int, names: Iterable[str]) -> None:
        """Set the members of an epoch; an epoch that is not newer is ignored."""
        view = MembersView(epoch, names, **self._view_options)
        last = self._views.current
        if last is not None and epoch <= last.epoch:
            return
        if last is None and epoch == 1 and view.names == {self._node}:
            self._is_first_member = True
            self._views = Timeline(view)
            self._limits = {
                name: Timeline(timeline.current)
                for name, timeline in self._limits.items()
            }
        else:
            missed = last is not None and epoch > last.epoch + 1
            if missed and self._may_have_lapsed():
                # The missed members are unknown, so they allow no share.
                self._append_view(None)
            elif last is not None and view.names == last.names:
                last.epoch = epoch
                return
            elif missed and last is not None:
                # The members of a missed epoch are among those of the epochs before and
                # after it, because no node can join and be removed within one authority
                # TTL. A share never grows when members are added.
                self._append_view(
                    MembersView(
                        epoch - 1, last.names | view.names, **self._view_options
                    )
                )
            self._append_view(view)
        self._revision += 1

    def set_teams(self, teams: Mapping[str, Team]) -> None:
        """Set the teams of a bundle, by name."""
        now = self._clock.read_monotonic()
        for name in self._limits.keys() - teams.keys():
            del self._limits[name]
            bucket = self.buckets.get(name)
            if bucket is not None and bucket.collector is None:
                del self.buckets[name]
        for name, team in teams.items():
            timeline = self._limits.get(name)
            if timeline is None:
                starts_full = self._new_teams_start_full or (
                    self._is_first_member and not self._has_seen_teams
                )
                timeline = Timeline(team if starts_full else None)
                self._limits[name] = timeline
            last = timeline.current
            if last is None or (last.rate, last.burst) != (team.rate, team.burst):
                timeline.append(team, begin=self._authority_confirmed_at, seen=now)
                self._revision += 1
        self._has_seen_teams = True

    def find_team(self, name: str) -> Team | None:
        """Return a team with its limits in force; None if the bundle lacks it."""
        timeline = self._limits.get(name)
        return None if timeline is None else timeline.current

    def refresh_bucket(self, name: str) -> Bucket:
        """Return the bucket of a team with all tokens accrued by now."""
        now = self._clock.read_monotonic()
        bucket = self.buckets.get(name)
        if bucket is None:
            time = -math.inf if self._accrues_from is None else self._accrues_from
            bucket = self.buckets[name] = Bucket(name, time=time)
        if bucket.revision == self._revision and now <= bucket.share_until:
            bucket.accrue([Segment(now, bucket.share)])
            return bucket
        self._accrue_changes(bucket, now)
        return bucket

    def forecast(self, bucket: Bucket, wanted: float) -> float:
        """Return the seconds until a bucket holds ``wanted`` tokens; may be infinite.

        Nothing else is assumed to be taken from or added to the bucket, which must have
        been refreshed.
        """
        start, level = bucket.time, bucket.level
        if level >= wanted:
            return 0.0
        if bucket.capacity < wanted:
            start = max(start, bucket.reserved_until)
        for end, share in self._list_segments(bucket.name, start, math.inf):
            if share.rate > 0.0 and share.burst >= wanted:
                full = start + (wanted - level) / share.rate
                if full <= end:
                    return full - bucket.time
            if end < math.inf:
                level = min(share.burst, level + share.rate * (end - start))
                start = end
        return math.inf

    def _may_have_lapsed(self) -> bool:
        # A node without authority can miss members that joined and were removed.
        return (
            self._clock.read_monotonic()
            > self._authority_confirmed_at + self._authority_ttl
        )

    def _append_view(self, view: MembersView | None) -> None:
        now = self._clock.read_monotonic()
        self._views.append(view, begin=self._authority_confirmed_at, seen=now)

    def _accrue_changes(self, bucket: Bucket, now: float) -> None:
        limits = self._limits.get(bucket.name)
        since = self._views.known_from + self._members_delay
        if limits is not None:
            since = max(since, limits.known_from + self._limits_delay)
        if bucket.time < since:
            # The history before is no longer known, so the bucket starts empty.
            bucket.level, bucket.time = 0.0, since
        segments = list(self._list_segments(bucket.name, bucket.time, now))
        segments.append(Segment(now, self._find_share(bucket.name, now)))
        bucket.accrue(segments)
        if bucket.revision != self._revision:
            bucket.estimates.clear()
            bucket.revision = self._revision
        changes = self._list_changes(bucket.name, now, math.inf)
        bucket.share_until = changes[0] if changes else math.inf

    def _list_changes(self, name: str, start: float, end: float) -> list[float]:
        changes = self._views.list_changes(start, end, self._members_delay)
        limits = self._limits.get(name)
        if limits is not None:
            changes += limits.list_changes(start, end, self._limits_delay)
        return sorted(set(changes))

    def _list_segments(self, name: str, start: float, end: float) -> Iterator[Segment]:
        points = [start, *self._list_changes(name, start, end), end]
        for begin, finish in itertools.pairwise(points):
            # The share is the same at any time inside the segment.
            if begin == -math.inf:
                time = finish - 1.0
            elif finish == math.inf:
                time = begin + self._members_delay + 1.0
            else:
                time = (begin + finish) / 2
            yield Segment(finish, self._find_share(name, time))

    def _find_share(self, name: str, time: float) -> Share:
        limits = self._limits.get(name)
        if limits is None:
            return NO_SHARE
        rate = burst = math.inf
        views = self._views.list_values(time - self._members_delay, time)
        teams = limits.list_values(time - self._limits_delay, time)
        for view, team in itertools.product(views, teams):
            if view is None or team is None:
                return NO_SHARE
            homes = view.find_homes(team)
            if self._node not in homes:
                return NO_SHARE
            rate = min(rate, team.rate / len(homes))
            burst = min(burst, team.burst / len(homes))
        return Share(rate, burst)
