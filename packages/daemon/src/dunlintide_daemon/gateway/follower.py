"""Applies changes in the platform's store to an entry's state.

One watch over all keys is cheap, but its answer holds every version of the
configuration that was written since, and ends with the last of them. So an
answer that is large is not read. Until the configuration has been read by
itself, once, each part of the store is followed by itself, so that a leaving
endpoint is known at once also on a narrow link.

The store may be restored from a copy that is some seconds old, which begins a
new era and may bring back removed keys and lose recent ones.
"""

import asyncio
import math
import random
import time
from typing import Callable

import attrs
from dunlintide_core.pipeline import configurationbudget
from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_daemon.gateway import configurationloader
from dunlintide_daemon.gateway import departurenotices
from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import configurations
from dunlintide_platform import keys
from dunlintide_platform import listings
from dunlintide_platform import store as store_module
from dunlintide_platform import storevalues

__all__ = ['Follower']

# Range of the pause between tries while the store fails, in seconds; jitter
# keeps entries from retrying at the same time. The first retry comes sooner.
RETRY_SECONDS = (0.1, 0.4)
# The same after more than this number of failed calls in a row, where readings
# are shared: calls that an overloaded store refuses add to its load.
OUTAGE_FAILURES = 3
OUTAGE_RETRY_SECONDS = (0.4, 1.0)
# Time after the store's recovery in which a missing key is not treated as
# removed, in seconds: its endpoint may not have written again yet.
RECOVERY_GRACE_SECONDS = 2.2
# Time behind that grace at which the store is asked again, in seconds: a watch
# takes whole milliseconds.
GRACE_MARGIN_SECONDS = 0.01
# Shortest time of failures that counts as an outage, in seconds.
OUTAGE_SECONDS = 0.8
# How long a removed key is remembered, in seconds: a copy of the store that
# is some seconds old may still hold it.
REMOVAL_MEMORY_SECONDS = 60.0
# Time after the store's recovery by which its leases of dead endpoints have
# expired, in seconds: three report intervals of an endpoint.
CONFIRMATION_SECONDS = 4.5

# How long an endpoint with a malformed item still counts as holding its
# layers, in seconds: a live one writes again within 1.2 s, and the store drops
# a silent one after three times that.
UNREADABLE_SECONDS = 3.6
# Size of an answer from which it is not read but the store is followed by
# parts, in bytes: about a tenth of a second on a link of 10 Mbit/s.
LARGE_ANSWER_BYTES = 128 << 10
# Most by which an endpoint's start time may be ahead of this host's clock, in
# seconds: clocks differ by seconds.
MAX_CLOCK_SKEW_SECONDS = 60.0

EntryItemHandler = Callable[[storevalues.Item], None]
Revision = storevalues.Revision

# Placeholder that is less than all revisions of the current era.
_EARLIER_ERA = Revision(-1, 0)

# Time between two checks whether a longer pause goes on, in seconds: others
# may have read something new meanwhile.
PAUSE_CHECK_SECONDS = 0.05


@attrs.define(eq=False)
class _Part:
    """Keys that are read and watched together.

    :ivar prefix: prefix of the keys
    :ivar limit: size from which an answer is not read, in bytes, None for the
        largest one
    :ivar revision: revision up to which all changes are known, None before
        the first read
    :ivar answered_at: monotonic time of the last answer, or of the call if
        the answer was a full read, in seconds
    :ivar failures: failed calls since the last answer
    :ivar has_news: whether the last answer held changes
    """

    prefix: str
    limit: int | None = None
    revision: Revision | None = None
    answered_at: float = float('-inf')
    failures: int = 0
    has_news: bool = False


