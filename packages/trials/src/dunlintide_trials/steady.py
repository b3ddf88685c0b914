"""A steady load of completions, with the time of each."""

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
    """One request.

    :ivar started: monotonic time in seconds
    :ivar code: why it is not complete, empty when it is
    """

    started: float
    ended: float
    outcome: str
    code: str = ''

    @property
    def seconds(self) -> float:
        """How long it took."""
        return self.ended - self.started

    @property
    def is_complete(self) -> bool:
        """Whether its whole answer came."""
        return self.outcome == outcomes.Outcome.COMPLETE


class SteadyLoad:
    """Threads that each ask again as soon as they have an answer."""

    def __init__(
        self,
        running: deployment.Deployment,
        entries: list[int],
        threads: int,
        max_tokens: int,
    ) -> None:
        """Prepare the threads; ``start`` begins.

        :param entries: numbers of the entries that are asked
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
        """Begin to ask."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ask nothing new and wait for the answers."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(_JOIN_SECONDS)

    def find_disturbed(self, moment: float, slowness: float) -> list[Sample]:
        """List what failed, or was slow, and ended after a moment.

        :param slowness: times the median of those before the moment
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
