"""Configurations of a soak, and checks of when they are in force.

Each version has a route of its own, and keeps those of the versions written
shortly before. A request on the route of a version tells whether the entry
has that version or one of those behind it.
"""

import bisect
import random
import threading
import time
from typing import Callable, Iterator

import attrs

from dunlintide_trials.edge import disruptions as disruptions_module
from dunlintide_trials.edge import scene as scenes

__all__ = ['APPLY_SECONDS', 'KEPT_VERSIONS', 'Versions']

# Versions whose routes a configuration keeps, its own included.
KEPT_VERSIONS = 8
# Time after the acknowledgement of a version by which entries in touch have it
# in force, and after which one that had it may not be without it, in seconds:
# those that belong to the soak's drain time of 2 s.
APPLY_SECONDS = 2.0
ROLLBACK_SECONDS = 0.25
# Pause between two probes, in seconds.
PAUSE_SECONDS = 0.03
KNOWN, UNKNOWN = 200, 404


@attrs.frozen
class _Written:
    """A version that the store has acknowledged.

    :ivar at: monotonic time of the acknowledgement, in seconds
    """

    version: int
    at: float


@attrs.frozen
class _Probe:
    """A request on the route of a version.

    :ivar sent: monotonic time in seconds, as is ``ended``
    :ivar written: number of versions that had been written when it ended
    """

    entry: str
    version: int
    sent: float
    ended: float
    status: int
    written: int


class Versions:
    """Versions of a soak, and probes of which one an entry has."""

    def __init__(self, first: int) -> None:
        """Begin with one version that is in force everywhere.

        :param first: the version
        """
        self._written = [_Written(first, time.monotonic())]
        self._probes: list[_Probe] = []
        self._begun = 1
        self._stopped = threading.Event()
        self._thread: threading.Thread | None = None

    def list_kept(self, version: int) -> list[int]:
        """Return the versions whose routes a new version has."""
        kept = [each.version for each in self._written[1 - KEPT_VERSIONS :]]
        return [*kept, version]

    def record(self, version: int, write: Callable[[], None]) -> None:
        """Write a version and record when it was acknowledged."""
        self._begun += 1
        write()
        self._written.append(_Written(version, time.monotonic()))

    def start(self, entries: list[scenes.Entry], seed: int) -> None:
        """Start to probe the entries."""
        rng = random.Random(f'{seed}/versions')
        self._thread = threading.Thread(target=self._run, args=(entries, rng))
        self._thread.start()

    def stop(self) -> None:
        """Stop probing."""
        self._stopped.set()
        if self._thread is not None:
            self._thread.join()

    def _run(self, entries: list[scenes.Entry], rng: random.Random) -> None:
        while not self._stopped.wait(PAUSE_SECONDS):
            # One that was just written, or one that has to be in force.
            recent = self._written[-KEPT_VERSIONS // 2 :]
            self._probe(rng.choice(entries), rng.choice(recent).version)

    def _probe(self, entry: scenes.Entry, version: int) -> None:
        sent = time.monotonic()
        try:
            answer = entry.call(
                f'{entry.name}.v{version}-{len(self._probes)}',
                f'/version-{version}/x',
            )
        except (OSError, ValueError, IndexError):
            return
        probe = _Probe(
            entry.name,
            version,
            sent,
            time.monotonic(),
            answer.status,
            self._begun,
        )
        self._probes.append(probe)

    @property
    def count(self) -> int:
        """Number of versions written."""
        return len(self._written) - 1

    def count_probes(self) -> int:
        """Return the number of probes with an answer."""
        return len(self._probes)

    def list_violations(
        self,
        disruptions: disruptions_module.Disruptions,
        had_event: Callable[[str, float, float], bool],
    ) -> Iterator[str]:
        """List versions that were not in force in time, or no longer.

        :param had_event: tells whether an entry was started anew, by its
            name, from one time to another
        """
        seen: dict[tuple[str, int], float] = {}
        for probe in self._probes:
            place = self._find_place(probe.version)
            if probe.written - place > KEPT_VERSIONS:
                # A version that drops this route may be in force.
                continue
            if probe.status == KNOWN:
                seen.setdefault((probe.entry, probe.version), probe.ended)
                continue
            if probe.status != UNKNOWN or not disruptions.was_in_touch(
                probe.entry, probe.sent, probe.ended
            ):
                continue
            late = probe.sent - self._written[place].at
            if late > APPLY_SECONDS:
                yield (
                    f'{probe.entry}: without version {probe.version}'
                    f' {late:.2f} s after its acknowledgement'
                )
            had_at = self._find_newer(seen, probe, place)
            if (
                had_at is not None
                and probe.sent - had_at > ROLLBACK_SECONDS
                and not had_event(probe.entry, had_at, probe.sent)
            ):
                yield (
                    f'{probe.entry}: without version {probe.version}'
                    f' {probe.sent - had_at:.2f} s after it had it'
                )

    def _find_place(self, version: int) -> int:
        versions = [each.version for each in self._written]
        return bisect.bisect_left(versions, version)

    def _find_newer(
        self, seen: dict[tuple[str, int], float], probe: _Probe, place: int
    ) -> float | None:
        """Return when an entry had a version or one behind it, or None."""
        times = [
            seen[probe.entry, each.version]
            for each in self._written[place:]
            if (probe.entry, each.version) in seen
        ]
        return min(times, default=None)
