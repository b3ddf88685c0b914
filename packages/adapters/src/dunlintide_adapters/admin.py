"""HTTP server for operators: metrics, health, state dump and drain."""

from concurrent import futures
import http
import json
from typing import Any, Callable

from absl import logging
import attrs
import prometheus_client
from prometheus_client import exposition
from prometheus_client import registry as registries

from dunlintide_adapters import httppages
from dunlintide_adapters import httpserver
from dunlintide_adapters import tlssockets

__all__ = [
    'AdminServer',
    'Readiness',
]

_THREADS = 2
_MAX_BODY_BYTES = 64 << 10
_MAX_CONNECTIONS = 64
_STOP_TIMEOUT_SECONDS = 2.0
_JSON_TYPE = 'application/json'


@attrs.frozen
class Readiness:
    """Result of a readiness check.

    :ivar reasons: why the process is not ready; empty when it is
    """

    reasons: tuple[str, ...] = ()

    @property
    def ready(self) -> bool:
        """Whether the process can be sent work."""
        return not self.reasons


@attrs.frozen
class _Page:
    status: http.HTTPStatus
    body: bytes
    content_type: str = _JSON_TYPE


def _build_json(
    data: Any, status: http.HTTPStatus = http.HTTPStatus.OK
) -> _Page:
    body = json.dumps(data, indent=2, sort_keys=True, default=str)
    return _Page(status, body.encode() + b'\n')


def _build_error(status: http.HTTPStatus) -> _Page:
    page = httppages.render_error(status, status.description)
    return _Page(status, page.body, dict(page.headers)['Content-Type'])


def _show_readiness(readiness: Callable[[], Readiness]) -> _Page:
    state = readiness()
    body = {'ready': state.ready, 'reasons': list(state.reasons)}
    status = http.HTTPStatus.OK
    if not state.ready:
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
    return _build_json(body, status)


class AdminServer:
    """Serves operators on a port separate from callers' requests."""

    def __init__(
        self,
        routes: dict[tuple[str, str], Callable[[], _Page]],
        listen: str,
        drain_executor: futures.Executor,
        tls_wrapper: tlssockets.Wrapper | None = None,
    ) -> None:
        """Bind the address; use ``from_config`` instead."""
        self._routes = routes
        self._drain_executor = drain_executor
        self._server = httpserver.HttpServer.from_config(
            self._answer,
            listen,
            _THREADS,
            _MAX_BODY_BYTES,
            max_connections=_MAX_CONNECTIONS,
            tls_wrapper=tls_wrapper,
        )

    @classmethod
    def from_config(
        cls,
        listen: str,
        dump: Callable[[], dict[str, Any]],
        readiness: Callable[[], Readiness],
        drain: Callable[[], None],
        registry: registries.CollectorRegistry,
        tls_wrapper: tlssockets.Wrapper | None = None,
    ) -> 'AdminServer':
        """Bind the address; ``start`` begins to serve.

        :param listen: ``host:port``; port 0 takes a free one
        :param dump: returns the state of the process as JSON-serializable
            data without keys or request content
        :param readiness: returns whether the process can be sent work
        :param drain: begins a graceful stop; runs on a separate thread
        :param registry: metrics to serve
        :param tls_wrapper: adds TLS to connections; None for plain TCP
        :raises OSError: when the port is in use
        """
        drain_executor = futures.ThreadPoolExecutor(
            1, thread_name_prefix='drain'
        )

        def show_metrics() -> _Page:
            body = prometheus_client.generate_latest(registry)
            kind = exposition.CONTENT_TYPE_PLAIN_0_0_4
            return _Page(http.HTTPStatus.OK, body, kind)

        def run_drain() -> None:
            try:
                drain()
            except Exception:
                logging.exception('drain failed')
                raise

        def begin_drain() -> _Page:
            drain_executor.submit(run_drain)
            return _build_json({'draining': True}, http.HTTPStatus.ACCEPTED)

        routes = {
            ('GET', '/metrics'): show_metrics,
            ('GET', '/healthz'): lambda: _build_json({'healthy': True}),
            ('GET', '/readyz'): lambda: _show_readiness(readiness),
            ('GET', '/debug/state'): lambda: _build_json(dump()),
            ('POST', '/drain'): begin_drain,
        }
        return cls(routes, listen, drain_executor, tls_wrapper)

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return self._server.port

    def start(self) -> None:
        """Serve in the background."""
        self._server.start()

    def stop(self) -> None:
        """Close the port, giving requests in flight 2 s to finish."""
        self._server.stop(_STOP_TIMEOUT_SECONDS)
        self._drain_executor.shutdown(wait=False)

    def _route(self, method: str, path: str) -> _Page:
        route = self._routes.get((method, path))
        if route is not None:
            return route()
        if any(path == known for _, known in self._routes):
            return _build_error(http.HTTPStatus.METHOD_NOT_ALLOWED)
        return _build_error(http.HTTPStatus.NOT_FOUND)

    def _answer(self, environ: dict, start_response: Callable) -> list[bytes]:
        page = self._route(environ['REQUEST_METHOD'], environ['PATH_INFO'])
        headers = [
            ('Content-Type', page.content_type),
            ('Content-Length', str(len(page.body))),
        ]
        start_response(f'{page.status} {page.status.phrase}', headers)
        return [page.body]
