"""Exception for runs of a stream that end early."""

from dunlintide_core.pipeline import chains

__all__ = ['RunEnded']

Hops = chains.Hops


class RunEnded(Exception):
    """A run ended before its answer was complete.

    The stream server decides whether the stream is resumed.

    :ivar ran: whether the request may have run
    :ivar reason: reason for the log
    :ivar retry: whether another chain may succeed
    :ivar next_hops: chain for the next run, already charged to the retry
        budget; None to choose one
    :ivar withheld: whether nothing was sent, so that its retry is still paid
    """

    def __init__(
        self,
        ran: bool,
        reason: str,
        retry: bool = True,
        next_hops: Hops | None = None,
        withheld: bool = False,
    ) -> None:
        super().__init__(reason)
        self.ran = ran
        self.reason = reason
        self.retry = retry
        self.next_hops = next_hops
        self.withheld = withheld
