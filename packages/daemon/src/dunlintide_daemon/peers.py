"""Replica of the fleet's state: configuration and membership.

An actor owns the replica and serializes access to it. One thread gossips
with peers, one runs periodic maintenance, and one notifies subscribers of
new configurations.
"""

import contextlib
import random
import threading
import time
from typing import Any, Callable

from absl import logging
import pykka
import result

from dunlintide_adapters import configstore
from dunlintide_adapters import peers as peer_calls
from dunlintide_adapters import transports
from dunlintide_core import configreplica
from dunlintide_core import exchanges
from dunlintide_core import fleet
from dunlintide_core import records
from dunlintide_core import replicas
from dunlintide_daemon import externalsources
from dunlintide_daemon import peerdump
from dunlintide_daemon import snapshotnotifier

__all__ = ['FleetState']

MAINTENANCE_SECONDS = 1.0
# A process that is not a watcher reads the host list only to find peers
# that it lost contact with.
NON_WATCHER_HOSTS_SECONDS = 600.0
# Most requests to a peer in one round.
MAX_FOLLOW_UPS = 64
ANSWER_TIMEOUT_SECONDS = 2.0
_JOIN_SECONDS = 2.0

_Action = Callable[[replicas.Replica], Any]


class _ReplicaActor(pykka.ThreadingActor):
    """Actor that runs one action on the replica at a time."""

    use_daemon_thread = True

    def __init__(self, replica: replicas.Replica) -> None:
        super().__init__()
        self._replica = replica

    def on_receive(self, message: _Action) -> Any:
        return message(self._replica)


