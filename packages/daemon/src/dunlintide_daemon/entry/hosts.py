"""Reading of the platform's host list."""

import threading
from typing import Callable

from absl import logging
import msgspec
import result
import urllib3

__all__ = [
    'HostList',
    'ListedHost',
    'follow',
]

MAX_LIST_BYTES = 4 << 20


class ListedHost(msgspec.Struct, frozen=True):
    """One host of the list.

    :ivar address: ``host:port`` of its link server
    :ivar state: ``live`` or ``leaving``
    """

    name: str
    role: str
    address: str
    state: str = 'live'
    failure_domain: str = ''
    region: str = ''


class _Document(msgspec.Struct):
    hosts: list[ListedHost]


class HostList:
    """Client of the host list."""

    def __init__(self, url: str, timeout: float) -> None:
        """Remember the address.

        :param timeout: bound on connecting and on each read, in seconds
        """
        self._url = url
        self._pool = urllib3.PoolManager(
            1, retries=False, timeout=urllib3.Timeout(timeout, read=timeout)
        )

    def read(self) -> result.Result[list[ListedHost], str]:
        """Read the list.

        :returns: the hosts, or why they could not be read
        """
        try:
            answer = self._pool.request(
                'GET', self._url, preload_content=False
            )
            with answer:
                body = answer.read(MAX_LIST_BYTES + 1)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return result.Err(type(error).__name__)
        if answer.status != 200 or len(body) > MAX_LIST_BYTES:
            return result.Err(f'status {answer.status}, {len(body)} bytes')
        try:
            return result.Ok(msgspec.json.decode(body, type=_Document).hosts)
        except msgspec.DecodeError as error:
            return result.Err(str(error))

    def close(self) -> None:
        """Close its connections."""
        self._pool.clear()


def follow(
    read: Callable[[], result.Result[list[ListedHost], object]],
    take: Callable[[list[ListedHost]], None],
    pause: float,
    done: threading.Event,
) -> None:
    """Hand on what the list says until the event is set.

    :param pause: seconds from one reading to the next
    """
    while not done.is_set():
        listed = read()
        if isinstance(listed, result.Ok):
            take(listed.ok_value)
        else:
            logging.warning('host list not read: %s', listed.err_value)
        done.wait(pause)
