"""State dump of an agent, without request contents and API keys."""

import collections
from typing import Any

from dunlintide_daemon.agent import gate as gates
from dunlintide_daemon.agent import requests

__all__ = [
    'describe_gate',
]

MAX_LISTED = 200


def _describe_request(request: requests.Request, now: float) -> dict[str, Any]:
    return {
        'request_id': request.request_id,
        'member': request.terms.team,
        'rule': request.terms.rule,
        'epoch': request.epoch,
        'phase': str(request.phase),
        'seconds_left': round(request.deadline - now, 3),
        'cost': round(request.cost, 1),
        'subscribers': len(request.subscribers),
        'non_idempotent': request.entry is not None,
        'frames': len(request.log),
    }


def describe_gate(gate: gates.Gate, now: float) -> dict[str, Any]:
    """Return the state of a gate as JSON-compatible data.

    :param now: monotonic time in seconds
    """
    with gate.lock:
        listed = gate.list_requests()
        phases = collections.Counter(str(request.phase) for request in listed)
        return {
            'leaving': gate.leaving,
            'fault': gate.fault,
            'works': dict(phases),
            'listed': [
                _describe_request(request, now)
                for request in listed[:MAX_LISTED]
            ],
            'queue': {
                'length': len(gate.capacity.queue),
                'cost': round(gate.capacity.queue.cost, 1),
                'cost_per_second': round(gate.capacity.rate.value, 1),
                'members': gate.capacity.queue.count_teams(),
            },
            'in_flight': {
                'requests': gate.capacity.in_flight.requests,
                'tokens': gate.capacity.in_flight.tokens,
                'finished': gate.capacity.in_flight.finished,
                'cap': gate.capacity.cap.limit(gate.capacity.in_flight),
            },
            'ledger': {
                'generation': gate.ledger.generation,
                'entries': len(gate.ledger),
                'answer_bytes': gate.ledger.answer_bytes,
            },
            'drops': gate.counts.get_drops(),
            'events': gate.counts.get_events(),
        }
