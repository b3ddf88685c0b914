"""Checks of the pauses that endpoints ask for, from what they received."""

from typing import Callable, Iterable

from dunlintide_standins.fleet import runners

__all__ = [
    'MAX_RECEIVED',
    'UNDER_WAY_SECONDS',
    'list_backoff_violations',
    'list_leaving_violations',
]

# Requests that may reach an endpoint within one pause, and seconds after its
# answer from which they count: some are under way while it answers.
MAX_RECEIVED = 2
UNDER_WAY_SECONDS = 0.5

FindEntry = Callable[[str], str]
# Whether an entry is excused between two monotonic times, in seconds.
IsExcused = Callable[[str, float, float], bool]


def _never(entry: str, first: float, last: float) -> bool:
    return False


def list_backoff_violations(
    runner: runners.Runner,
    find_entry: FindEntry,
    is_excused: IsExcused = _never,
) -> list[str]:
    """List the pauses in which an entry sent too much to an endpoint.

    :param find_entry: returns the entry that got a request, by the id of the
        request; reports and orders have an empty id
    """
    violations = []
    for asked in runner.backoffs:
        entry = find_entry(asked.name)
        first = asked.at + UNDER_WAY_SECONDS
        last = asked.at + asked.seconds
        count = sum(
            first < each.at < last
            for each in runner.received
            if each.instance == asked.instance
            and find_entry(each.name) == entry
        )
        if count > MAX_RECEIVED and not is_excused(entry, asked.at, last):
            violations.append(
                f'{asked.instance}: {count} requests of {entry} in a pause of'
                f' {asked.seconds} s, {MAX_RECEIVED} allowed'
            )
    return violations


def list_leaving_violations(
    runner: runners.Runner,
    find_entry: FindEntry,
    sent_times: dict[str, float],
    drain_seconds: float,
    is_excused: IsExcused = _never,
) -> list[str]:
    """List the requests that reached an endpoint too long after it left.

    :param find_entry: returns the entry that got a request, by its id
    :param sent_times: monotonic time at which the caller sent each request,
        in seconds; requests that are missing do not count
    :param drain_seconds: time for which an entry may go on
    """
    told: dict[tuple[str, str], float] = {}
    for answer in runner.leaving_answers:
        key = answer.instance, find_entry(answer.name)
        told[key] = min(answer.at, told.get(key, answer.at))
    return [
        f'{each.instance}: {each.name} was sent {sent - at:.2f} s after it'
        ' had said that it leaves'
        for each, sent, at in _list_late(
            runner.received, find_entry, sent_times, told
        )
        if sent > at + drain_seconds
        and not is_excused(find_entry(each.name), at, each.at)
    ]


def _list_late(
    received: Iterable[runners.Received],
    find_entry: FindEntry,
    sent_times: dict[str, float],
    told: dict[tuple[str, str], float],
) -> list[tuple[runners.Received, float, float]]:
    """List requests that an entry sent after it was told.

    :returns: each with the time of its caller and that of the answer
    """
    late = []
    for each in received:
        key = each.instance, find_entry(each.name)
        if each.name in sent_times and key in told:
            late.append((each, sent_times[each.name], told[key]))
    return late
