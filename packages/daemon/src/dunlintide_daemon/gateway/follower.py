"""Keeps an entry's beliefs in step with the platform's store."""

import asyncio
import random
import time
from typing import Callable

from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import configurations
from dunlintide_platform import keys
from dunlintide_platform import listings
from dunlintide_platform import store as store_module
from dunlintide_platform import storevalues

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
# How long an endpoint that is gone is remembered, in seconds: a copy of the
# store that is some seconds old may still list it.
GONE_SECONDS = 60.0
# Time after the return from a copy by which the store no longer lists what
# fell silent, in seconds: three pauses between the reports of an endpoint.
CONFIRMED_SECONDS = 4.5

# How long an endpoint whose entry can't be read still holds its layers, in
# seconds: one that lives writes again within 1.2 s, and the store drops a
# silent one after three times that.
UNREADABLE_SECONDS = 3.6
# How far ahead of this host's clock an endpoint may say that it began, in
# seconds: clocks differ by seconds.
CLOCK_SECONDS = 60.0

OwnHandler = Callable[[storevalues.Item], None]
Revision = storevalues.Revision

# Stands for all revisions of the eras before the present one.
_BEFORE = Revision(-1, 0)


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
        self._revision: Revision | None = None
        # Revision of the first whole reading in an era; what changed up to it
        # may come from a copy.
        self._base = _BEFORE
        self._missing: set[str] = set()
        self._revisions: dict[str, Revision] = {}
        self._gone: dict[str, tuple[Revision, float]] = {}
        self._unconfirmed: set[str] = set()
        self._step: asyncio.Task | None = None
        self._lost_at: float | None = None
        self._returned_at = float('-inf')
        self._refused: dict[str, str] = {}

    async def run(self) -> None:
        """Follow until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            work = self._read_all if self._revision is None else self._watch
            self._step = loop.create_task(work())
            try:
                await asyncio.wait({self._step})
            finally:
                self._step.cancel()
            if not self._step.cancelled() and not self._step.result():
                await asyncio.sleep(random.uniform(*RETRY_SECONDS))

    def begin_era(self) -> None:
        """Read everything anew, and keep what is missing for a while.

        The platform writes again what the store lost.
        """
        self._revision = None
        self._base = _BEFORE
        self._revisions = dict.fromkeys(self._revisions, _BEFORE)
        self._gone = {
            key: (_BEFORE, at) for key, (_, at) in self._gone.items()
        }
        self._returned_at = self._state.now
        self._state.log.write_always(
            'store returned from a copy', era=self._store.era
        )
        if self._step is not None and self._step is not asyncio.current_task():
            self._step.cancel()

    def _note_answer(self) -> None:
        now = self._state.now
        if self._lost_at is None:
            return
        lost, self._lost_at = now - self._lost_at, None
        if lost >= OUTAGE_SECONDS:
            self._returned_at = now
            self._state.log.write_always('store regained', seconds=lost)

    def _note_failure(self, refusal: storevalues.StoreFailure) -> None:
        self._state.counters.store_faults.labels(refusal.kind).inc()
        if self._lost_at is None:
            self._lost_at = self._state.now
            self._state.log.write_always(
                'store lost',
                fault=refusal.kind,
                detail=refusal.detail,
                **self._describe(),
            )

    def _describe(self) -> dict[str, int | None]:
        """Tell up to where the store is known, for the log."""
        known = self._revision
        return {
            'revision': known.number if known else None,
            'era': known.era if known else self._store.era,
        }

    async def _read_all(self) -> bool:
        listed = await self._store.list_items(listings.ALL_KEYS_PREFIX)
        if listed.is_err():
            self._note_failure(listed.err_value)
            return False
        self._note_answer()
        news = listed.ok_value
        if self._base is _BEFORE:
            self._base = news.revision
        present = set()
        for item in news.items:
            present.add(item.key)
            self.apply(item)
        self._drop_missing(present, news.revision)
        self._state.listed = True
        self._state.listed_at = self._state.now
        self._state.notify()
        self._revision = news.revision
        self._state.log.write(
            'store read',
            revision=news.revision.number,
            era=news.revision.era,
            keys=len(news.items),
        )
        return True

    def _drop_missing(self, present: set[str], revision: Revision) -> None:
        """Remove what a whole reading did not show.

        :param revision: that of the reading
        """
        gone = [
            key
            for key, known in self._revisions.items()
            if key not in present and known < revision
        ]
        for key in gone:
            self.apply(storevalues.Item(key, None, revision))

    async def _watch(self) -> bool:
        drain = self._state.settings.drain
        watched = await self._store.watch(
            listings.ALL_KEYS_PREFIX, self._revision, drain * WATCH_PART
        )
        if watched.is_err():
            refusal = watched.err_value
            if refusal.kind is storevalues.FailureKind.COMPACTED:
                self._state.log.write(
                    'history lost', detail=refusal.detail, **self._describe()
                )
                self._revision = None
                return True
            self._note_failure(refusal)
            return False
        self._note_answer()
        news = watched.ok_value
        for item in news.items:
            self.apply(item)
        self._revision = news.revision
        self._expire_missing()
        self._state.listed_at = self._state.now
        if news.items:
            await asyncio.sleep(drain * BATCH_PART)
        return True

    def apply(self, item: storevalues.Item) -> None:
        """Take in what a key holds now, unless something newer was."""
        known = self._revisions.get(item.key)
        if known is not None and item.revision <= known:
            if item.revision < known:
                self._log_passed_over(item, known)
            return
        if self._is_superseded(item):
            self._unconfirmed.add(item.key)
            self._log_passed_over(item, self._gone[item.key][0])
            return
        if item.value is None:
            self._revisions.pop(item.key, None)
        else:
            self._revisions[item.key] = item.revision
        if item.key == configurations.CONFIGURATION_KEY:
            self._apply_configuration(item)
        elif item.value is None and item.key != keys.LEADER_KEY:
            self._remove(item)
        else:
            self._missing.discard(item.key)
            self._gone.pop(item.key, None)
            self._put(item)

    def _put(self, item: storevalues.Item) -> None:
        if item.key.startswith(listings.ENDPOINT_PREFIX):
            self._apply_endpoint(item)
        else:
            self._handle_own(item)

    def _is_superseded(self, item: storevalues.Item) -> bool:
        """Tell whether a key was written before it was seen to be gone.

        A copy may bring it back. What lives writes again or is still listed
        later on.
        """
        if item.key not in self._gone or item.value is None:
            return False
        revision, _ = self._gone[item.key]
        since = self._base if revision is _BEFORE else revision
        return item.revision <= since

    def _log_passed_over(
        self, item: storevalues.Item, known: Revision
    ) -> None:
        self._state.log.write(
            'older item passed over',
            key=item.key,
            revision=item.revision.number,
            era=item.revision.era,
            known=known.number,
            known_era=known.era,
        )

    def _apply_configuration(self, item: storevalues.Item) -> None:
        if item.value is None:
            return
        decoded = configurations.decode_deployment(item.value)
        if decoded.is_err():
            self._refuse('configuration', item, decoded.err_value)
            return
        self._refused.pop(item.key, None)
        self._state.adopt(decoded.ok_value, item.value)

    def _refuse(self, kind: str, item: storevalues.Item, problem: str) -> None:
        """Count what can't be read, and log it once for each problem."""
        self._state.counters.refused_items.labels(kind).inc()
        if self._refused.get(item.key) == problem:
            return
        self._refused[item.key] = problem
        self._state.log.write_always(
            f'{kind} refused', problem=problem, revision=item.revision.number
        )

    def _apply_endpoint(self, item: storevalues.Item) -> None:
        identity = listings.get_identity(item.key)
        newest = time.time() + CLOCK_SECONDS
        decoded = listings.decode_endpoint(item.key, item.value, newest)
        if decoded.is_err():
            self._refuse('endpoint', item, decoded.err_value)
            self._state.mark_unreadable(identity)
            return
        self._refused.pop(item.key, None)
        endpoint = decoded.ok_value
        if item.revision <= self._base and self._knows_newer(endpoint):
            # It writes again what the store lost.
            self._log_passed_over(item, _BEFORE)
            return
        self._state.put_endpoint(endpoint)

    def _knows_newer(self, endpoint: endpoints_module.Endpoint) -> bool:
        """Tell whether a later report of an endpoint is known."""
        known = self._state.endpoints.get(endpoint.name)
        if known is None:
            return False
        returns = known.draining and not endpoint.draining
        return returns or endpoint.reports < known.reports

    def _remove(self, item: storevalues.Item) -> None:
        """Forget a key, but not one that an outage or a copy made lapse."""
        if self._state.now - self._returned_at < RETURN_SECONDS:
            self._missing.add(item.key)
            self._revisions[item.key] = item.revision
            return
        self._drop(item.key, item.revision)

    def _drop(self, key: str, revision: Revision) -> None:
        self._refused.pop(key, None)
        self._revisions.pop(key, None)
        if key.startswith(listings.ENDPOINT_PREFIX):
            self._gone[key] = (revision, self._state.now)
            self._state.drop_endpoint(listings.get_identity(key))
        else:
            self._handle_own(storevalues.Item(key, None, revision))

    def _expire_missing(self) -> None:
        now = self._state.now
        for identity, since in list(self._state.unreadable.items()):
            if now - since >= UNREADABLE_SECONDS:
                self._state.drop_endpoint(identity)
        for key, (_, since) in list(self._gone.items()):
            if now - since >= GONE_SECONDS:
                del self._gone[key]
        if now - self._returned_at < RETURN_SECONDS:
            return
        for key in self._missing:
            self._drop(key, self._revisions.get(key, self._base))
        self._missing.clear()
        if now - self._returned_at >= CONFIRMED_SECONDS:
            self._read_unconfirmed()

    def _read_unconfirmed(self) -> None:
        """Believe that what is still listed lives, though it was gone."""
        if not self._unconfirmed:
            return
        for key in self._unconfirmed:
            self._gone.pop(key, None)
        self._unconfirmed.clear()
        self._revision = None
