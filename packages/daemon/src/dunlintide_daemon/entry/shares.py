"""Shares of the limits: demands to coordinators and grants to entries.

Each entry plays both roles: it requests grants from the coordinator of
each shard of teams, and coordinates the shards for which entries choose
it.
"""

import threading
from typing import Any, Callable, Mapping

from dunlintide_adapters import links
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import coordination
from dunlintide_core import hashing
from dunlintide_core import limits
from dunlintide_daemon.entry import entrylinks

__all__ = [
    'Shares',
    'find_shard',
]

# Bounds a demand to some kilobytes. Of more keys, those with most requests
# in flight and the largest rates are sent.
MAX_NEEDS = 64

Needs = Mapping[limits.Key, limits.Need]
Grants = Mapping[limits.Key, limits.Grant]


def find_shard(key: limits.Key) -> int:
    """Return the shard of a key; all keys of a team share one."""
    return hashing.hash_text(key[0]) % entrylinks.SHARD_COUNT


def _rank_need(item: tuple[limits.Key, limits.Need]) -> tuple[int, float]:
    return item[1].in_flight, item[1].rate


def _read_needs(message: link_pb2.Demand) -> Needs:
    return {
        (one.team, one.rule): limits.Need(
            one.rate, one.slots, one.in_flight, one.limit
        )
        for one in message.needs[:MAX_NEEDS]
    }


def _build_need(key: limits.Key, need: limits.Need) -> link_pb2.LimitNeed:
    return link_pb2.LimitNeed(
        team=key[0],
        rule=key[1],
        rate=need.rate,
        slots=need.slots,
        in_flight=need.in_flight,
        limit=need.limit,
    )


class Shares:
    """This entry's leases, and its grants as a coordinator.

    The lock is shared with the caller, which must hold it while it calls
    ``find_grant`` and ``has_grant``.
    """

    def __init__(
        self,
        lock: threading.Condition,
        clock: Callable[[], float],
        before_change: Callable[[int], None],
        after_change: Callable[[bool], None],
    ) -> None:
        """Start with the shares that this entry owns without a grant.

        :param clock: returns the monotonic time in seconds
        :param before_change: called under the lock, with a shard whose
            grants are about to change
        :param after_change: called under the lock after a change, with
            whether the share of any key became smaller
        """
        shards = range(entrylinks.SHARD_COUNT)
        self._lock = lock
        self._clock = clock
        self._before_change = before_change
        self._after_change = after_change
        self._leases = [limits.Lease() for _ in shards]
        self._coordinators = [coordination.Coordinator() for _ in shards]
        self._requested_keys: list[dict[int, tuple[limits.Key, ...]]] = [
            {} for _ in shards
        ]

    def find_grant(
        self, key: limits.Key, fraction: float, limit: int
    ) -> limits.Grant:
        """Return the share of a key that may be used now.

        :param fraction: share that this entry owns without a grant
        :param limit: limit of requests in flight, 0 for none
        """
        lease = self._leases[find_shard(key)]
        return lease.find_grant(key, fraction, limit, self._clock())

    def has_grant(self, key: limits.Key) -> bool:
        """Tell whether a grant for a key is in force."""
        return self._leases[find_shard(key)].has_grant(key, self._clock())

    def request_grants(
        self, shard: int, needs: Needs, peers: entrylinks.EntryLinks
    ) -> None:
        """Send this entry's needs to the coordinator of a shard."""
        # A single entry owns all shares, so it needs no coordinator.
        chosen = (
            peers.choose_coordinator(shard) if peers.entry_count > 1 else ''
        )
        own_id = peers.get_instance_id()
        fraction = 1.0 / peers.entry_count
        largest = sorted(needs.items(), key=_rank_need, reverse=True)
        needs = dict(largest[:MAX_NEEDS])
        with self._lock:
            lease = self._leases[shard]
            now = self._clock()
            if not lease.choose(chosen, now):
                return
            if not needs and lease.can_defer_demand(now):
                return
            sequence = lease.send(now)
            self._requested_keys[shard][sequence] = tuple(needs)
            acknowledged = lease.acknowledged
            coordinator = lease.coordinator
            if coordinator == own_id:
                granted = self._coordinators[shard].answer(
                    own_id, fraction, sequence, acknowledged, needs, now
                )
                self._accept_grants(shard, sequence, granted)
                return
        message = link_pb2.Demand(
            sequence=sequence,
            acknowledged=acknowledged,
            shard=shard,
            fraction=fraction,
            needs=[_build_need(key, need) for key, need in needs.items()],
        )
        peers.send(coordinator, link_pb2.Frame(demand=message))

    def _accept_grants(
        self, shard: int, sequence: int, granted: Grants
    ) -> None:
        requested = self._requested_keys[shard].get(sequence)
        if requested is None:
            return
        self._before_change(shard)
        shrunk = self._leases[shard].is_shrunk_by(granted)
        if not self._leases[shard].accept(sequence, granted):
            return
        self._requested_keys[shard] = {
            number: keys
            for number, keys in self._requested_keys[shard].items()
            if number > sequence
        }
        self._after_change(shrunk)

    def handle_frames(
        self, link: links.Link, frames: list[link_pb2.Frame]
    ) -> None:
        """Handle the demands and grants of other entries."""
        for frame in frames:
            body = frame.WhichOneof('body')
            if (
                body == 'demand'
                and frame.demand.shard < entrylinks.SHARD_COUNT
            ):
                self._answer_demand(link, frame.demand)
            elif (
                body == 'grant' and frame.grant.shard < entrylinks.SHARD_COUNT
            ):
                self._handle_grant(frame.grant)

    def _answer_demand(
        self, link: links.Link, message: link_pb2.Demand
    ) -> None:
        needs = _read_needs(message)
        with self._lock:
            granted = self._coordinators[message.shard].answer(
                entrylinks.build_instance_id(link.peer),
                message.fraction,
                message.sequence,
                message.acknowledged,
                needs,
                self._clock(),
            )
        answer = link_pb2.Grant(
            sequence=message.sequence,
            shard=message.shard,
            rates=[one.rate for one in granted.values()],
            slots=[one.slots for one in granted.values()],
            lent=[
                link_pb2.LimitKey(team=team, rule=rule)
                for team, rule in list(granted)[len(needs) :]
            ],
        )
        link.send(link_pb2.Frame(grant=answer))

    def _handle_grant(self, message: link_pb2.Grant) -> None:
        grants = [
            limits.Grant(rate, slots)
            for rate, slots in zip(message.rates, message.slots)
        ]
        lent = tuple((one.team, one.rule) for one in message.lent)
        with self._lock:
            requested = self._requested_keys[message.shard].get(
                message.sequence, ()
            )
            keys = requested + lent
            if len(keys) != len(grants):
                return
            granted = dict(zip(keys, grants))
            self._accept_grants(message.shard, message.sequence, granted)

    def describe(self) -> list[dict[str, Any]]:
        """Return the state of each shard for a dump."""
        now = self._clock()
        with self._lock:
            return [
                {
                    'coordinator': lease.coordinator,
                    'leased': lease.is_live(now),
                    **coordinator.describe(),
                }
                for lease, coordinator in zip(self._leases, self._coordinators)
            ]
