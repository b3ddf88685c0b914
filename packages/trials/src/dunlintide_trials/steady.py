"""Constant load of completions with the duration of each request."""

import statistics
import threading

import attrs

from dunlintide_core import outcomes
from dunlintide_trials import client
from dunlintide_trials import deployment

__all__ = ['Sample', 'SteadyLoad']

_PROMPT = 'Announce the harvest supper on Saturday'
_JOIN_SECONDS = 60.0


@attrs.frozen
class Sample:
    """Times and outcome of one request.

    :ivar started: monotonic time of the request in seconds
    :ivar ended: monotonic time of the end of the response in seconds
    :ivar outcome: see ``client.Answer``
    :ivar code: error code, empty for a complete response
    """

    started: float
    ended: float
    outcome: str
    code: str = ''

    @property
    def seconds(self) -> float:
        """Duration of the request in seconds."""
        return self.ended - self.started

    @property
    def is_complete(self) -> bool:
        """Whether the response arrived complete."""
        return self.outcome == outcomes.Outcome.COMPLETE


class SteadyLoad:
    """Threads that each send the next request when one is answered.

    :ivar samples: finished requests
    """

    def __init__(
        self,
        running: deployment.Deployment,
        entries: list[int],
        threads: int,
        max_tokens: int,
    ) -> None:
        """Prepare the threads, which ``start`` starts.

        :param entries: numbers of the entries that get requests
        :param threads: number of concurrent requests
        :param max_tokens: tokens that each request generates
        """
        self.samples: list[Sample] = []
        self._max_tokens = max_tokens
        self._model = running.model
        self._stopped = threading.Event()
        teams = list(running.keys)
        self._threads = [
            threading.Thread(
                target=self._run,
                args=(
                    running.make_caller(
                        entries[number % len(entries)],
                        teams[number % len(teams)],
                    ),
                ),
                daemon=True,
            )
            for number in range(threads)
        ]

    def _run(self, caller: client.Caller) -> None:
        count = 0
        while not self._stopped.is_set():
            count += 1
            answer = caller.complete(
                f'{_PROMPT} {count}',
                model=self._model,
                max_tokens=self._max_tokens,
            )
            self.samples.append(
                Sample(
                    answer.started, answer.ended, answer.outcome, answer.code
                )
            )
        caller.close()

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop sending and wait for outstanding responses."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(_JOIN_SECONDS)

    def find_disturbed(self, moment: float, slowness: float) -> list[Sample]:
        """List the requests after a moment that failed or were slow.

        :param moment: monotonic time in seconds; requests that ended later
            are checked
        :param slowness: requests are slow at this multiple of the median
            duration before the moment
        """
        usual = statistics.median(
            one.seconds for one in self.samples if one.ended < moment
        )
        return [
            one
            for one in self.samples
            if one.ended > moment
            and not (one.is_complete and one.seconds < slowness * usual)
        ]
