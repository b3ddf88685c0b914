"""Loading of layer weights from the weight store."""

import threading

import urllib3

from dunlintide_standins.engine import messages
from dunlintide_standins.engine import sessions as session_store

__all__ = ['Loader']

_READ_BYTES = 65_536
_HTTP_OK = 200
_READ_TIMEOUT_SECONDS = 30.0


def _list_layers(
    current: session_store.Holding, order: messages.Order
) -> list[int]:
    """List the ordered layers that are not loaded yet."""
    layers = set(range(order.layer_start, order.layer_end))
    if (current.model, current.version) == (order.model, order.version):
        layers -= set(range(current.layer_start, current.layer_end))
    return sorted(layers)


class Loader:
    """Reads the weights of layers, one order at a time.

    :ivar lock: held by the caller while it executes an order
    """

    def __init__(self, weights_url: str) -> None:
        """Set the URL of the weight store; if empty, loading is immediate."""
        self.lock = threading.Lock()
        self._url = weights_url
        self._http = urllib3.PoolManager(
            retries=False, timeout=urllib3.Timeout(read=_READ_TIMEOUT_SECONDS)
        )

    def load(
        self, current: session_store.Holding, order: messages.Order
    ) -> bool:
        """Read the missing layers; return False if one could not be read."""
        if not self._url:
            return True
        try:
            return all(
                self._read(f'{order.model}/{order.version}/{layer}')
                for layer in _list_layers(current, order)
            )
        except urllib3.exceptions.HTTPError:
            return False

    def _read(self, name: str) -> bool:
        url = f'{self._url}/weights/{name}'
        answer = self._http.request('GET', url, preload_content=False)
        with answer:
            for _ in answer.stream(_READ_BYTES):
                pass
        return answer.status == _HTTP_OK
