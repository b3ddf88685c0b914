"""Outcomes of recent requests, for callers that lost an answer."""

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
    """What became of a request.

    :ivar outcome: an outcome's value, or ``running``
    :ivar code: why it failed, empty when it did not
    """

    team: str
    outcome: str
    code: str = ''

    def render(self, request_id: str) -> bytes:
        """Return it as JSON."""
        fields = {'id': request_id, 'outcome': self.outcome}
        if self.code:
            fields['code'] = self.code
        return msgspec.json.encode(fields)


class History:
    """Remembers a bounded number of outcomes."""

    def __init__(
        self,
        observe: Callable[[str, str], None],
        limit: int = MAX_RECORDS,
    ) -> None:
        """Begin with none.

        :param observe: called with each outcome and its code, which is
            empty for a whole answer
        """
        self._observe = observe
        self._limit = limit
        self._lock = threading.Lock()
        self._records: collections.OrderedDict[str, Record] = (
            collections.OrderedDict()
        )
        self.totals: collections.Counter[str] = collections.Counter()

    def begin(self, request_id: str, team: str) -> None:
        """Take note of a request."""
        with self._lock:
            self._records[request_id] = Record(team, RUNNING)
            while len(self._records) > self._limit:
                self._records.popitem(last=False)

    def end(
        self, request_id: str, team: str, refusal: outcomes.Refusal | None
    ) -> None:
        """Take note of an outcome; None stands for a whole answer."""
        outcome, code = outcomes.Outcome.COMPLETE, ''
        if refusal is not None:
            outcome, code = refusal.outcome, refusal.code.value
        self._observe(outcome.value, code)
        with self._lock:
            self.totals[code or outcome.value] += 1
            if request_id in self._records:
                self._records[request_id] = Record(team, outcome.value, code)

    def find(self, request_id: str, team: str) -> Record | None:
        """Return a team's own request, or None."""
        with self._lock:
            record = self._records.get(request_id)
        if record is None or record.team != team:
            return None
        return record
