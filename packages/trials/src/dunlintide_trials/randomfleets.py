"""Random fleets of mixed accelerators and links, determined by a seed."""

import random

import attrs

from dunlintide_core import plan as plans

__all__ = ['RandomFleet', 'generate']

# Tokens/s of each kind of accelerator.
KINDS = (200.0, 300.0, 500.0, 800.0, 1200.0, 2000.0)
# Tokens/s and seconds of links between domains, each over a range of 100.
LINK_RATES = (50.0, 500.0, 5000.0)
LINK_LATENCIES = (0.0005, 0.005, 0.05)
LOCAL_LINK = plans.LinkQuality(0.0003, 100_000.0)


@attrs.frozen
class RandomFleet:
    """A fleet of endpoints and the links between its failure domains.

    :ivar stages: endpoints
    :ivar layers: number of layers of the model
    :ivar links: latency and bandwidth between failure domains
    """

    stages: list[plans.Stage]
    layers: int
    links: plans.Links


def generate(
    seed: int, layers: int = 4, endpoints_per_kind: int = 1, domains: int = 3
) -> RandomFleet:
    """Draw a fleet in which each endpoint holds one layer.

    :param layers: number of layers
    :param endpoints_per_kind: endpoints of each kind of accelerator per layer
    :param domains: number of failure domains
    """
    rng = random.Random(seed)
    stages = []
    for start in range(layers):
        kinds = list(KINDS) * endpoints_per_kind
        rng.shuffle(kinds)
        for index, kind in enumerate(kinds):
            domain = f'domain-{rng.randrange(domains)}'
            name = f'agent-{start}-{index}'
            stages.append(plans.Stage(name, start, start + 1, kind, domain))
    links = {}
    for source in range(domains):
        for target in range(domains):
            quality = LOCAL_LINK
            if source != target:
                quality = plans.LinkQuality(
                    rng.choice(LINK_LATENCIES),
                    rng.choice(LINK_RATES) * endpoints_per_kind,
                )
            links[f'domain-{source}', f'domain-{target}'] = quality
    return RandomFleet(stages, layers, plans.Links(domains=links))
