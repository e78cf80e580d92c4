"""Dump of the state of the process."""

from collections.abc import Mapping, Sequence
from typing import Any

from fireflyspread import __version__
from fireflyspread.bundle import BundleHolder
from fireflyspread.callers import CallerApi, Context
from fireflyspread.daemon._recovery import Recovery
from fireflyspread.daemon._targets import EngineTasks
from fireflyspread.nodes import Gossip
from fireflyspread.operators import MemberVersion

__all__ = ["dump_state", "list_member_versions"]


def list_member_versions(
    recovery: Recovery, gossip: Gossip, bundles: BundleHolder
) -> Sequence[MemberVersion]:
    """Return each member with the bundle version of its last ``Hello`` message."""
    last_hellos = gossip.get_last_hellos()
    rows = []
    for member in recovery.membership.members():
        if member.name == recovery.name:
            version, age = bundles.version, 0.0
        elif member.name in last_hellos:
            age, hello = last_hellos[member.name]
            version = hello.bundle_version
        else:
            rows.append(
                MemberVersion(node=member.name, zone=member.zone, bundle_version=0)
            )
            continue
        rows.append(
            MemberVersion(
                node=member.name, zone=member.zone, bundle_version=version, age=age
            )
        )
    return rows


def dump_state(
    context: Context,
    recovery: Recovery,
    gossip: Gossip,
    api: CallerApi,
    engine_tasks: EngineTasks,
) -> Mapping[str, Any]:
    """Return the state for a state dump, in JSON types, without keys or histories."""
    return {
        "node": context.settings.node.name,
        "zone": context.settings.node.zone,
        "release": __version__,
        "bundle_version": context.bundles.version,
        "requests": api.running,
        "held_requests": len(context.guard),
        "programs": len(context.programs),
        "intents": len(context.intents),
        "sessions_being_released": engine_tasks.count_pending(),
        "recovery": recovery.dump(),
        "scheduler": context.scheduler.dump(),
        "neighbours": {
            name: {
                "age": round(age, 3),
                "epoch": hello.epoch,
                "bundle_version": hello.bundle_version,
            }
            for name, (age, hello) in gossip.get_last_hellos().items()
        },
    }
