"""The one way by which anything reaches an endpoint.

Between the choice of an endpoint and the send lie waits: for a permit, for a
connection, in a queue. So whatever keeps requests from an endpoint is checked
again when the bytes go out, and what an endpoint says of itself is read when
the head of its answer arrives, even if nobody waits for it any more.
"""

import enum
from typing import Iterable, Sequence

from dunlintide_adapters import endpointhttp
from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_daemon.gateway import endpointnotices
from dunlintide_daemon.gateway import exchange as exchange_module
from dunlintide_daemon.gateway import state as state_module
from dunlintide_daemon.gateway import suspicions
from dunlintide_platform import notices
from dunlintide_platform import orders
from dunlintide_platform import requests

__all__ = [
    'Hold',
    'bind_exchange',
    'connect',
    'find_hold',
    'send',
]

Endpoint = endpoints_module.Endpoint

# Largest answer to a report or order, in bytes.
MAX_REPORT_BYTES = 1 << 20


class Hold(enum.StrEnum):
    """Why an endpoint must not get a request now."""

    BACKOFF = 'back-off'
    SLOW_START = 'slow start'
    LEAVING = 'leaving'
    GONE = 'gone'


def find_hold(state: state_module.State, name: str) -> Hold | None:
    """Find what keeps requests from an endpoint now, None if nothing does."""
    endpoint = state.endpoints.get(name)
    if endpoint is None:
        return Hold.GONE
    if endpoint.draining:
        return Hold.LEAVING
    if state.departures.is_told_removed(name):
        return Hold.GONE
    now = state.now
    if state.backoffs.can_send(name, now):
        return None
    if state.backoffs.get_left(name, now):
        return Hold.BACKOFF
    return Hold.SLOW_START


def send(
    state: state_module.State,
    connection: endpointhttp.Connection,
    chain: Iterable[Endpoint],
    data: bytes,
    request: str = '',
    bodiless: bool = False,
    exchange: exchange_module.Exchange | None = None,
    rest: Sequence[bytes] = (),
) -> None:
    """Send a request on an open connection, unless something holds it.

    :param chain: the endpoint of the connection and those that it passes the
        request on to
    :param request: id of the request, empty for a report or order
    :param bodiless: whether the answer has no body, as for HEAD
    :param exchange: the caller's request, None for a report or order
    :param rest: further parts of a large body
    :raises CallError: of the kind WITHHELD, if nothing was sent
    """
    first, *_ = chain = list(chain)
    refusal = exchange and suspicions.find_refusal(state, exchange)
    if refusal:
        raise endpointhttp.CallError(
            endpointhttp.FailureKind.WITHHELD, False, refusal
        )
    for endpoint in chain:
        hold = find_hold(state, endpoint.name)
        if hold is not None:
            state.counters.withheld.labels(hold).inc()
            state.log.write(
                'send withheld',
                request=request,
                endpoint=endpoint.name,
                reason=hold,
                left=round(
                    state.backoffs.get_left(endpoint.name, state.now), 3
                ),
                listing_age=state.listing_age,
            )
            raise endpointhttp.CallError(
                endpointhttp.FailureKind.WITHHELD, False, hold
            )
    sent = state.now
    if request:
        state.backoffs.record_sent(first.name, sent)

    def is_own(head: endpointhttp.AnswerHead) -> bool:
        # Endpoints echo the id of a request; reports and orders have none,
        # and a connection for each.
        return not request or _check_identity(
            state, first.name, request, connection, head
        )

    def read_head(head: endpointhttp.AnswerHead) -> None:
        notice = notices.read_notice(head)
        if notice is None or not notice.accepted:
            endpointnotices.log_turned_away(
                state, first.name, request, head.status, notice
            )
        if notice is not None:
            endpointnotices.apply_notice(
                state, first.name, notice, sent, request
            )

    connection.send(data, bodiless, read_head, is_own, request, rest)


def _check_identity(
    state: state_module.State,
    endpoint: str,
    request: str,
    connection: endpointhttp.Connection,
    head: endpointhttp.AnswerHead,
) -> bool:
    """Return whether an answer echoes the id of a request; log if not.

    :param endpoint: name of the endpoint
    :param request: id of the request
    """
    answer = requests.read_answer_headers(head)
    if answer.name == request:
        return True
    kind = 'no id' if answer.name is None else 'other id'
    state.counters.foreign_answers.labels(kind).inc()
    state.log.write(
        'foreign answer',
        request=request,
        endpoint=endpoint,
        status=head.status,
        answers=answer.name,
        says_not_run=answer.not_run,
        calls=connection.calls,
    )
    return False


async def connect(
    state: state_module.State,
    endpoint: Endpoint,
    request: str,
    timeout: float,
    max_idle_seconds: float | None = None,
) -> endpointhttp.Connection:
    """Return a connection on which any answer to a request is its own.

    The id tells answers apart, so one without an id gets a new connection, and
    one that is sent again none that has carried it.

    :param request: id of the request, empty for one without
    :param timeout: maximum time to connect, in seconds
    :param max_idle_seconds: maximum idle time of a kept connection, None for
        its keep-alive time
    :raises CallError: when no connection can be opened
    """
    return await state.pool.acquire(
        endpoint.address,
        timeout,
        max_idle_seconds,
        lambda connection: not connection.has_carried(request),
    )


def bind_exchange(
    state: state_module.State, endpoint: Endpoint
) -> orders.Exchange:
    """Return a function that exchanges a report or order with an endpoint.

    It takes the bytes of the request and a timeout in seconds, and raises
    CallError.
    """

    async def exchange(
        data: bytes, timeout: float
    ) -> tuple[endpointhttp.AnswerHead, bytes]:
        connection = await state.pool.open(endpoint.address, timeout)
        try:
            deadline = state.now + timeout
            send(state, connection, (endpoint,), data)
            head = await connection.read_head(deadline)
            return head, await connection.read_all(deadline, MAX_REPORT_BYTES)
        finally:
            connection.close()

    return exchange
