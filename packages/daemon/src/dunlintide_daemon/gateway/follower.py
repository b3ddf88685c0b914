"""Keeps an entry's beliefs in step with the platform's store."""

import asyncio
import random
from typing import Callable

from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import listings
from dunlintide_platform import store as store_module

__all__ = ['Follower']

# Longest wait of one watch, as a part of the time that a leaving endpoint may
# still be used: a connection that went silent is noticed within it.
WATCH_PART = 0.8
# Pause between two watches, as a part of the same time: changes that come
# together cost one call. Endpoints write every 1.2 s, so without a pause each
# of their writes costs one call of each entry.
BATCH_PART = 0.2
# Pauses between tries while the store fails, in seconds, with jitter so
# that entries do not return together.
RETRY_SECONDS = (0.1, 0.4)
# Time after the store's return in which a missing endpoint may just not
# have written yet, in seconds.
RETURN_SECONDS = 2.2
# Failures for this long count as an outage, in seconds.
OUTAGE_SECONDS = 0.8

OwnHandler = Callable[[store_module.Item], None]


class Follower:
    """Reads the store and applies what changes."""

    def __init__(
        self,
        state: state_module.State,
        store: store_module.Store,
        handle_own: OwnHandler,
    ) -> None:
        """Prepare to follow.

        :param handle_own: told of the keys that entries write
        """
        self._state = state
        self._store = store
        self._handle_own = handle_own
        self._revision: int | None = None
        self._missing: set[str] = set()
        self._revisions: dict[str, int] = {}
        self._lost_at: float | None = None
        self._returned_at = float('-inf')

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self._revision is None:
                done = await self._read_all()
            else:
                done = await self._watch()
            if not done:
                await asyncio.sleep(random.uniform(*RETRY_SECONDS))

    def _note_answer(self) -> None:
        now = self._state.now
        if self._lost_at is None:
            return
        lost, self._lost_at = now - self._lost_at, None
        if lost >= OUTAGE_SECONDS:
            self._returned_at = now
            self._state.log.write_always('store regained', seconds=lost)

    def _note_failure(self, refusal: store_module.Refusal) -> None:
        self._state.counters.store_faults.labels(refusal.fault).inc()
        if self._lost_at is None:
            self._lost_at = self._state.now
            self._state.log.write_always(
                'store lost',
                fault=refusal.fault,
                detail=refusal.detail,
                revision=self._revision,
            )

    async def _read_all(self) -> bool:
        listed = await self._store.list_items(listings.EVERYTHING)
        if listed.is_err():
            self._note_failure(listed.err_value)
            return False
        self._note_answer()
        news = listed.ok_value
        present = set()
        for item in news.items:
            present.add(item.key)
            self._apply(item)
        self._drop_missing(present)
        self._state.listed = True
        self._state.listed_at = self._state.now
        self._revision = news.revision
        self._state.log.write(
            'store read', revision=news.revision, keys=len(news.items)
        )
        return True

    def _drop_missing(self, present: set[str]) -> None:
        """Remove what a whole reading did not show."""
        gone = [key for key in self._revisions if key not in present]
        for key in gone:
            revision = self._revisions[key]
            self._apply(store_module.Item(key, None, revision + 1))

    async def _watch(self) -> bool:
        drain = self._state.settings.drain
        watched = await self._store.watch(
            listings.EVERYTHING, self._revision, drain * WATCH_PART
        )
        if watched.is_err():
            refusal = watched.err_value
            if refusal.fault is store_module.Fault.COMPACTED:
                self._state.log.write('history lost', revision=self._revision)
                self._revision = None
                return True
            self._note_failure(refusal)
            return False
        self._note_answer()
        news = watched.ok_value
        for item in news.items:
            self._apply(item)
        self._revision = max(self._revision, news.revision)
        self._expire_missing()
        self._state.listed_at = self._state.now
        if news.items:
            await asyncio.sleep(drain * BATCH_PART)
        return True

    def _apply(self, item: store_module.Item) -> None:
        if item.revision <= self._revisions.get(item.key, 0):
            return
        if item.value is None:
            self._revisions.pop(item.key, None)
        else:
            self._revisions[item.key] = item.revision
        if item.key == listings.CONFIGURATION_KEY:
            self._apply_configuration(item)
        elif item.key.startswith(listings.ENDPOINT_PREFIX):
            self._apply_endpoint(item)
        else:
            self._handle_own(item)

    def _apply_configuration(self, item: store_module.Item) -> None:
        if item.value is None:
            return
        decoded = listings.decode_deployment(item.value)
        if decoded.is_err():
            self._state.log.write_always(
                'configuration refused',
                problem=decoded.err_value,
                revision=item.revision,
            )
            return
        self._state.adopt(decoded.ok_value, item.value)

    def _apply_endpoint(self, item: store_module.Item) -> None:
        name = listings.get_endpoint_name(item.key)
        if item.value is None:
            self._remove(name)
            return
        self._missing.discard(name)
        decoded = listings.decode_endpoint(item.key, item.value)
        if decoded.is_err():
            self._state.log.write_always(
                'endpoint refused', problem=decoded.err_value
            )
            return
        self._state.put_endpoint(decoded.ok_value)

    def _remove(self, name: str) -> None:
        """Forget an endpoint, but not one that an outage made lapse."""
        if self._state.now - self._returned_at < RETURN_SECONDS:
            self._missing.add(name)
            return
        self._state.drop_endpoint(name)

    def _expire_missing(self) -> None:
        if self._state.now - self._returned_at < RETURN_SECONDS:
            return
        for name in self._missing:
            self._state.drop_endpoint(name)
        self._missing.clear()
