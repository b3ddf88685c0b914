"""How runs of a stream end before its answer is whole."""

from dunlintide_core.pipeline import chains

__all__ = ['RunEnded']

Hops = chains.Hops


class RunEnded(Exception):
    """How a run ended without a whole answer; its stream decides on.

    :ivar ran: whether it may have run
    :ivar reason: for the log
    :ivar retry: whether another chain may do better
    :ivar hops: the chain on which it goes on, paid for, None to find one
    """

    def __init__(
        self,
        ran: bool,
        reason: str,
        retry: bool = True,
        next_hops: Hops | None = None,
    ) -> None:
        super().__init__(reason)
        self.ran = ran
        self.reason = reason
        self.retry = retry
        self.next_hops = next_hops
