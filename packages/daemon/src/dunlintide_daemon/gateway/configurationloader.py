"""Decodes configurations beside serving and puts them in force."""

import asyncio

import result

from dunlintide_core import steps as steps_module
from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import configurations
from dunlintide_platform import storevalues

__all__ = ['ConfigurationLoader']

# Memory that decoding a configuration takes, for each of its bytes.
PARSED_FACTOR = 4


class ConfigurationLoader:
    """Decoder of the versions that the store or other entries send."""

    def __init__(self, state: state_module.State) -> None:
        self._state = state
        self._decoder = configurations.DeploymentDecoder()
        # Versions are decoded one after the other, as each reuses what it has
        # in common with the one before.
        self._lock = asyncio.Lock()

    async def load(
        self,
        value: bytes,
        source: str,
        revision: storevalues.Revision | None = None,
        read_seconds: float | None = None,
    ) -> result.Result[bool, str]:
        """Put a configuration in force if it is newer than the current one.

        :param value: its encoded form in the store
        :param source: ``store``, or the entry that sent it
        :param revision: its revision in the store, None if unknown
        :param read_seconds: time that reading it took
        :returns: whether it was put in force, or why it is malformed
        """
        async with self._lock:
            began = self._state.now
            with self._state.occupy(PARSED_FACTOR * len(value)):
                decoded = await _run_beside(self._decoder.decode(value))
            decode_seconds = self._state.now - began
        origin = state_module.ConfigurationOrigin(
            source, revision, read_seconds, decode_seconds
        )
        return decoded.map(
            lambda deployment: self._state.apply_configuration(
                deployment, value, origin
            )
        )


async def _run_beside(steps: steps_module.Steps) -> result.Result:
    """Run a computation, letting other tasks run after each step."""
    while True:
        try:
            next(steps)
        except StopIteration as ended:
            return ended.value
        await asyncio.sleep(0)
