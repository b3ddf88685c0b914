"""The fleet's state at this process: configuration and membership.

An actor owns the replica. One thread runs the rounds with peers, one
keeps the upkeep that goes by time, and one hands new configurations on.
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
from dunlintide_daemon import delivery
from dunlintide_daemon import peerdump
from dunlintide_daemon import watching

__all__ = ['FleetState']

UPKEEP_SECONDS = 1.0
# Others than watchers read the list only to find peers that they lost.
HOSTS_SELDOM_SECONDS = 600.0
MAX_FOLLOW_UPS = 64
ANSWER_SECONDS = 2.0
_JOIN_SECONDS = 2.0

_Action = Callable[[replicas.Replica], Any]


class _Owner(pykka.ThreadingActor):
    """Runs one action on the replica at a time."""

    use_daemon_thread = True

    def __init__(self, replica: replicas.Replica) -> None:
        super().__init__()
        self._replica = replica

    def on_receive(self, message: _Action) -> Any:
        return message(self._replica)


class FleetState:
    """Configuration and membership at this process; a context manager.

    :ivar incarnation: of this process
    """

    def __init__(
        self,
        me: fleet.Peer,
        outside: watching.Outside,
        timing: replicas.Timing = replicas.Timing(),
        transport: transports.Transport = transports.PLAIN,
    ) -> None:
        """Begin with nothing known; entering the context starts it.

        :param me: this process, with the address of its server
        """
        self.name = me.name
        self.incarnation = me.incarnation
        self._outside = outside
        self._replica = replicas.Replica(me, random.Random(), timing)
        self._endpoint = me.endpoint
        self._owner: pykka.ActorRef | None = None
        self._client = peer_calls.Client(transport=transport)
        self._delivery = delivery.Delivery()
        self._wake = threading.Event()
        self._done = threading.Event()
        self._watch = watching.StoreWatch(
            outside, lambda: self.snapshot, self._take_stored, self._note_store
        )
        self._hosts_read = float('-inf')
        self._reason = 'starting'
        self._stack = contextlib.ExitStack()

    @property
    def snapshot(self) -> configreplica.Snapshot | None:
        """Configuration in force, or None before the first."""
        return self._delivery.snapshot

    def on_snapshot(self, callback: delivery.OnSnapshot) -> None:
        """Call back with the configuration in force and each newer one.

        The calls come one at a time on a thread of their own.
        """
        self._delivery.add(callback)

    def why_not_ready(self) -> str:
        """Say why this process cannot serve yet; empty when it can."""
        return self._reason

    def _do(self, action: _Action) -> Any:
        return self._owner.ask(action)

    def list_members(self) -> list[records.Record]:
        """Return what is known of all processes, tombstones too."""
        return self._do(lambda replica: replica.members.list_records())

    def list_present(
        self, seen: int
    ) -> tuple[int, list[records.Record]] | None:
        """Return all that are not dead, if that has changed.

        :param seen: what an earlier call returned first, else -1
        """

        def read(replica: replicas.Replica):
            members = replica.members
            if members.changes == seen:
                return None
            return members.changes, members.list_present()

        return self._do(read)

    def answer(
        self, request: exchanges.Request, chunk_bytes: int
    ) -> exchanges.Reply:
        """Answer a peer; for the gRPC service."""
        now = time.monotonic()

        def act(replica: replicas.Replica) -> tuple[exchanges.Reply, bool]:
            reply = replica.handle_request(now, request, chunk_bytes)
            return reply, replica.is_urgent

        reply, urgent = self._owner.ask(act, timeout=ANSWER_SECONDS)
        if urgent:
            self._wake.set()
        return reply

    def depart(self) -> None:
        """Tell the fleet that this process leaves."""
        now = time.monotonic()
        self._do(lambda replica: replica.members.announce_leaving(now))
        self._wake.set()

    def update_endpoint(self, endpoint: fleet.Endpoint) -> None:
        """Tell the fleet that this process stands before something else."""
        if endpoint == self._endpoint:
            return
        self._endpoint = endpoint
        if self._owner is not None:
            self._tell_endpoint()

    def probe(self, name: str) -> None:
        """Call a process at once, as a link to it was lost."""

        def act(replica: replicas.Replica) -> None:
            replica.probe(name)
            self._wake.set()

        # Links are lost at the very end too.
        with contextlib.suppress(pykka.ActorDeadError):
            self._owner.tell(act)

    def _tell_endpoint(self) -> None:
        now, endpoint = time.monotonic(), self._endpoint
        # An engine may be looked at until the very end of its agent.
        with contextlib.suppress(pykka.ActorDeadError):
            self._do(lambda replica: replica.update_endpoint(now, endpoint))
        self._wake.set()

    def dump(self) -> dict[str, Any]:
        """Return the state, fit for JSON."""
        return self._do(peerdump.describe) | {'not_ready': self._reason}

    def _run_rounds(self) -> None:
        while not self._done.is_set():
            self._run_round()
            pause = self._do(lambda replica: replica.draw_pause())
            self._wake.wait(pause)
            self._wake.clear()

    def _run_round(self) -> None:
        now = time.monotonic()

        def begin(replica: replicas.Replica):
            target = replica.choose_target()
            request = replica.make_request(now, target) if target else None
            return target, request

        target, request = self._do(begin)
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
            self._do(lambda replica: replica.note_failure(now, target))
            return None

        def take(replica: replicas.Replica):
            follow = replica.handle_reply(now, target, reply.ok_value)
            return follow, replica.configuration.snapshot

        follow, snapshot = self._do(take)
        self._delivery.offer(snapshot)
        return follow

    def _take_stored(self, stored: configstore.Snapshot) -> None:
        def act(replica: replicas.Replica) -> configreplica.Snapshot | None:
            replica.apply_stored(stored.head, stored.document)
            return replica.configuration.snapshot

        # The store may answer after this process has stopped.
        with contextlib.suppress(pykka.ActorDeadError):
            self._delivery.offer(self._do(act))
            self._wake.set()

    def _note_store(self, revision: int) -> None:
        with contextlib.suppress(pykka.ActorDeadError):
            self._do(
                lambda replica: replica.configuration.note_store_revision(
                    revision
                )
            )

    def _run_upkeep(self) -> None:
        while not self._done.is_set():
            now = time.monotonic()

            def keep(replica: replicas.Replica) -> tuple[bool, bool, str]:
                replica.expire_suspects(now)
                alone = len(replica.members.list_records()) == 1
                return replica.is_watcher, alone, replica.explain_unready()

            watcher, alone, self._reason = self._do(keep)
            pause = HOSTS_SELDOM_SECONDS
            if watcher:
                pause = self._outside.hosts_seconds
            if alone:
                pause = UPKEEP_SECONDS
            if now - self._hosts_read >= pause:
                self._hosts_read = now
                self._read_hosts(now)
            self._watch.switch(watcher)
            self._done.wait(UPKEEP_SECONDS)

    def _read_hosts(self, now: float) -> None:
        hosts = self._outside.read_hosts()
        if isinstance(hosts, result.Err):
            logging.warning('host list not read: %s', hosts.err_value)
            return
        listed = list(hosts.ok_value)

        def take(replica: replicas.Replica) -> None:
            replica.add_seeds(host.address for host in listed)
            replica.members.merge_host_list(
                now, {host.name for host in listed}
            )

        self._do(take)

    def _guard(self, target: Callable[[], None]) -> None:
        try:
            target()
        except Exception:
            if not self._done.is_set():
                # A process with half of its state would mislead peers.
                logging.fatal('fleet state broken', exc_info=True)

    def _start_thread(self, target: Callable[[], None], name: str) -> None:
        thread = threading.Thread(
            target=self._guard, args=(target,), name=name, daemon=True
        )
        thread.start()
        self._stack.callback(thread.join, _JOIN_SECONDS)

    def __enter__(self) -> 'FleetState':
        with self._stack as stack:
            stack.callback(self._outside.close)
            stack.callback(self._client.close)
            self._owner = _Owner.start(self._replica)
            stack.callback(self._owner.stop)
            self._tell_endpoint()
            self._start_thread(self._delivery.run, 'configuration')
            self._start_thread(self._run_upkeep, 'fleet-upkeep')
            self._start_thread(self._run_rounds, 'fleet-rounds')
            stack.callback(self._stop)
            self._stack = stack.pop_all()
        return self

    def _stop(self) -> None:
        self._done.set()
        self._wake.set()
        self._delivery.close()
        self._watch.switch(False)

    def __exit__(self, *details) -> None:
        self._stack.close()
