"""Outcomes of recent requests.

A caller that lost the connection can look up how its request ended.
"""

import collections
import threading
from typing import Callable

import attrs
import msgspec

from dunlintide_core import outcomes

__all__ = [
    'History',
    'Record',
]

MAX_RECORDS = 20_000
RUNNING = 'running'


@attrs.frozen
class Record:
    """Outcome of one request.

    :ivar team: team that sent the request
    :ivar outcome: value of an ``Outcome``, or ``running``
    :ivar code: failure code, empty if the request did not fail
    """

    team: str
    outcome: str
    code: str = ''

    def render(self, request_id: str) -> bytes:
        """Encode the record as JSON."""
        fields = {'id': request_id, 'outcome': self.outcome}
        if self.code:
            fields['code'] = self.code
        return msgspec.json.encode(fields)


class History:
    """Keeps the outcomes of a bounded number of recent requests."""

    def __init__(
        self,
        observe: Callable[[str, str], None],
        limit: int = MAX_RECORDS,
    ) -> None:
        """Initialize without records.

        :param observe: called with each outcome and its failure code,
            which is empty for a complete answer
        :param limit: number of records to keep; the oldest is evicted
        """
        self._observe = observe
        self._limit = limit
        self._lock = threading.Lock()
        self._records: collections.OrderedDict[str, Record] = (
            collections.OrderedDict()
        )
        self.totals: collections.Counter[str] = collections.Counter()

    def begin(self, request_id: str, team: str) -> None:
        """Record a request as running."""
        with self._lock:
            self._records[request_id] = Record(team, RUNNING)
            while len(self._records) > self._limit:
                self._records.popitem(last=False)

    def end(
        self, request_id: str, team: str, refusal: outcomes.Refusal | None
    ) -> None:
        """Record an outcome.

        :param refusal: why the request failed, None for a complete answer
        """
        outcome, code = outcomes.Outcome.COMPLETE, ''
        if refusal is not None:
            outcome, code = refusal.outcome, refusal.code.value
        self._observe(outcome.value, code)
        with self._lock:
            self.totals[code or outcome.value] += 1
            if request_id in self._records:
                self._records[request_id] = Record(team, outcome.value, code)

    def find(self, request_id: str, team: str) -> Record | None:
        """Return the record of a request if it is this team's, else None."""
        with self._lock:
            record = self._records.get(request_id)
        if record is None or record.team != team:
            return None
        return record
