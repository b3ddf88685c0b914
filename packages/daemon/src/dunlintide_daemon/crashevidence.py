"""Evidence about endpoint crashes, shared with linked processes.

New evidence is forwarded to every linked process except its source. A link
keeps the order of its frames, so a process that learns of a failed attempt
over a link already knows of the crash behind it.
"""

import threading
import time
from typing import Any, Callable, Iterable, Sequence

from absl import logging
import attrs

from dunlintide_adapters import links
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import poison

__all__ = [
    'CompletedStep',
    'CrashEvidence',
]

_SHOWN_DIGITS = 12

# Sends a frame to all linked processes except the given one.
Broadcast = Callable[[link_pb2.Frame, links.Link | None], None]


@attrs.frozen
class CompletedStep:
    """A pipeline step that an endpoint has completed.

    :ivar fingerprint: identifies the request, empty without one
    :ivar position: first position of the step
    :ivar end: position after the last one of the step
    """

    fingerprint: bytes
    position: int
    end: int


def _write_crash(crash: poison.Crash, now: float) -> link_pb2.Crash:
    suspects = [
        link_pb2.Suspect(
            fingerprint=one.fingerprint,
            team=one.team,
            position=one.position,
        )
        for one in crash.suspects
    ]
    return link_pb2.Crash(
        name=crash.name,
        endpoint=crash.endpoint,
        model=crash.layers.model,
        layer_start=crash.layers.layer_start,
        layer_end=crash.layers.layer_end,
        ttl_ms=max(0, int((crash.expires - now) * 1000)),
        suspects=suspects,
    )


def _read_crash(
    message: link_pb2.Crash, now: float, max_seconds: float
) -> poison.Crash:
    suspects = tuple(
        poison.Suspect(one.fingerprint, one.team, one.position)
        for one in message.suspects
    )
    place = poison.LayerRange(
        message.model, message.layer_start, message.layer_end
    )
    seconds = min(message.ttl_ms / 1000, max_seconds)
    return poison.Crash(
        message.name, message.endpoint, place, suspects, now + seconds
    )


class CrashEvidence:
    """Thread-safe crash evidence that is replicated over links.

    :ivar on_remote_crash: called when another process reported crashes;
        no lock is held
    """

    def __init__(
        self,
        broadcast: Broadcast,
        limits: poison.Limits = poison.Limits(),
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start without evidence.

        :param broadcast: sends to the linked processes; must not block
        :param limits: thresholds and lifetimes of evidence
        :param clock: returns monotonic time in seconds
        """
        self.on_remote_crash: Callable[[], None] = lambda: None
        self._broadcast = broadcast
        self._limits = limits
        self._clock = clock
        self._evidence = poison.Evidence(limits)
        self._lock = threading.Lock()
        self._count = 0

    def report_crash(
        self,
        endpoint: str,
        incarnation: int,
        place: poison.LayerRange,
        suspects: Iterable[poison.Suspect],
    ) -> None:
        """Record and broadcast a crash of this agent's endpoint.

        :param endpoint: name of the agent
        :param incarnation: incarnation of the agent
        :param place: layers that the endpoint held
        :param suspects: requests whose steps were running
        """
        now = self._clock()
        with self._lock:
            self._count += 1
            name = f'{endpoint}/{incarnation}/{self._count}'
            expires = now + self._limits.seconds
            crash = poison.Crash(
                name, endpoint, place, tuple(suspects), expires
            )
            self._evidence.add(crash, now)
            self._send([_write_crash(crash, now)], [], None)
        logging.warning(
            'crash %s makes %d requests suspects', name, len(crash.suspects)
        )

    def _send(
        self,
        crashes: Sequence[link_pb2.Crash],
        cleared: Sequence[link_pb2.Clearance],
        source: links.Link | None,
    ) -> None:
        if crashes or cleared:
            message = link_pb2.Suspects(crashes=crashes, cleared=cleared)
            self._broadcast(link_pb2.Frame(suspects=message), source)

    def receive(self, link: links.Link, message: link_pb2.Suspects) -> None:
        """Add the evidence of a neighbour, and forward what is new."""
        now = self._clock()
        max_seconds = self._limits.seconds
        # Sending under the lock keeps a crash ahead of its clearances on each
        # link.
        with self._lock:
            crashes = [
                one
                for one in message.crashes
                if self._evidence.add(_read_crash(one, now, max_seconds), now)
            ]
            cleared = [
                one
                for one in message.cleared
                if self._evidence.clear(one.crash, one.fingerprint)
            ]
            self._send(crashes, cleared, link)
        if crashes:
            self.on_remote_crash()

    def send_known(self, send: Callable[[link_pb2.Frame], object]) -> None:
        """Send all known crashes to a new neighbour.

        :param send: sends a frame to the neighbour; must not block
        """
        now = self._clock()
        with self._lock:
            self._evidence.expire(now)
            crashes = [
                _write_crash(crash, now)
                for crash in self._evidence.list_crashes()
            ]
            if crashes:
                message = link_pb2.Suspects(crashes=crashes)
                send(link_pb2.Frame(suspects=message))

    def record_steps(
        self, place: poison.LayerRange, steps: Iterable[CompletedStep]
    ) -> None:
        """Record completed steps, and broadcast which requests they clear.

        :param place: layers that the endpoint holds
        """
        # Most steps clear nothing; they are filtered out without the lock.
        relevant = [
            step
            for step in steps
            if step.fingerprint
            and (
                not step.position
                or self._evidence.is_suspected(step.fingerprint)
            )
        ]
        if not relevant:
            return
        with self._lock:
            cleared = [
                link_pb2.Clearance(crash=name, fingerprint=step.fingerprint)
                for step in relevant
                for name in self._evidence.record_step(
                    step.fingerprint, place, step.end
                )
            ]
            self._send([], cleared, None)

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Return whether a request must be refused."""
        return self._evidence.is_quarantined(fingerprint)

    def must_run_alone(
        self, fingerprint: bytes, team: str, place: poison.LayerRange
    ) -> bool:
        """Return whether a request's step must run alone on the endpoint."""
        evidence = self._evidence
        if not evidence.is_suspected(fingerprint):
            if not evidence.is_team_isolated(team):
                return False
        with self._lock:
            return evidence.must_run_alone(fingerprint, team, place)

    def discard_expired(self) -> None:
        """Discard expired evidence; to be called a few times a second."""
        if len(self._evidence):
            with self._lock:
                self._evidence.expire(self._clock())

    def describe(self) -> dict[str, Any]:
        """Return the state for a dump, without request content."""
        now = self._clock()
        with self._lock:
            self._evidence.expire(now)
            return {
                'quarantined': [
                    {
                        'fingerprint': one.fingerprint.hex()[:_SHOWN_DIGITS],
                        'member': one.team,
                        'crashes': one.crashes,
                        'seconds_left': round(one.seconds, 1),
                    }
                    for one in self._evidence.list_quarantines(now)
                ],
                'watched_members': self._evidence.list_isolated_teams(),
                'crashes': [
                    {
                        'name': crash.name,
                        'accused': len(crash.suspects),
                        'seconds_left': round(crash.expires - now, 1),
                    }
                    for crash in self._evidence.list_crashes()
                ],
            }
