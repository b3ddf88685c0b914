"""Keeps an entry's beliefs in step with the platform's store."""

import asyncio
import random
import time
from typing import Callable

from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import configurations
from dunlintide_platform import listings
from dunlintide_platform import store as store_module

__all__ = ['Follower']

# Longest wait of one watch, as a part of the time that a leaving endpoint may
# still be used: a connection that went silent is noticed within it.
WATCH_PART = 0.8
# Pause between two watches, as a part of the same time: changes that come
# together cost one call. Endpoints write all the time, so without a pause
# each of their writes costs one call of each entry.
BATCH_PART = 0.3
# Pauses between tries while the store fails, in seconds, with jitter so
# that entries do not return together.
RETRY_SECONDS = (0.1, 0.4)
# Time after the store's return in which a missing endpoint may just not
# have written yet, in seconds.
RETURN_SECONDS = 2.2
# Failures for this long count as an outage, in seconds.
OUTAGE_SECONDS = 0.8

# How long an endpoint whose entry can't be read still holds its layers, in
# seconds: one that lives writes again within 1.2 s, and the store drops a
# silent one after three times that.
UNREADABLE_SECONDS = 3.6
# How far ahead of this host's clock an endpoint may say that it began, in
# seconds: clocks differ by seconds.
CLOCK_SECONDS = 60.0

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
        self._refused: dict[str, str] = {}

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
                era=self._store.era,
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
            self.apply(item)
        self._drop_missing(present)
        self._state.listed = True
        self._state.listed_at = self._state.now
        self._state.notify()
        self._revision = news.revision
        self._state.log.write(
            'store read',
            revision=news.revision,
            era=self._store.era,
            keys=len(news.items),
        )
        return True

    def _drop_missing(self, present: set[str]) -> None:
        """Remove what a whole reading did not show."""
        gone = [key for key in self._revisions if key not in present]
        for key in gone:
            revision = self._revisions[key]
            self.apply(store_module.Item(key, None, revision + 1))

    async def _watch(self) -> bool:
        drain = self._state.settings.drain
        watched = await self._store.watch(
            listings.EVERYTHING, self._revision, drain * WATCH_PART
        )
        if watched.is_err():
            refusal = watched.err_value
            if refusal.fault is store_module.Fault.COMPACTED:
                self._state.log.write(
                    'history lost',
                    revision=self._revision,
                    era=self._store.era,
                )
                self._revision = None
                return True
            self._note_failure(refusal)
            return False
        self._note_answer()
        news = watched.ok_value
        for item in news.items:
            self.apply(item)
        self._revision = max(self._revision, news.revision)
        self._expire_missing()
        self._state.listed_at = self._state.now
        if news.items:
            await asyncio.sleep(drain * BATCH_PART)
        return True

    def apply(self, item: store_module.Item) -> None:
        """Take in what a key holds now, unless something newer was."""
        known = self._revisions.get(item.key, 0)
        if item.revision <= known:
            if item.revision < known:
                self._state.log.write(
                    'older item passed over',
                    key=item.key,
                    revision=item.revision,
                    known=known,
                    era=self._store.era,
                )
            return
        if item.value is None:
            self._revisions.pop(item.key, None)
        else:
            self._revisions[item.key] = item.revision
        if item.key == configurations.CONFIGURATION_KEY:
            self._apply_configuration(item)
        elif item.key.startswith(listings.ENDPOINT_PREFIX):
            self._apply_endpoint(item)
        else:
            self._handle_own(item)

    def _apply_configuration(self, item: store_module.Item) -> None:
        if item.value is None:
            return
        decoded = configurations.decode_deployment(item.value)
        if decoded.is_err():
            self._refuse('configuration', item, decoded.err_value)
            return
        self._refused.pop(item.key, None)
        self._state.adopt(decoded.ok_value, item.value)

    def _refuse(
        self, kind: str, item: store_module.Item, problem: str
    ) -> None:
        """Count what can't be read, and log it once for each problem."""
        self._state.counters.refused_items.labels(kind).inc()
        if self._refused.get(item.key) == problem:
            return
        self._refused[item.key] = problem
        self._state.log.write_always(
            f'{kind} refused', problem=problem, revision=item.revision
        )

    def _apply_endpoint(self, item: store_module.Item) -> None:
        identity = listings.get_identity(item.key)
        if item.value is None:
            self._refused.pop(item.key, None)
            self._remove(identity)
            return
        self._missing.discard(identity)
        newest = time.time() + CLOCK_SECONDS
        decoded = listings.decode_endpoint(item.key, item.value, newest)
        if decoded.is_err():
            self._refuse('endpoint', item, decoded.err_value)
            self._state.mark_unreadable(identity)
            return
        self._refused.pop(item.key, None)
        self._state.put_endpoint(decoded.ok_value)

    def _remove(self, identity: str) -> None:
        """Forget an endpoint, but not one that an outage made lapse."""
        if self._state.now - self._returned_at < RETURN_SECONDS:
            self._missing.add(identity)
            return
        self._state.drop_endpoint(identity)

    def _expire_missing(self) -> None:
        now = self._state.now
        for identity, since in list(self._state.unreadable.items()):
            if now - since >= UNREADABLE_SECONDS:
                self._state.drop_endpoint(identity)
        if now - self._returned_at < RETURN_SECONDS:
            return
        for identity in self._missing:
            self._state.drop_endpoint(identity)
        self._missing.clear()
