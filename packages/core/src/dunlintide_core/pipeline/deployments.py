"""The configuration in force, indexed for lookups by request."""

import collections
from typing import Iterable, Mapping

import attrs

from dunlintide_core import configuration
from dunlintide_core import matching
from dunlintide_core.pipeline import demandrows
from dunlintide_core.pipeline import profiles
from dunlintide_core import steps

__all__ = [
    'CallerLimits',
    'Deployment',
]


@attrs.frozen
class CallerLimits:
    """Limits on what a caller may send.

    :ivar header_bytes: maximum size of the head of a request
    :ivar body_bytes: maximum size of the body of a request
    :ivar header_seconds: time for receiving the head of a request
    :ivar idle_seconds: time that a connection may be idle between requests
    """

    header_bytes: int = 16 << 10
    body_bytes: int = 4 << 20
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


# Rules that are examined in one step.
RULES_PER_STEP = 500

# Priority of a team, or of a rule where the team names none, and the priority
# of the rule.
_Precedence = tuple[int, int]


def _get_precedence(own: int, team: int | None) -> _Precedence:
    """Return by what a request is ordered.

    The priority of the team comes first; among teams of equal priority that
    of the rule decides.

    :param own: priority of the rule
    :param team: priority of the team, None without one
    """
    return (own if team is None else team), own


def _get_team_priority(team: configuration.Team | None) -> int | None:
    return None if team is None else team.priority


@attrs.frozen
class _Contention:
    """Which services have requests that differ in priority or weight.

    :ivar services: names of these services
    :ivar priorities: priority by service and precedence, where rules differ
        among teams of equal priority
    """

    services: frozenset[str] = frozenset()
    priorities: Mapping[str, Mapping[_Precedence, int]] = {}

    @classmethod
    def find(
        cls,
        rules: Iterable[configuration.Rule],
        teams: Iterable[configuration.Team],
    ) -> steps.Steps['_Contention']:
        """Compare the requests that rules and teams allow, in steps."""
        team_priorities = {each.priority for each in teams} or {None}
        # Priorities of its rules by service, and whether they need no team.
        owns: dict[str, set[tuple[int, bool]]] = collections.defaultdict(set)
        weights: dict[str, set[float]] = collections.defaultdict(set)
        for number, rule in enumerate(rules, 1):
            then = rule.then
            for share in then.services:
                owns[share.service].add((then.priority, then.public))
                weights[share.service].add(then.weight)
            if number % RULES_PER_STEP == 0:
                yield
        contended = set()
        priorities = {}
        # Services with rules of the same priorities have the same result.
        known: dict[frozenset, tuple[bool, Mapping[_Precedence, int]]] = {}
        for name, found in owns.items():
            key = frozenset(found)
            if key not in known:
                precedences = {
                    _get_precedence(own, team)
                    for own, public in found
                    for team in team_priorities | ({None} if public else set())
                }
                ranked = _rank_precedences(precedences)
                known[key] = len(precedences) > 1, ranked
                yield
            differs, ranked = known[key]
            if differs or len(weights[name]) > 1:
                contended.add(name)
                if ranked:
                    priorities[name] = ranked
        return cls(frozenset(contended), priorities)


def _rank_precedences(
    found: Iterable[_Precedence],
) -> Mapping[_Precedence, int]:
    """Return consecutive priorities for the precedences of a service.

    :returns: empty if the first parts tell all of them apart, and notices of
        demand can hold them
    """
    ordered = sorted(set(found))
    firsts = {first for first, _ in ordered}
    if len(firsts) == len(ordered) and all(
        0 <= first <= demandrows.MAX_VALUE for first in firsts
    ):
        return {}
    return {each: priority for priority, each in enumerate(ordered)}


@attrs.frozen(eq=False)
class Deployment:
    """One version of the configuration.

    :ivar version: increases with each change, not necessarily by one
    :ivar source: the configuration as it was read
    :ivar services: services by name
    :ivar limits: limits on what a caller may send
    :ivar needs_keys: whether requests need an API key unless their rule is
        public
    """

    version: int
    source: configuration.Configuration
    services: Mapping[str, profiles.ServiceProfile]
    limits: CallerLimits
    _index: matching.RuleIndex
    _owners: Mapping[str, configuration.Team]
    _contention: _Contention = _Contention()
    needs_keys: bool = False

    @classmethod
    def from_configuration(
        cls,
        version: int,
        source: configuration.Configuration,
        services: Mapping[str, profiles.ServiceProfile],
        limits: CallerLimits,
    ) -> 'Deployment':
        """Index the rules and the API keys."""
        return steps.finish(cls.build(version, source, services, limits))

    @classmethod
    def build(
        cls,
        version: int,
        source: configuration.Configuration,
        services: Mapping[str, profiles.ServiceProfile],
        limits: CallerLimits,
        previous: 'Deployment | None' = None,
        needs_keys: bool | None = None,
    ) -> steps.Steps['Deployment']:
        """Index the rules and the API keys, in steps.

        :param previous: version before, of which what is unchanged is used
            again
        :param needs_keys: whether requests need an API key, None if they do
            where there are teams
        """
        owners = {
            digest: team for team in source.teams for digest in team.key_hashes
        }
        index = yield from matching.RuleIndex.build(
            source.rules, previous._index if previous else None
        )
        contention = yield from _Contention.find(source.rules, source.teams)
        if needs_keys is None:
            needs_keys = bool(source.teams)
        return cls(
            version,
            source,
            services,
            limits,
            index,
            owners,
            contention,
            needs_keys,
        )

    def find_rule(self, query: matching.Query) -> configuration.Rule | None:
        """Return the first rule that matches a request."""
        return self._index.find(query)

    def is_contended(self, service: str) -> bool:
        """Return whether requests of a service differ in priority or weight.

        Then capacity that one of them takes may be owed to another.
        """
        return service in self._contention.services

    def get_priority(
        self,
        service: str,
        rule: configuration.Rule,
        owner: configuration.Team | None,
    ) -> int:
        """Return the priority of a request of a shared service.

        That of its team takes precedence; where rules of a service differ
        among teams of equal priority, priorities are numbered anew, from 0.

        :param service: service that the rule's traffic split chose
        """
        own = rule.then.priority
        precedence = _get_precedence(own, _get_team_priority(owner))
        ranked = self._contention.priorities.get(service, {})
        return ranked.get(precedence, precedence[0])

    def get_unshared_priority(
        self, rule: configuration.Rule, owner: configuration.Team | None
    ) -> int:
        """Return the priority of a request where sharing is off.

        That of its team, else that of the rule.
        """
        own = rule.then.priority
        return _get_precedence(own, _get_team_priority(owner))[0]

    def find_owner(self, digest: str) -> configuration.Team | None:
        """Return the team that owns an API key.

        :param digest: SHA-256 of the key, lower-case hex
        """
        return self._owners.get(digest)
