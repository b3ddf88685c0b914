"""Client of the platform's host list.

The list lags behind the actual hosts and may be unavailable.
"""

import enum

import attrs
import msgspec
import result
import urllib3

from dunlintide_adapters import bodies
from dunlintide_adapters import boundedhttp

__all__ = [
    'Host',
    'HostList',
    'HostListFailure',
    'HostState',
]

CONNECT_TIMEOUT_SECONDS = 0.5
READ_TIMEOUT_SECONDS = 2.0
# Largest list, in bytes.
MAX_LIST_BYTES = 16 << 20


class HostState(enum.StrEnum):
    """State of a host as listed by the platform."""

    LIVE = 'live'
    LEAVING = 'leaving'


@attrs.frozen
class Host:
    """One host of the list.

    :ivar role: role of the daemon on the host
    :ivar address: ``host:port`` of the daemon's link server
    """

    name: str
    role: str
    address: str
    failure_domain: str = ''
    region: str = ''
    state: HostState = HostState.LIVE


@attrs.frozen
class HostListFailure:
    """Reason why the list could not be read."""

    message: str


@attrs.frozen
class _Answer:
    hosts: tuple[Host, ...]


class HostList:
    """Reads the list and keeps the last result.

    :ivar hosts: hosts of the last read, empty before the first
    """

    def __init__(self, path: str, pool: urllib3.HTTPConnectionPool) -> None:
        """Create a reader; use ``from_url`` instead."""
        self.hosts: tuple[Host, ...] = ()
        self._path = path
        self._pool = pool
        self._decoder = msgspec.json.Decoder(_Answer)

    @classmethod
    def from_url(cls, url: str) -> 'HostList':
        """Create a reader; nothing is sent yet.

        :param url: URL of the list
        """
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_SECONDS, read=READ_TIMEOUT_SECONDS
        )
        pool = boundedhttp.build_pool(
            url, maxsize=1, block=True, timeout=timeout
        )
        return cls(urllib3.util.parse_url(url).request_uri, pool)

    def poll(self) -> result.Result[tuple[Host, ...], HostListFailure]:
        """Read the list once; after a failure ``hosts`` is unchanged."""
        try:
            answer = self._pool.request(
                'GET', self._path, preload_content=False
            )
            content = bodies.read(answer, MAX_LIST_BYTES, READ_TIMEOUT_SECONDS)
        except urllib3.exceptions.HTTPError as error:
            return result.Err(HostListFailure(type(error).__name__))
        if answer.status != 200:
            return result.Err(HostListFailure(f'HTTP status {answer.status}'))
        try:
            self.hosts = self._decoder.decode(content).hosts
        except (msgspec.MsgspecError, RecursionError) as error:
            return result.Err(HostListFailure(str(error)))
        return result.Ok(self.hosts)

    def close(self) -> None:
        """Close the connection."""
        self._pool.close()
