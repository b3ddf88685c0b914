"""Round-robin selection of chains: the baseline for benchmarks."""

from collections.abc import Collection, Iterable
import itertools

from dunlintide_core import plan as plans

__all__ = ['RoundRobin']


def _list_reaching(
    stages: Iterable[plans.Stage], layers: int
) -> list[plans.Stage]:
    """List the stages from which the last layer can be reached."""
    reaching = {layers}
    kept = []
    for stage in sorted(stages, key=lambda stage: -stage.layer_start):
        if stage.layer_end in reaching:
            reaching.add(stage.layer_start)
            kept.append(stage)
    return kept


class RoundRobin:
    """Selects the endpoints at each layer boundary in turn.

    The load of the endpoints is ignored.
    """

    def __init__(self) -> None:
        """Start with the first endpoint at each layer boundary."""
        self._counts: dict[int, Iterable[int]] = {}

    def choose(
        self,
        stages: Iterable[plans.Stage],
        layers: int,
        avoid: Collection[str] = (),
    ) -> plans.Chain | None:
        """Choose the next chain.

        :param stages: all live endpoints
        :param layers: number of layers of the model
        :param avoid: names of agents to exclude
        :returns: None when the endpoints do not cover all layers
        """
        usable = [stage for stage in stages if stage.agent not in avoid]
        by_start: dict[int, list[plans.Stage]] = {}
        for stage in _list_reaching(usable, layers):
            by_start.setdefault(stage.layer_start, []).append(stage)
        boundary = 0
        path = []
        while boundary != layers:
            found = sorted(
                by_start.get(boundary, ()), key=lambda stage: stage.agent
            )
            if not found:
                return None
            count = self._counts.setdefault(boundary, itertools.count())
            path.append(found[next(count) % len(found)])
            boundary = path[-1].layer_end
        return plans.Chain(tuple(path))
