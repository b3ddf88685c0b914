"""Round robin over layer ranges: the baseline for measurements."""

from collections.abc import Collection, Iterable
import itertools

from dunlintide_core import plan as plans

__all__ = ['Turns']


def _find_reaching(
    stops: Iterable[plans.Stop], layers: int
) -> list[plans.Stop]:
    """Keep the stops from which the last layer can be reached."""
    reaching = {layers}
    kept = []
    for stop in sorted(stops, key=lambda stop: -stop.layer_start):
        if stop.layer_end in reaching:
            reaching.add(stop.layer_start)
            kept.append(stop)
    return kept


class Turns:
    """Endpoints of each layer boundary in turn, whatever their load."""

    def __init__(self) -> None:
        """Begin with the first endpoint of each boundary."""
        self._counts: dict[int, Iterable[int]] = {}

    def choose(
        self,
        stops: Iterable[plans.Stop],
        layers: int,
        avoid: Collection[str] = (),
    ) -> plans.Chain | None:
        """Choose the next chain; None when nothing tiles.

        :param stops: all live endpoints
        :param layers: number of layers of the model
        :param avoid: agents that must not be met
        """
        usable = [stop for stop in stops if stop.agent not in avoid]
        by_start: dict[int, list[plans.Stop]] = {}
        for stop in _find_reaching(usable, layers):
            by_start.setdefault(stop.layer_start, []).append(stop)
        boundary = 0
        path = []
        while boundary != layers:
            found = sorted(
                by_start.get(boundary, ()), key=lambda stop: stop.agent
            )
            if not found:
                return None
            count = self._counts.setdefault(boundary, itertools.count())
            path.append(found[next(count) % len(found)])
            boundary = path[-1].layer_end
        return plans.Chain(tuple(path))
