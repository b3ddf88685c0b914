"""This entry's shares of the limits, lent to and granted by entries.

It is both sides: it asks the coordinator of each shard of the teams,
and coordinates the shards that fall to it.
"""

import threading
from typing import Any, Callable, Mapping

from dunlintide_adapters import links
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import coordination
from dunlintide_core import hashing
from dunlintide_core import limits
from dunlintide_daemon.entry import exchange

__all__ = [
    'Shares',
    'find_shard',
]

# Bounds a demand to some kilobytes; keys beyond wait for their turn.
MAX_NEEDS = 64

Needs = Mapping[limits.Key, limits.Need]
Grants = Mapping[limits.Key, limits.Grant]


def find_shard(key: limits.Key) -> int:
    """Return the shard of a key; all of a team's are in one."""
    return hashing.hash_text(key[0]) % exchange.SHARDS


def _order(item: tuple[limits.Key, limits.Need]) -> tuple[int, float]:
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
    """Leases of this entry and what it coordinates for others.

    Its lock is the caller's, who holds it around ``find`` too.
    """

    def __init__(
        self,
        lock: threading.Condition,
        clock: Callable[[], float],
        before: Callable[[int], None],
        after: Callable[[bool], None],
    ) -> None:
        """Begin with what the entry owns.

        :param before: called with a shard whose grants are about to
            change, under the lock
        :param after: called after a change, under it, with whether any
            key got less than before
        """
        shards = range(exchange.SHARDS)
        self._lock = lock
        self._clock = clock
        self._before = before
        self._after = after
        self._leases = [limits.Lease() for _ in shards]
        self._coordinators = [coordination.Coordinator() for _ in shards]
        self._asked: list[dict[int, tuple[limits.Key, ...]]] = [
            {} for _ in shards
        ]

    def find(
        self, key: limits.Key, fraction: float, limit: int
    ) -> limits.Grant:
        """Return what may be used under a key now."""
        lease = self._leases[find_shard(key)]
        return lease.find_grant(key, fraction, limit, self._clock())

    def covers(self, key: limits.Key) -> bool:
        """Tell whether a grant under a key is in force."""
        return self._leases[find_shard(key)].has_grant(key, self._clock())

    def ask(self, shard: int, needs: Needs, peers: exchange.Exchange) -> None:
        """Tell the coordinator of a shard what is needed."""
        # Alone, an entry owns all and has nothing to lend.
        chosen = peers.choose(shard) if peers.count > 1 else ''
        own = peers.identify()
        fraction = 1.0 / peers.count
        largest = sorted(needs.items(), key=_order, reverse=True)
        needs = dict(largest[:MAX_NEEDS])
        with self._lock:
            lease = self._leases[shard]
            now = self._clock()
            if not lease.choose(chosen, now):
                return
            if not needs and lease.can_defer_demand(now):
                return
            sequence = lease.send(now)
            self._asked[shard][sequence] = tuple(needs)
            acknowledged = lease.acknowledged
            coordinator = lease.coordinator
            if coordinator == own:
                granted = self._coordinators[shard].answer(
                    own, fraction, sequence, acknowledged, needs, now
                )
                self._accept(shard, sequence, granted)
                return
        message = link_pb2.Demand(
            sequence=sequence,
            acknowledged=acknowledged,
            shard=shard,
            fraction=fraction,
            needs=[_build_need(key, need) for key, need in needs.items()],
        )
        peers.send(coordinator, link_pb2.Frame(demand=message))

    def _accept(self, shard: int, sequence: int, granted: Grants) -> None:
        asked = self._asked[shard].get(sequence)
        if asked is None:
            return
        self._before(shard)
        shrunk = self._leases[shard].is_shrunk_by(granted)
        if not self._leases[shard].accept(sequence, granted):
            return
        self._asked[shard] = {
            number: keys
            for number, keys in self._asked[shard].items()
            if number > sequence
        }
        self._after(shrunk)

    def take(self, link: links.Link, frames: list[link_pb2.Frame]) -> None:
        """Take in frames of other entries."""
        for frame in frames:
            body = frame.WhichOneof('body')
            if body == 'demand' and frame.demand.shard < exchange.SHARDS:
                self._take_demand(link, frame.demand)
            elif body == 'grant' and frame.grant.shard < exchange.SHARDS:
                self._take_grant(frame.grant)

    def _take_demand(self, link: links.Link, message: link_pb2.Demand) -> None:
        needs = _read_needs(message)
        with self._lock:
            granted = self._coordinators[message.shard].answer(
                exchange.identify(link.peer),
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

    def _take_grant(self, message: link_pb2.Grant) -> None:
        grants = [
            limits.Grant(rate, slots)
            for rate, slots in zip(message.rates, message.slots)
        ]
        lent = tuple((one.team, one.rule) for one in message.lent)
        with self._lock:
            asked = self._asked[message.shard].get(message.sequence, ())
            keys = asked + lent
            if len(keys) != len(grants):
                return
            granted = dict(zip(keys, grants))
            self._accept(message.shard, message.sequence, granted)

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
