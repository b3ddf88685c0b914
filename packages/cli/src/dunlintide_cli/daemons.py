"""Client of the HTTP port that daemons offer to operators."""

from concurrent import futures
import json
from typing import Any, Mapping, Sequence

import attrs
import cattrs
import result
import urllib3

from dunlintide_adapters import bodies
from dunlintide_adapters import boundedhttp
from dunlintide_core import fleet

__all__ = [
    'State',
    'CallError',
    'drain',
    'read_state',
    'read_states',
]

TIMEOUT_SECONDS = 5.0
# Largest answer, in bytes: dumps of large deployments.
MAX_ANSWER_BYTES = 256 << 20

_MAX_CALLS = 16
_OK = 200
_ACCEPTED = 202
_NOT_READY = 503


@attrs.frozen
class CallError:
    """Failure of a call to a daemon, or an unusable response."""

    url: str
    message: str

    def __str__(self) -> str:
        return f'{self.url}: {self.message}'


@attrs.frozen
class State:
    """State that a daemon reports.

    :ivar ready: whether the daemon accepts requests
    :ivar reasons: why the daemon is not ready
    :ivar dump: decoded body of ``/debug/state``
    """

    url: str
    ready: bool
    reasons: tuple[str, ...]
    dump: Mapping[str, Any]

    @property
    def fleet_state(self) -> Mapping[str, Any]:
        """The daemon's replica of the fleet state, empty if it has none."""
        section = self.dump.get('state')
        return section if isinstance(section, dict) else {}

    @property
    def revision(self) -> int | None:
        """Revision in force, None if the daemon reports none.

        An agent applies no configuration but replicates it for its peers, so
        its revision is in the fleet state.
        """
        section = self.dump.get('configuration')
        if not isinstance(section, dict):
            return self.fleet_state.get('revision')
        revision = section.get('revision')
        return revision if isinstance(revision, int) else 0

    def list_endpoints(
        self,
    ) -> result.Result[list[fleet.Endpoint], CallError]:
        """List the endpoints that an entry knows.

        :returns: the endpoints, or an error if the dump lists none, as that
            of a daemon other than an entry
        """
        try:
            agents = self.dump['fleet']['agents']
            plain = [agent['endpoint'] for agent in agents]
            return result.Ok(cattrs.structure(plain, list[fleet.Endpoint]))
        except (KeyError, TypeError, cattrs.BaseValidationError):
            text = 'the dump lists no endpoints; give the URL of an entry'
            return result.Err(CallError(self.url, text))


def _call(
    method: str, url: str, path: str, expected: tuple[int, ...]
) -> result.Result[dict, CallError]:
    if not url.startswith(('http://', 'https://')):
        return result.Err(
            CallError(url, 'expected a URL with http:// or https://')
        )
    try:
        base = urllib3.util.parse_url(url).path or ''
        with boundedhttp.build_pool(url, timeout=TIMEOUT_SECONDS) as pool:
            answer = pool.request(
                method,
                base.rstrip('/') + path,
                redirect=False,
                preload_content=False,
            )
            content = bodies.read(answer, MAX_ANSWER_BYTES, TIMEOUT_SECONDS)
        body = json.loads(content)
    except (
        urllib3.exceptions.HTTPError,
        RecursionError,
        ValueError,
    ) as error:
        return result.Err(CallError(url, str(error)))
    if answer.status not in expected or not isinstance(body, dict):
        return result.Err(CallError(url, f'status {answer.status}'))
    return result.Ok(body)


def read_state(url: str) -> result.Result[State, CallError]:
    """Read the state of a daemon.

    :param url: base URL of the daemon's operators' port
    """
    readiness = _call('GET', url, '/readyz', (_OK, _NOT_READY))
    if readiness.is_err():
        return readiness
    dump = _call('GET', url, '/debug/state', (_OK,))
    if dump.is_err():
        return dump
    found = readiness.ok_value
    reasons = tuple(found.get('reasons', ()))
    ready = bool(found.get('ready'))
    return result.Ok(State(url, ready, reasons, dump.ok_value))


def read_states(
    urls: Sequence[str],
) -> list[result.Result[State, CallError]]:
    """Read the states of several daemons in parallel.

    :param urls: base URLs of the daemons' operators' ports
    :returns: a result for each URL, in the same order
    """
    with futures.ThreadPoolExecutor(_MAX_CALLS) as pool:
        return list(pool.map(read_state, urls))


def drain(url: str) -> result.Result[None, CallError]:
    """Request that a daemon finish its current work and stop.

    :param url: base URL of the daemon's operators' port
    """
    answer = _call('POST', url, '/drain', (_OK, _ACCEPTED))
    return answer.map(lambda _: None)
