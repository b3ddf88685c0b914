"""Choice of the entry that a newer configuration is read from.

Load pattern: a new version reaches all entries at the same moment. Those with
wide links have it from the store at once; over a narrow link the compressed
form of another entry takes a tenth of the time. All who lack it ask at the
same moment, so they spread over those that have it, and one that is busy,
slow or cut off is passed over.
"""

import random as random_module

import attrs

__all__ = ['ConfigurationSources']

# How long an entry is passed over after a failed read, in seconds.
FAILED_SECONDS = 1.0
# How long one that is busy with others is passed over, in seconds: about the
# time that it takes to serve one of them over a narrow link.
BUSY_SECONDS = 0.1
# Range of the random factor on both, so that entries do not return together.
JITTER = (0.5, 1.5)


@attrs.define
class _Source:
    """Another entry.

    :ivar version: version that it has in force
    :ivar domain: its failure domain
    :ivar usable_at: monotonic time from which it may be asked, in seconds
    """

    version: int
    domain: str
    usable_at: float = float('-inf')


class ConfigurationSources:
    """Versions that other entries have in force, and who can be asked."""

    def __init__(self, domain: str, random: random_module.Random) -> None:
        """Know no other entry yet.

        :param domain: failure domain of this entry
        :param random: source of randomness
        """
        self._domain = domain
        self._random = random
        self._sources: dict[str, _Source] = {}

    def record(self, name: str, domain: str, version: int) -> None:
        """Record the version that an entry has in force."""
        source = self._sources.setdefault(name, _Source(version, domain))
        # It falls when the entry starts again.
        source.version, source.domain = version, domain

    def get_version(self, name: str) -> int:
        """Return the version that an entry has in force, 0 if unknown."""
        source = self._sources.get(name)
        return source.version if source is not None else 0

    def forget(self, name: str) -> None:
        """Forget an entry that is no longer listed."""
        self._sources.pop(name, None)

    def record_failure(self, name: str, now: float, is_busy: bool) -> None:
        """Pass over an entry for a while.

        :param now: monotonic time in seconds
        :param is_busy: whether it said that it serves others
        """
        source = self._sources.get(name)
        if source is not None:
            pause = BUSY_SECONDS if is_busy else FAILED_SECONDS
            source.usable_at = now + pause * self._random.uniform(*JITTER)

    def choose(self, version: int, now: float) -> str | None:
        """Choose an entry with a newer version, None if none can be asked.

        The newest version counts most, then the own failure domain, since
        traffic between domains is expensive.

        :param version: version in force at this entry
        :param now: monotonic time in seconds
        """
        usable = {
            name: (source.version, source.domain == self._domain)
            for name, source in self._sources.items()
            if source.version > version and source.usable_at <= now
        }
        if not usable:
            return None
        best = max(usable.values())
        names = sorted(name for name, rank in usable.items() if rank == best)
        return self._random.choice(names)

    def get_wait(self, version: int, now: float) -> float | None:
        """Return the time until an entry can be asked, in seconds.

        :param version: version in force at this entry
        :returns: None if no entry has a newer version
        """
        times = [
            source.usable_at
            for source in self._sources.values()
            if source.version > version
        ]
        return max(0.0, min(times) - now) if times else None
