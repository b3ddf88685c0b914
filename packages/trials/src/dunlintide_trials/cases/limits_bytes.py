"""Traffic of an entry that coordinates the limits of teams.

All entries run in one process on a virtual clock, without loss or delay;
the messages are encoded as on the wire. One entry coordinates one shard;
in a fleet four entries coordinate a shard each.
"""

import heapq
from typing import Iterator

import attrs

from dunlintide_adapters.wire import link_pb2
from dunlintide_core import configuration
from dunlintide_daemon.entry import limits
from dunlintide_daemon.entry import shares
from dunlintide_trials import figures

__all__ = ['CASES', 'GROUP']

GROUP = 'limits'
SIZES = (50, 100, 200, 370)
BYTES_BOUND = 5000.0
# Number of limited teams of the shard that each entry serves.
TEAMS = (0, 4)
# HTTP/2 and gRPC framing of one message on an open stream.
FRAMING_BYTES = 14
SHARD = 0
_WARM_SECONDS = 6.0
_SECONDS = 10.0
_RULE = configuration.Rule(
    'limited', configuration.When(), configuration.Then(rate=1e6)
)


@attrs.define
class _Counts:
    """Messages and bytes of the coordinator in both directions."""

    messages: int = 0
    bytes: int = 0

    def add(self, frame: link_pb2.Frame) -> None:
        envelope = link_pb2.Envelope(frames=[frame])
        self.messages += 1
        self.bytes += envelope.ByteSize() + FRAMING_BYTES


class _Node:
    """Simulated links of an entry; the first entry is the coordinator."""

    def __init__(self, nodes: list, counts: _Counts, size: int, take) -> None:
        self.take = take
        self.entry_count = size
        self._number = len(nodes)
        self._nodes = nodes
        self._counts = counts
        nodes.append(self)

    def get_instance_id(self) -> str:
        return f'{self._number}@1'

    def choose_coordinator(self, shard: int) -> str:
        return '0@1' if shard == SHARD else ''

    @property
    def peer(self) -> link_pb2.Hello:
        return link_pb2.Hello(name=str(self._number), incarnation=1)

    def send(self, *arguments) -> None:
        # A demand is sent to a named coordinator, a reply only gets a frame.
        frame = arguments[-1]
        self._counts.add(frame)
        if len(arguments) > 1:
            self._nodes[0].take(self, [frame])
        else:
            self.take(self._nodes[0], [frame])


def _list_teams(count: int) -> list[str]:
    names = (f'team-{number}' for number in range(1000))
    ours = [name for name in names if shares.find_shard((name, 'x')) == SHARD]
    return ours[:count]


def _run(size: int, teams: int) -> tuple[float, float]:
    """Return the messages and bytes per second of the coordinator."""
    now, nodes, counts = 0.0, [], _Counts()
    entries = [
        limits.Limiter(
            lambda take: _Node(nodes, counts, size, take),
            lambda: now,
            grant_wait=0.0,
        )
        for _ in range(size)
    ]
    names = _list_teams(teams)
    due = [(number / size, number) for number in range(size)]
    while due[0][0] < _WARM_SECONDS + _SECONDS:
        before, (now, number) = now, heapq.heappop(due)
        if before < _WARM_SECONDS <= now:
            counts.messages = counts.bytes = 0
        for name in names:
            entries[number].admit('', name, _RULE)
        entries[number].renew()
        heapq.heappush(due, (now + entries[number].renewal_delay, number))
    return counts.messages / _SECONDS, counts.bytes / _SECONDS


def measure_bytes() -> Iterator[figures.Figure]:
    """Measure the messages and bytes per second of a coordinator."""
    for teams in TEAMS:
        for size in SIZES:
            messages, sent = _run(size, teams)
            name = f'limits.bytes.{teams}_teams.{size}'
            yield figures.plain(
                f'{name}.messages',
                round(messages, 1),
                'messages/s',
                note='in and out',
            )
            yield figures.at_most(
                name,
                round(sent, 1),
                'B/s',
                BYTES_BOUND,
                note=f'in and out, {teams} limited teams at each entry,'
                f' {FRAMING_BYTES} B of framing a message',
            )


CASES = [measure_bytes]