class FleetState:
    """Replicated configuration and membership; a context manager.

    :ivar name: name of this process
    :ivar incarnation: incarnation of this process
    """

    def __init__(
        self,
        me: fleet.Peer,
        sources: externalsources.ExternalSources,
        timing: replicas.Timing = replicas.Timing(),
        transport: transports.Transport = transports.PLAIN,
    ) -> None:
        """Prepare an empty replica; entering the context starts it.

        :param me: this process, with the address of its gRPC server
        :param sources: clients of the store and the host list
        :param timing: timing of gossip and failure detection
        :param transport: how connections to peers are made
        """
        self.name = me.name
        self.incarnation = me.incarnation
        self._sources = sources
        self._replica = replicas.Replica(me, random.Random(), timing)
        self._endpoint = me.endpoint
        self._replica_actor: pykka.ActorRef | None = None
        self._client = peer_calls.Client(transport=transport)
        self._notifier = snapshotnotifier.SnapshotNotifier()
        self._wake = threading.Event()
        self._done = threading.Event()
        self._watch = externalsources.StoreWatch(
            sources,
            lambda: self.snapshot,
            self._apply_stored,
            self._record_store_revision,
        )
        self._hosts_read_at = float('-inf')
        self._not_ready_reason = 'starting'
        self._stack = contextlib.ExitStack()

    @property
    def snapshot(self) -> configreplica.Snapshot | None:
        """Configuration in force, None before the first."""
        return self._notifier.snapshot

    def on_snapshot(self, callback: snapshotnotifier.OnSnapshot) -> None:
        """Call back with the configuration in force and each newer one.

        The calls are made one at a time, on a separate thread.
        """
        self._notifier.subscribe(callback)

    def why_not_ready(self) -> str:
        """Return why this process cannot serve yet, empty when it can."""
        return self._not_ready_reason

    def _run_on_replica(self, action: _Action) -> Any:
        return self._replica_actor.ask(action)

    def list_members(self) -> list[records.Record]:
        """Return the records of all processes, including tombstones."""
        return self._run_on_replica(
            lambda replica: replica.members.list_records()
        )

    def list_present(
        self, seen: int
    ) -> tuple[int, list[records.Record]] | None:
        """Return the records of all processes that are not dead.

        :param seen: change counter that an earlier call returned, else -1
        :returns: change counter and records, None if the counter is ``seen``
        """

        def read(replica: replicas.Replica):
            members = replica.members
            if members.changes == seen:
                return None
            return members.changes, members.list_present()

        return self._run_on_replica(read)

    def answer(
        self, request: exchanges.Request, chunk_bytes: int
    ) -> exchanges.Reply:
        """Answer a peer's gossip request; called by the gRPC service.

        :param chunk_bytes: most bytes of chunks to send, 0 for none
        """
        now = time.monotonic()

        def act(replica: replicas.Replica) -> tuple[exchanges.Reply, bool]:
            reply = replica.handle_request(now, request, chunk_bytes)
            return reply, replica.is_urgent

        reply, urgent = self._replica_actor.ask(
            act, timeout=ANSWER_TIMEOUT_SECONDS
        )
        if urgent:
            self._wake.set()
        return reply

    def depart(self) -> None:
        """Announce to the fleet that this process leaves."""
        now = time.monotonic()
        self._run_on_replica(
            lambda replica: replica.members.announce_leaving(now)
        )
        self._wake.set()

    def update_endpoint(self, endpoint: fleet.Endpoint) -> None:
        """Announce a change of the endpoint that this process serves."""
        if endpoint == self._endpoint:
            return
        self._endpoint = endpoint
        if self._replica_actor is not None:
            self._announce_endpoint()

    def probe(self, name: str) -> None:
        """Contact a peer at once, because a link to it was lost."""

        def act(replica: replicas.Replica) -> None:
            replica.probe(name)
            self._wake.set()

        # Links are also lost during shutdown, after the actor has stopped.
        with contextlib.suppress(pykka.ActorDeadError):
            self._replica_actor.tell(act)

    def _announce_endpoint(self) -> None:
        now, endpoint = time.monotonic(), self._endpoint
        # The agent checks its engine even after the actor has stopped.
        with contextlib.suppress(pykka.ActorDeadError):
            self._run_on_replica(
                lambda replica: replica.update_endpoint(now, endpoint)
            )
        self._wake.set()

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON-serializable values."""
        return self._run_on_replica(peerdump.describe) | {
            'not_ready': self._not_ready_reason
        }

    def _run_rounds(self) -> None:
        while not self._done.is_set():
            self._run_round()
            pause = self._run_on_replica(lambda replica: replica.draw_pause())
            self._wake.wait(pause)
            self._wake.clear()

    def _run_round(self) -> None:
        now = time.monotonic()

        def begin(replica: replicas.Replica):
            target = replica.choose_target()
            request = replica.make_request(now, target) if target else None
            return target, request

        target, request = self._run_on_replica(begin)
        for _ in range(MAX_FOLLOW_UPS):
            if request is None:
                return
            request = self._call(target, request)

    def _call(
        self, target: exchanges.Target, request: exchanges.Request
    ) -> exchanges.Request | None:
        reply = self._client.exchange(target.address, request)
        now = time.monotonic()
        if isinstance(reply, result.Err):
            self._run_on_replica(
                lambda replica: replica.note_failure(now, target)
            )
            return None

        def take(replica: replicas.Replica):
            follow = replica.handle_reply(now, target, reply.ok_value)
            return follow, replica.configuration.snapshot

        follow, snapshot = self._run_on_replica(take)
        self._notifier.publish(snapshot)
        return follow

    def _apply_stored(self, stored: configstore.Snapshot) -> None:
        def act(replica: replicas.Replica) -> configreplica.Snapshot | None:
            replica.apply_stored(stored.head, stored.document)
            return replica.configuration.snapshot

        # The store may answer after the actor has stopped.
        with contextlib.suppress(pykka.ActorDeadError):
            self._notifier.publish(self._run_on_replica(act))
            self._wake.set()

    def _record_store_revision(self, revision: int) -> None:
        with contextlib.suppress(pykka.ActorDeadError):
            self._run_on_replica(
                lambda replica: replica.configuration.note_store_revision(
                    revision
                )
            )

    def _run_maintenance(self) -> None:
        while not self._done.is_set():
            now = time.monotonic()

            def maintain(replica: replicas.Replica) -> tuple[bool, bool, str]:
                replica.expire_suspects(now)
                has_no_peers = len(replica.members.list_records()) == 1
                return (
                    replica.is_watcher,
                    has_no_peers,
                    replica.explain_unready(),
                )

            watcher, has_no_peers, self._not_ready_reason = (
                self._run_on_replica(maintain)
            )
            pause = NON_WATCHER_HOSTS_SECONDS
            if watcher:
                pause = self._sources.hosts_seconds
            if has_no_peers:
                pause = MAINTENANCE_SECONDS
            if now - self._hosts_read_at >= pause:
                self._hosts_read_at = now
                self._read_hosts(now)
            self._watch.set_active(watcher)
            self._done.wait(MAINTENANCE_SECONDS)

    def _read_hosts(self, now: float) -> None:
        hosts = self._sources.read_hosts()
        if isinstance(hosts, result.Err):
            logging.warning('host list not read: %s', hosts.err_value)
            return
        listed = list(hosts.ok_value)

        def take(replica: replicas.Replica) -> None:
            replica.add_seeds(host.address for host in listed)
            replica.members.merge_host_list(
                now, {host.name for host in listed}
            )

        self._run_on_replica(take)

    def _run_or_abort(self, target: Callable[[], None]) -> None:
        try:
            target()
        except Exception:
            if not self._done.is_set():
                # Without this thread the state would go stale and mislead
                # peers, so the process ends.
                logging.fatal(
                    'thread of the fleet state failed', exc_info=True
                )

    def _start_thread(self, target: Callable[[], None], name: str) -> None:
        thread = threading.Thread(
            target=self._run_or_abort, args=(target,), name=name, daemon=True
        )
        thread.start()
        self._stack.callback(thread.join, _JOIN_SECONDS)

    def __enter__(self) -> 'FleetState':
        with self._stack as stack:
            stack.callback(self._sources.close)
            stack.callback(self._client.close)
            self._replica_actor = _ReplicaActor.start(self._replica)
            stack.callback(self._replica_actor.stop)
            self._announce_endpoint()
            self._start_thread(self._notifier.run, 'configuration')
            self._start_thread(self._run_maintenance, 'fleet-upkeep')
            self._start_thread(self._run_rounds, 'fleet-rounds')
            stack.callback(self._stop)
            self._stack = stack.pop_all()
        return self

    def _stop(self) -> None:
        self._done.set()
        self._wake.set()
        self._notifier.close()
        self._watch.set_active(False)

    def __exit__(self, *details) -> None:
        self._stack.close()
