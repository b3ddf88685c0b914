"""Chains of endpoints that serve one request, and its resource needs."""

from typing import Iterable

import attrs

from dunlintide_core.pipeline import endpoints as endpoints_module

__all__ = [
    'MAX_HOPS',
    'Demand',
    'Hops',
    'list_pipes',
    'name_pipe',
]

# Largest number of hops that engines accept in a chain.
MAX_HOPS = 32

Hops = tuple[endpoints_module.Hop, ...]


@attrs.frozen
class Demand:
    """Resources that a request needs.

    :ivar prompt: prompt tokens, including tokens already written when resumed
    :ivar answer: expected number of tokens to write
    :ivar tokens: tokens for which each hop reserves memory
    :ivar domain: failure domain of the entry
    """

    prompt: int
    answer: int
    tokens: int
    domain: str


def name_pipe(one: str, other: str) -> str:
    """Return the name of the pipe between two failure domains.

    A pipe is the link that all requests between two domains share. The name is
    the key under which its usage is counted.
    """
    return '|'.join(sorted((one, other)))


def list_pipes(hops: Iterable[endpoints_module.Hop]) -> list[str]:
    """List the pipes that a chain crosses, one name for each crossing."""
    domains = [hop.endpoint.domain for hop in hops]
    return [
        name_pipe(one, other)
        for one, other in zip(domains, domains[1:])
        if one != other
    ]
