"""Leader actors of the models for which this entry is a candidate."""

import collections
import contextlib
import threading
from typing import Any, Iterable

import attrs
import pykka

from dunlintide_adapters import leaders as leader_keys
from dunlintide_adapters import links
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import fleet as core_fleet
from dunlintide_core import leadership
from dunlintide_core import placement
from dunlintide_core import settings as settings_module
from dunlintide_daemon.entry import configuration
from dunlintide_daemon.entry import engineview
from dunlintide_daemon.entry import fleet
from dunlintide_daemon.entry import leader

__all__ = [
    'Placement',
]

TICK_SECONDS = 0.25
_RESIGN_SECONDS = 3.0


def _send_message(actor: pykka.ActorRef, message: Any) -> None:
    # A dead actor is replaced at the next tick.
    with contextlib.suppress(pykka.ActorDeadError):
        actor.tell(message)


class Placement:
    """Runs a leader actor for each model that has this entry as candidate."""

    def __init__(
        self,
        settings: settings_module.Settings,
        keys: leader_keys.Leaders,
        fleet_view: fleet.Fleet,
        holder: configuration.Holder,
    ) -> None:
        """Initialize without actors.

        :param keys: leader keys in the store
        :param holder: holds the configuration, which lists the models
        """
        self._settings = settings
        self._keys = keys
        self._fleet = fleet_view
        self._holder = holder
        self._entries: tuple[leadership.Candidate, ...] = ()
        self._engine_view = engineview.EngineView(
            settings.name, settings.failure_domain, fleet_view
        )
        # Replaced rather than mutated, so that readers need no lock. A status
        # lost between two actors is published again at the next tick.
        self._actors: dict[str, pykka.ActorRef] = {}
        self._status: dict[str, leader.Status] = {}
        self._fleet_access = leader.FleetAccess(
            self._engine_view.take_snapshot, self._send
        )

    def update_hosts(self, hosts: Iterable[engineview.Host]) -> None:
        """Apply a new member list: engines and candidate entries."""
        hosts = list(hosts)
        self._engine_view.update_hosts(hosts)
        self._entries = tuple(
            leadership.Candidate(host.name, host.failure_domain)
            for host in hosts
            if host.role == core_fleet.Role.ENTRY and not host.is_leaving
        )

    def _send(self, name: str, order: link_pb2.Order) -> bool:
        """Send an order, over an on-demand link if necessary."""
        # Any incarnation will do: the order itself names the layers that
        # the agent must hold when it arrives.
        agent = self._fleet.connect(name, None)
        if agent is None or agent.leaving:
            return False
        return agent.link.send(link_pb2.Frame(order=order))

    def handle_reply(
        self, link: links.Link, reply: link_pb2.OrderReply
    ) -> None:
        """Pass an agent's answer to all leaders; only one knows the order."""
        for actor in self._actors.values():
            _send_message(actor, leader.Reply(reply))

    def run(self, done: threading.Event) -> None:
        """Tick the leaders until the event is set."""
        while not done.wait(TICK_SECONDS):
            snapshot = self._holder.snapshot
            if snapshot is not None:
                self._tick(snapshot)
            # An agent answers an order after executing it, which may take
            # minutes; its link must stay open until then.
            self._fleet.touch(
                order.agent
                for status in self._status.values()
                for order in status.orders
            )

    def _tick(self, snapshot: configuration.Snapshot) -> None:
        targets = collections.defaultdict(list)
        for model in snapshot.config.models:
            target = placement.Target(
                model.name, model.version, model.layers, model.replicas
            )
            targets[model.name].append(target)
        for name, versions in targets.items():
            self._tick_model(name, tuple(versions))
        for name in self._actors.keys() - targets.keys():
            _send_message(self._actors[name], leader.Resign())

    def _tick_model(
        self, name: str, targets: tuple[placement.Target, ...]
    ) -> None:
        candidates = leadership.pick_candidates(
            name, self._entries, self._settings.placement.candidates
        )
        is_candidate = self._settings.name in candidates
        actor = self._actors.get(name)
        if actor is None or not actor.is_alive():
            if not is_candidate:
                return
            actor = self._start(name)
        # At most one tick is queued, so that the mailbox does not grow
        # while the store is slow.
        if actor.actor_inbox.empty():
            _send_message(actor, leader.Tick(targets, is_candidate))

    def _start(self, name: str) -> pykka.ActorRef:
        def publish(status: leader.Status) -> None:
            self._status = self._status | {name: status}

        actor = leader.Leader.start(
            name,
            self._settings.name,
            self._keys,
            self._fleet_access,
            self._settings.placement,
            publish,
        )
        self._actors = self._actors | {name: actor}
        return actor

    def stop(self) -> None:
        """Resign all leaderships and stop the actors, after ``run`` ended."""
        resignations = [
            actor.ask(leader.Resign(), block=False)
            for actor in self._actors.values()
            if actor.is_alive()
        ]
        for future in resignations:
            try:
                future.get(timeout=_RESIGN_SECONDS)
            except (pykka.Timeout, pykka.ActorDeadError):
                # The lease expires on its own.
                continue
        for actor in self._actors.values():
            actor.stop(block=False)

    def describe(self) -> dict[str, Any]:
        """Return the status of each model for a dump."""
        return {
            name: attrs.asdict(status) for name, status in self._status.items()
        }
