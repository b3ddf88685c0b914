"""Admin port of an entry: readiness, metrics and a state dump."""

import asyncio
import json
from urllib import parse
import zlib

import attrs
import prometheus_client

from dunlintide_adapters import callermessages
from dunlintide_core import documents
from dunlintide_daemon.gateway import demanddump
from dunlintide_daemon.gateway import reservations
from dunlintide_daemon.gateway import state as state_module
from dunlintide_daemon.gateway import suspicions

__all__ = [
    'ALLOW_PATH',
    'CONFIGURATION_PATH',
    'ENCODING',
    'REVISION_HEADER',
    'ZLIB_WBITS',
    'Admin',
]

# Ends the refusal of the parts that its query names.
ALLOW_PATH = '/debug/allow-parts'
CONFIGURATION_PATH = '/internal/configuration'
# Header with the era and the revision of the configuration, joined by a dot.
REVISION_HEADER = 'configuration-revision'
# Compression of the configuration: a fast level, as routes are much alike.
ENCODING = 'gzip'
ZLIB_WBITS = 31
ZLIB_LEVEL = 1
# Bytes that are compressed in one go: about 1 ms on a small host.
STEP_BYTES = 32 << 10
# Other entries that read the configuration at the same time. More of them
# would share the link, so that none is done early and can serve others.
MAX_TRANSFERS = 2
_JSON = ('Content-Type', 'application/json')


class Admin:
    """Serves operators, the load balancer and other entries."""

    def __init__(self, state: state_module.State) -> None:
        self._state = state
        self._transfers = 0
        # Compressed form of the configuration, and the value it was made from.
        self._compressed: tuple[bytes, bytes] = (b'', b'')

    async def handle(
        self, request: callermessages.Request, reply: callermessages.Reply
    ) -> None:
        """Answer one request on the admin port."""
        path = request.target.partition('?')[0]
        if path == '/readyz':
            await self.handle_ready(request, reply)
        elif path == '/healthz':
            reply.send(callermessages.Head(200))
        elif path == '/metrics':
            await self.handle_metrics(request, reply)
        elif path == '/debug/state':
            self._send_json(reply, self._dump())
        elif path == ALLOW_PATH and request.method == 'POST':
            self._allow_parts(request, reply)
        elif path == CONFIGURATION_PATH:
            await self._send_configuration(request, reply)
        else:
            reply.send(callermessages.Head(404))

    def _allow_parts(
        self, request: callermessages.Request, reply: callermessages.Reply
    ) -> None:
        """Take parts of prompts for sound, at all entries."""
        query = parse.parse_qs(request.target.partition('?')[2])
        parts = query.get('part', [])
        if not parts:
            reply.send(callermessages.Head(400), b'no part in the query\n')
            return
        ended = suspicions.allow(self._state, parts, 'operator')
        reply.send(callermessages.Head(200 if ended else 404))

    async def _send_configuration(
        self, request: callermessages.Request, reply: callermessages.Reply
    ) -> None:
        """Send the configuration in force to another entry."""
        value = self._state.configuration_value
        headers = [_JSON]
        revision = self._state.configuration_origin.revision
        if revision is not None:
            text = f'{revision.era}.{revision.number}'
            headers.append((REVISION_HEADER, text))
        if ENCODING not in (request.get('accept-encoding') or ''):
            reply.send(callermessages.Head(200, headers), value)
            return
        if self._transfers >= MAX_TRANSFERS:
            reply.send(callermessages.Head(503))
            return
        self._transfers += 1
        try:
            body = await self._compress(value)
            headers.append(('Content-Encoding', ENCODING))
            reply.send(callermessages.Head(200, headers), body)
            await reply.drain()
        finally:
            self._transfers -= 1

    async def _compress(self, value: bytes) -> bytes:
        """Compress a value beside serving, and keep the result."""
        if self._compressed[0] is not value:
            packer = zlib.compressobj(ZLIB_LEVEL, wbits=ZLIB_WBITS)
            parts = []
            for start in range(0, len(value), STEP_BYTES):
                parts.append(
                    packer.compress(value[start : start + STEP_BYTES])
                )
                await asyncio.sleep(0)
            parts.append(packer.flush())
            self._compressed = value, b''.join(parts)
        return self._compressed[1]

    async def handle_ready(
        self, request: callermessages.Request, reply: callermessages.Reply
    ) -> None:
        """Report to the load balancer whether to send new connections."""
        state = self._state
        ready = state.is_ready
        body = {'ready': ready, 'reasons': state.list_unready()}
        head = callermessages.Head(200 if ready else 503, [_JSON])
        reply.send(head, json.dumps(body).encode())

    async def handle_metrics(
        self, request: callermessages.Request, reply: callermessages.Reply
    ) -> None:
        """Send the metrics in the Prometheus text format."""
        counters = self._state.counters
        state = self._state
        counters.version.set(state.version)
        counters.newest_version.set(
            max(state.version, state.newest_told_version)
        )
        counters.limited_endpoints.set(len(state.rate_limits.list_limited()))
        counters.leaving_endpoints.set(
            sum(each.draining for each in state.endpoints.values())
        )
        counters.listing_age_seconds.set(state.listing_age or 0.0)
        counters.backing_off_endpoints.set(
            len(state.backoffs.list_left(state.now))
        )
        counters.reserved_fraction.set(
            max(reservations.list_fractions(state).values(), default=0.0)
        )
        text = prometheus_client.generate_latest(counters.registry)
        headers = [('Content-Type', prometheus_client.CONTENT_TYPE_LATEST)]
        reply.send(callermessages.Head(200, headers), text)

    @staticmethod
    def _send_json(reply: callermessages.Reply, value: object) -> None:
        data = json.dumps(value, default=str).encode()
        reply.send(callermessages.Head(200, [_JSON]), data)

    def _dump(self) -> dict[str, object]:
        """Return the entry's state, without API keys and request content."""
        state = self._state
        now = state.now
        deployment = state.deployment
        usages = state.occupancy.list_own()
        document = None
        if deployment is not None:
            text = documents.encode_configuration(deployment.source)
            document = json.loads(text)
        return {
            'name': state.settings.name,
            'role': state.settings.role,
            'failure_domain': state.settings.failure_domain,
            'ready': state.is_ready,
            'stopping': state.stopping,
            'entries': sorted(state.known_entries),
            'listing_age': state.listing_age,
            'configuration': {'revision': state.version},
            'document': document,
            'endpoints': [
                attrs.asdict(each) for each in state.endpoints.values()
            ],
            'in_flight': {
                name: attrs.asdict(usage) for name, usage in usages.items()
            },
            'waiting': {
                name: len(queue) for name, queue in state.backlogs.items()
            },
            'demand': demanddump.describe(state),
            'left_out': state.health.list_ejected(now),
            'told_to_leave_out': state.health.list_ejected_by_peers(now),
            'slow': dict(state.paces.list_slow(now)),
            'backing_off': state.backoffs.list_left(now),
            'refused_parts': suspicions.describe(state),
            'leaving': state.departures.list_ages(now),
            'rate_limits': state.rate_limits.list_limited(),
            'coordinated_limits': state.permits.list_coordinated(),
            'resends_left': {
                name: budget.count_left(now)
                for name, budget in state.retry_budgets.items()
            },
            'log_lines_dropped': state.log.dropped,
        }
