"""An in-memory network between an entry and the stand-in store."""

import asyncio
import json

from dunlintide_adapters import endpointhttp
from dunlintide_standins.fleet import wire


class Connection:
    """An in-memory connection to the stand-in store."""

    def __init__(self, network):
        self._network = network
        self._answer = None
        self.in_call = False
        self.received = 0

    def send(self, data, bodiless=False):
        head, _, body = data.partition(b'\r\n\r\n')
        method, target, _ = head.split(b'\r\n')[0].decode().split(' ')
        self.in_call = True
        self._request = wire.Request(method, target, {}, body)

    async def read_head(self, deadline):
        work = self._network.run(self._request)
        try:
            async with asyncio.timeout_at(deadline):
                status, body, era = await work
        except TimeoutError as error:
            raise endpointhttp.CallError(
                endpointhttp.FailureKind.TIMEOUT, True, 'no answer'
            ) from error
        self._answer = json.dumps(body).encode()
        headers = [('store-era', str(era))]
        return endpointhttp.AnswerHead(status, '', headers)

    async def read_while_progressing(self, idle_seconds, limit=None):
        size = len(self._answer)
        if limit is not None and size > limit:
            raise endpointhttp.CallError(
                endpointhttp.FailureKind.TOO_LARGE, True, size=size
            )
        await self._network.transfer(size)
        self.received = size
        self.in_call = False
        return self._answer

    def close(self):
        pass


class Network:
    """The network between one entry and the store, in place of a pool.

    :ivar cut: whether all traffic is dropped
    :ivar late: number of writes still to be delayed, their answers lost
    :ivar lose: number of watch answers with changes still to be lost
    :ivar connect_seconds: time that a new connection takes
    :ivar answer_seconds: time that an answer takes
    :ivar bandwidth: bytes per second that all answers share, None for any
    :ivar is_lost: returns whether the next answer is lost
    """

    def __init__(self, store):
        self._store = store
        self.cut = False
        self.late = 0
        self.lose = 0
        self.connect_seconds = 0.0
        self.answer_seconds = 0.0
        self.bandwidth = None
        self._link_idle_at = 0.0
        self.is_lost = lambda: False
        self.calls = 0

    async def acquire(self, address, timeout, max_idle_seconds=None):
        if self.cut or self._store.faults.away:
            raise endpointhttp.CallError(
                endpointhttp.FailureKind.CONNECT, False, ''
            )
        await asyncio.sleep(self.connect_seconds)
        return Connection(self)

    def release(self, address, connection):
        pass

    def drop(self, address):
        pass

    def close(self):
        pass

    async def transfer(self, size):
        """Pass on the body of an answer."""
        if self.bandwidth is None:
            return
        now = asyncio.get_running_loop().time()
        self._link_idle_at = max(now, self._link_idle_at)
        self._link_idle_at += size / self.bandwidth
        await asyncio.sleep(self._link_idle_at - now)

    async def run(self, request):
        self.calls += 1
        if request.method != 'GET' and self.late:
            self.late -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(
                3.0, lambda: loop.create_task(self._store._run(request))
            )
            await asyncio.sleep(3600)
        era = self._store.era
        status, body = await self._store._run(request)
        if self.lose and body.get('events'):
            self.lose -= 1
            await asyncio.sleep(3600)
        if self.is_lost():
            await asyncio.sleep(3600)
        await asyncio.sleep(self.answer_seconds)
        if self.cut or self._store.faults.away or era != self._store.era:
            raise endpointhttp.CallError(
                endpointhttp.FailureKind.RESET, True, ''
            )
        return status, body, era