class Follower:
    """Reads the store and applies its changes to an entry's state."""

    def __init__(
        self,
        state: state_module.State,
        store: store_module.Store,
        handle_entry_item: EntryItemHandler,
        loader: configurationloader.ConfigurationLoader | None = None,
        is_leading: Callable[[], bool] = lambda: False,
    ) -> None:
        """Prepare to follow the store.

        :param handle_entry_item: called with items that entries wrote
        :param loader: decoder of configurations, None for one of its own
        :param is_leading: whether this entry leads; a leader does not
            lengthen its pauses
        """
        self._state = state
        self._store = store
        self._is_leading = is_leading
        self._loader = loader or configurationloader.ConfigurationLoader(state)
        # Items of the configuration that have not been loaded, oldest first.
        self._unloaded: list[storevalues.Item] = []
        self._handle_entry_item = handle_entry_item
        self._whole = _Part(listings.ALL_KEYS_PREFIX, LARGE_ANSWER_BYTES)
        self._endpoints = _Part(listings.ENDPOINT_PREFIX)
        self._entries = _Part(keys.OWN_PREFIX)
        self._configuration = _Part(
            configurations.CONFIGURATION_KEY, LARGE_ANSWER_BYTES
        )
        # Newest revision of the configuration that another entry has sent.
        self._read_from_others: Revision | None = None
        # Revision of the first full read in an era; items up to it may come
        # from a copy.
        self._base_revision = _EARLIER_ERA
        self._pending_removals: set[str] = set()
        self._revisions: dict[str, Revision] = {}
        self._removed: dict[str, tuple[Revision, float]] = {}
        self._reappeared: set[str] = set()
        self._current_task: asyncio.Task | None = None
        # Reading of the configuration by itself.
        self._reading: asyncio.Task | None = None
        self._failing_since: float | None = None
        self._recovered_at = float('-inf')
        self._logged_problems: dict[str, str] = {}

    async def run(self) -> None:
        """Follow the store until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self._set_follows_parts(self._whole.revision is None)
            if self._whole.revision is None:
                work = self._follow_parts()
            else:
                work = self._watch_whole()
            self._current_task = loop.create_task(work)
            try:
                await asyncio.wait({self._current_task})
            finally:
                self._current_task.cancel()
            if (
                not self._current_task.cancelled()
                and not self._current_task.result()
            ):
                await asyncio.sleep(self._choose_retry_pause(self._whole))

    def _set_follows_parts(self, follows_parts: bool) -> None:
        """Record whether parts are followed, and alert others if they are.

        They are about to read the same large version.
        """
        state = self._state
        begins = follows_parts and not state.follows_parts
        state.follows_parts = follows_parts
        if begins and state.shares_reading:
            state.alert_pending.set()

    @property
    def _parts(self) -> tuple[_Part, ...]:
        return self._endpoints, self._entries, self._configuration

    @property
    def _budget(self) -> configurationbudget.ConfigurationBudget:
        settings = self._state.settings
        return configurationbudget.ConfigurationBudget.from_bounds(
            settings.drain, settings.apply
        )

    def _choose_retry_pause(self, part: _Part) -> float:
        if part.failures == 1:
            return random.uniform(0.0, self._budget.watch.jitter)
        if self._state.shares_reading and part.failures > OUTAGE_FAILURES:
            return random.uniform(*OUTAGE_RETRY_SECONDS)
        return random.uniform(*RETRY_SECONDS)

    def begin_era(self) -> None:
        """Read everything again, and keep missing keys for a while.

        The platform writes lost keys again.
        """
        self._forget_revisions()
        self._base_revision = _EARLIER_ERA
        self._revisions = dict.fromkeys(self._revisions, _EARLIER_ERA)
        self._removed = {
            key: (_EARLIER_ERA, at) for key, (_, at) in self._removed.items()
        }
        self._recovered_at = self._state.now
        self._state.log.write_always(
            'store returned from a copy', era=self._store.era
        )
        if (
            self._current_task is not None
            and self._current_task is not asyncio.current_task()
        ):
            self._current_task.cancel()

    def _forget_revisions(self) -> None:
        """Read every part anew."""
        self._read_from_others = None
        for part in (self._whole, *self._parts):
            part.revision = None

    def _split(self) -> None:
        """Follow each part by itself from the revision known for all."""
        for part in self._parts:
            part.revision = self._whole.revision
            part.answered_at = self._whole.answered_at
        self._whole.revision = None
        if self._read_from_others is not None:
            self.skip_configuration(self._read_from_others)

    def skip_configuration(self, revision: Revision) -> None:
        """Do not read a configuration that another entry has sent.

        :param revision: its revision in the store
        """
        if revision.era != self._store.era:
            return
        self._read_from_others = revision
        part = self._configuration
        if self._whole.revision is not None or (
            part.revision is not None and part.revision >= revision
        ):
            return
        part.revision = revision
        if self._reading is not None:
            self._reading.cancel()

    def _join(self) -> None:
        """Follow all parts together again."""
        self._whole.revision = min(part.revision for part in self._parts)
        self._whole.answered_at = self._endpoints.answered_at
        self._whole.failures = 0

    def _tells_endpoints(self, part: _Part) -> bool:
        return part in (self._whole, self._endpoints)

    def _record_success(self) -> None:
        now = self._state.now
        if self._failing_since is None:
            return
        lost, self._failing_since = now - self._failing_since, None
        if lost >= OUTAGE_SECONDS:
            self._recovered_at = now
            self._state.log.write_always('store regained', seconds=lost)

    def _record_failure(
        self, part: _Part, refusal: storevalues.StoreFailure
    ) -> None:
        counters = self._state.counters
        counters.store_faults.labels(refusal.kind).inc()
        counters.discarded_bytes.labels('store').inc(refusal.received)
        part.failures += 1
        if self._failing_since is None and self._tells_endpoints(part):
            self._failing_since = self._state.now
            self._state.log.write_always(
                'store lost',
                fault=refusal.kind,
                detail=refusal.detail,
                **self._describe_revision(),
            )

    def _describe_revision(self) -> dict[str, int | None]:
        """Return the last known revision and era, for the log."""
        known = self._whole.revision or self._endpoints.revision
        return {
            'revision': known.number if known else None,
            'era': known.era if known else self._store.era,
        }

    async def _follow_parts(self) -> bool:
        """Follow each part by itself until all are up to date.

        :returns: whether they are, and can be followed together
        """
        await self._load_configuration()
        async with asyncio.TaskGroup() as group:
            followed = [
                group.create_task(self._follow_part(part))
                for part in (self._endpoints, self._entries)
            ]
            while not await self._advance(self._configuration):
                await asyncio.sleep(
                    self._choose_retry_pause(self._configuration)
                )
            for task in followed:
                task.cancel()
        # A watch over all keys that begins before the configuration would
        # hold it once more.
        for part in (self._endpoints, self._entries):
            while (
                part.revision is None
                or part.revision < self._configuration.revision
            ):
                if not await self._advance(part):
                    self._whole.failures = part.failures
                    return False
        self._join()
        return True

    async def _follow_part(self, part: _Part) -> None:
        """Follow one part until cancelled."""
        while True:
            # The first answer is owed at once, as something has changed.
            done = await self._advance(part)
            while done and part.revision is not None:
                await self._batch(part)
                done = await self._watch(part)
            if not done:
                await asyncio.sleep(self._choose_retry_pause(part))

    async def _advance(self, part: _Part) -> bool:
        """Bring a part up to date.

        :returns: whether the store answered
        """
        if part.revision is not None and not await self._watch(part, 0.0):
            return False
        if part.revision is not None:
            return True
        if part is not self._configuration:
            return await self._list(part)
        return await self._read_configuration()

    async def _read_configuration(self) -> bool:
        """Read the configuration, unless another entry sends it meanwhile."""
        loop = asyncio.get_running_loop()
        self._reading = loop.create_task(self._list(self._configuration))
        try:
            await asyncio.wait({self._reading})
        finally:
            self._reading.cancel()
        if self._reading.cancelled():
            return await self._advance(self._configuration)
        return self._reading.result()

    async def _list(self, part: _Part) -> bool:
        """Read all keys of a part."""
        began = self._state.now
        listed = await self._store.list_items(part.prefix, self._budget.idle)
        if listed.is_err():
            self._log_failed_call('read failed', part, listed.err_value, began)
            self._record_failure(part, listed.err_value)
            return False
        changes = listed.ok_value
        part.failures = 0
        tells_endpoints = self._tells_endpoints(part)
        if tells_endpoints:
            self._record_success()
            if self._base_revision is _EARLIER_ERA:
                self._base_revision = changes.revision
        present = set()
        for item in changes.items:
            present.add(item.key)
            self.apply(item)
        self._remove_unlisted(part, present, changes.revision)
        if tells_endpoints:
            # What is no longer listed needs no second look.
            self._reappeared &= present
            self._state.has_listing = True
            self._confirm_removals(began)
            self._state.listing_read_at = began
        part.answered_at = began
        part.has_news = True
        self._state.notify_listeners()
        part.revision = changes.revision
        self._state.log.write(
            'store read',
            prefix=part.prefix,
            revision=changes.revision.number,
            era=changes.revision.era,
            keys=len(changes.items),
            seconds=round(self._state.now - began, 3),
        )
        if part is self._configuration:
            await self._load_configuration(self._state.now - began)
        return True

    def _remove_unlisted(
        self, part: _Part, present: set[str], revision: Revision
    ) -> None:
        """Remove known keys of a part that a full read does not contain.

        :param present: keys that it contains
        :param revision: revision of the read
        """
        gone = [
            key
            for key, known in self._revisions.items()
            if key.startswith(part.prefix)
            and key not in present
            and known < revision
        ]
        for key in gone:
            self.apply(storevalues.Item(key, None, revision))

    def _confirm_removals(self, read_at: float) -> None:
        held_back = {
            self._state.incarnations[identity].name
            for identity in map(listings.get_identity, self._pending_removals)
            if identity in self._state.incarnations
        }
        departurenotices.confirm_removals(self._state, read_at, held_back)

    def _log_failed_call(
        self,
        event: str,
        part: _Part,
        refusal: storevalues.StoreFailure,
        began: float,
    ) -> None:
        """Log a call without an answer, and for how long it was waited for.

        :param began: monotonic time at which the call began, in seconds
        """
        self._state.log.write(
            event,
            prefix=part.prefix,
            fault=refusal.kind,
            detail=refusal.detail,
            received=refusal.received,
            seconds=round(self._state.now - began, 3),
            listing_age=self._state.listing_age,
        )

    async def _watch_whole(self) -> bool:
        """Wait for changes of any key."""
        answered = await self._watch(self._whole, self._choose_longest_wait())
        if answered:
            await self._batch(self._whole)
            while (left := self._choose_further_pause()) > 0:
                await asyncio.sleep(min(left, PAUSE_CHECK_SECONDS))
        return answered

    def _may_share(self) -> bool:
        """Return whether pauses may depend on what others have read.

        They are as usual where an outage or a new era just ended, so that
        what came back or is held back is read soon.
        """
        state = self._state
        return (
            state.shares_reading
            and self._whole.revision is not None
            and not self._pending_removals
            and not self._reappeared
            and state.now - self._recovered_at >= CONFIRMATION_SECONDS
            and not self._is_leading()
        )

    def _choose_longest_wait(self) -> float:
        """Return for how long the store may hold a watch, in seconds.

        Others rely on the readings of a reader, also on those without news.
        """
        state = self._state
        if self._may_share() and state.shared_reading.is_reader(state.now):
            return self._budget.watch.batch
        return math.inf

    def _choose_further_pause(self) -> float:
        """Return how long a pause goes on as others read the same.

        :returns: time in seconds, 0 to read now
        """
        if not self._may_share():
            return 0.0
        state, now = self._state, self._state.now
        budget = self._budget
        held = len(state.configuration_value)
        due = state.shared_reading.choose_due(
            budget.watch,
            budget.compute_longest_pause(
                storevalues.compute_encoded_size(held)
            ),
            state.reading_digest,
            self._whole.answered_at,
            now,
        )
        return max(0.0, due - now)

    async def _batch(self, part: _Part) -> None:
        """Pause after changes, so that those that follow come together."""
        if part.has_news:
            await asyncio.sleep(self._limit_by_grace(self._budget.watch.batch))

    async def _watch(
        self, part: _Part, longest_wait: float = math.inf
    ) -> bool:
        """Wait for changes of a part, and apply them.

        :param longest_wait: bound on the time for which the store holds the
            call, beside the budget, in seconds
        :returns: whether the store answered
        """
        budget = self._budget.watch
        began = self._state.now
        seconds = self._limit_by_grace(
            min(budget.choose_wait(began - part.answered_at), longest_wait)
        )
        watched = await self._store.watch(
            part.prefix,
            part.revision,
            seconds,
            budget.choose_slack(part.failures),
            budget.connect,
            part.limit,
            self._budget.idle,
        )
        answered_at = self._state.now
        if watched.is_err():
            return self._handle_failed_watch(part, watched.err_value, began)
        part.failures = 0
        changes = watched.ok_value
        if self._tells_endpoints(part):
            self._record_success()
        digest = self._state.reading_digest
        # A part may be told again what it knows from before the parts joined.
        news = [self.apply(item) for item in changes.items]
        part.has_news = any(news)
        part.revision = changes.revision
        part.answered_at = answered_at
        if self._tells_endpoints(part):
            self._confirm_removals(began)
            self._state.listing_read_at = answered_at
            self._expire()
        if part in (self._whole, self._configuration):
            await self._load_configuration()
        if self._state.reading_digest != digest:
            self._alert_others()
        return True

    def _alert_others(self) -> None:
        """Tell others at once that a reader has read something new.

        They make no calls of their own while its content equals theirs.
        """
        state = self._state
        if state.shares_reading and state.shared_reading.is_reader(state.now):
            state.alert_pending.set()

    def _handle_failed_watch(
        self, part: _Part, refusal: storevalues.StoreFailure, began: float
    ) -> bool:
        """Choose what to read after a watch that brought no changes.

        :param began: monotonic time at which the watch began, in seconds
        :returns: whether the store answered
        """
        part.has_news = False
        if refusal.kind is storevalues.FailureKind.TOO_LARGE:
            self._state.log.write(
                'large answer put off', prefix=part.prefix, bytes=refusal.size
            )
            part.failures = 0
            if part is not self._whole:
                # The same changes would come again; pages are small.
                part.revision = None
                return True
            known = part.revision
            self._split()
            is_behind = self._configuration.revision == known
            if is_behind and self._may_hold_configuration(refusal.size):
                self._configuration.revision = None
            return True
        if refusal.kind is storevalues.FailureKind.COMPACTED:
            self._state.log.write(
                'history lost',
                detail=refusal.detail,
                **self._describe_revision(),
            )
            if part is self._whole:
                self._forget_revisions()
            else:
                part.revision = None
            return True
        self._log_failed_call('watch failed', part, refusal, began)
        self._record_failure(part, refusal)
        return False

    def _may_hold_configuration(self, size: int) -> bool:
        """Return whether reading the configuration costs no more than this.

        :param size: size of an answer in bytes, as far as known
        """
        held = len(self._state.configuration_value)
        return size >= storevalues.compute_encoded_size(held)

    def _limit_by_grace(self, seconds: float) -> float:
        """Return a wait that ends no later than removals are held back.

        What is held back is removed after the next answer of the store.
        """
        if not self._pending_removals:
            return seconds
        ends = self._recovered_at + RECOVERY_GRACE_SECONDS
        left = ends + GRACE_MARGIN_SECONDS - self._state.now
        return min(seconds, max(0.0, left))

    def apply(self, item: storevalues.Item) -> bool:
        """Apply an item unless a newer one of its key is known.

        :returns: whether it was applied
        """
        known = self._revisions.get(item.key)
        if known is not None and item.revision <= known:
            if item.revision < known:
                self._log_stale_item(item, known)
            return False
        if self._is_superseded(item):
            self._reappeared.add(item.key)
            self._log_stale_item(item, self._removed[item.key][0])
            return False
        if item.value is None:
            self._reappeared.discard(item.key)
            self._revisions.pop(item.key, None)
        else:
            self._revisions[item.key] = item.revision
        if item.key == configurations.CONFIGURATION_KEY:
            self._unloaded.append(item)
        elif item.value is None and item.key != keys.LEADER_KEY:
            self._remove(item)
        else:
            self._pending_removals.discard(item.key)
            self._removed.pop(item.key, None)
            self._apply_value(item)
        return True

    def _apply_value(self, item: storevalues.Item) -> None:
        if item.key.startswith(listings.ENDPOINT_PREFIX):
            self._apply_endpoint(item)
        else:
            self._handle_entry_item(item)

    def _is_superseded(self, item: storevalues.Item) -> bool:
        """Return whether an item was written before its key was removed.

        A copy of the store may bring it back. If its endpoint is alive, it
        writes again or is still listed later.
        """
        if item.key not in self._removed or item.value is None:
            return False
        revision, _ = self._removed[item.key]
        since = self._base_revision if revision is _EARLIER_ERA else revision
        return item.revision <= since

    def _log_stale_item(self, item: storevalues.Item, known: Revision) -> None:
        self._state.log.write(
            'older item passed over',
            key=item.key,
            revision=item.revision.number,
            era=item.revision.era,
            known=known.number,
            known_era=known.era,
        )

    async def _load_configuration(
        self, read_seconds: float | None = None
    ) -> None:
        """Put the newest configuration that was read in force.

        Those before it are skipped, unless it is malformed.

        :param read_seconds: time that reading it took
        """
        self._state.loads_configuration = bool(self._unloaded)
        while self._unloaded:
            item = self._unloaded[-1]
            if item.value is not None:
                loaded = await self._loader.load(
                    item.value, 'store', item.revision, read_seconds
                )
                if loaded.is_ok():
                    self._logged_problems.pop(item.key, None)
                    newer = item.revision
                    self._unloaded = [
                        each
                        for each in self._unloaded
                        if each.revision > newer
                    ]
                    continue
                self._reject('configuration', item, loaded.err_value)
            if item in self._unloaded:
                self._unloaded.remove(item)
        self._state.loads_configuration = False

    def _reject(self, kind: str, item: storevalues.Item, problem: str) -> None:
        """Count a malformed item, and log it unless the problem is known."""
        self._state.counters.refused_items.labels(kind).inc()
        if self._logged_problems.get(item.key) == problem:
            return
        self._logged_problems[item.key] = problem
        self._state.log.write_always(
            f'{kind} refused', problem=problem, revision=item.revision.number
        )

    def _apply_endpoint(self, item: storevalues.Item) -> None:
        identity = listings.get_identity(item.key)
        newest = time.time() + MAX_CLOCK_SKEW_SECONDS
        decoded = listings.decode_endpoint(item.key, item.value, newest)
        if decoded.is_err():
            self._reject('endpoint', item, decoded.err_value)
            self._state.mark_unreadable(identity)
            return
        self._logged_problems.pop(item.key, None)
        endpoint = decoded.ok_value
        if item.revision <= self._base_revision and self._has_newer_report(
            endpoint
        ):
            # The copy holds an older report; the endpoint writes the newer one
            # again.
            self._log_stale_item(item, _EARLIER_ERA)
            return
        self._state.apply_endpoint(endpoint)

    def _has_newer_report(self, endpoint: endpoints_module.Endpoint) -> bool:
        """Return whether a later report of an endpoint is known."""
        known = self._state.endpoints.get(endpoint.name)
        if known is None:
            return False
        has_lost_drain = known.draining and not endpoint.draining
        return has_lost_drain or endpoint.reports < known.reports

    def _remove(self, item: storevalues.Item) -> None:
        """Remove a key, later if an outage or a copy may have lost it."""
        if self._state.now - self._recovered_at < RECOVERY_GRACE_SECONDS:
            self._pending_removals.add(item.key)
            self._revisions[item.key] = item.revision
            self._state.log.write(
                'removal held back',
                key=item.key,
                revision=item.revision.number,
                since_recovery=round(self._state.now - self._recovered_at, 3),
            )
            return
        self._forget(item.key, item.revision)

    def _forget(self, key: str, revision: Revision) -> None:
        self._logged_problems.pop(key, None)
        self._revisions.pop(key, None)
        if key.startswith(listings.ENDPOINT_PREFIX):
            self._removed[key] = (revision, self._state.now)
            self._state.remove_endpoint(listings.get_identity(key))
        else:
            self._handle_entry_item(storevalues.Item(key, None, revision))

    def _expire(self) -> None:
        now = self._state.now
        for identity, since in list(self._state.unreadable_since.items()):
            if now - since >= UNREADABLE_SECONDS:
                self._state.remove_endpoint(identity)
        for key, (_, since) in list(self._removed.items()):
            if now - since >= REMOVAL_MEMORY_SECONDS:
                del self._removed[key]
        if now - self._recovered_at < RECOVERY_GRACE_SECONDS:
            return
        for key in self._pending_removals:
            self._forget(key, self._revisions.get(key, self._base_revision))
        self._pending_removals.clear()
        if now - self._recovered_at >= CONFIRMATION_SECONDS:
            self._reread_reappeared()

    def _reread_reappeared(self) -> None:
        """Reread the store to accept removed keys that are still listed."""
        if not self._reappeared:
            return
        for key in self._reappeared:
            self._removed.pop(key, None)
        self._reappeared.clear()
        if self._whole.revision is not None:
            self._split()
        self._endpoints.revision = None
