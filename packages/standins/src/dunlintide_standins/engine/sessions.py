"""Sessions of the engine: KV state, positions and the record of runs."""

import collections
import itertools
from typing import Any

import attrs
from result import Err
from result import Ok
from result import Result

from dunlintide_standins.engine import messages
from dunlintide_standins import reference

__all__ = ['Holding', 'Run', 'Sessions']

MAX_RUNS = 100_000


@attrs.frozen
class Holding:
    """The layers ``[layer_start, layer_end)`` that the engine has loaded."""

    model: str
    version: str
    layer_start: int
    layer_end: int

    @property
    def weights(self) -> tuple[int, ...]:
        """Weights of the layers."""
        return reference.get_layer_weights(
            self.model, self.version, self.layer_start, self.layer_end
        )


@attrs.define
class Run:
    """Record of one epoch of a session on this engine.

    :ivar first_position: first position run, above 0 if the epoch continued
        from existing KV state
    :ivar positions: number of positions that were run
    :ivar layer_steps: positions times layers
    """

    request_id: str
    member: str
    idempotency_key: str
    epoch: int
    layer_start: int
    layer_end: int
    first_position: int
    positions: int = 0
    layer_steps: int = 0


@attrs.define
class _Session:
    epoch: int
    position: int
    prompt_tokens: int
    layers: list[int]
    inputs: list[int]
    admission_index: int
    run: Run | None = None
    is_preempted: bool = False


class Sessions:
    """KV state of all sessions; the caller holds the engine's lock.

    :ivar used: positions in the KV memory
    :ivar preempted: number of preemptions so far
    :ivar recomputed: positions that were run again after a preemption
    """

    def __init__(
        self, holding: Holding, kv_tokens: int, stop_modulus: int
    ) -> None:
        self.holding = holding
        self.used = 0
        self._kv_tokens = kv_tokens
        self._stop_modulus = stop_modulus
        self._sessions: dict[str, _Session] = {}
        self._runs: collections.deque[Run] = collections.deque(maxlen=MAX_RUNS)
        self._admission_indexes = itertools.count()
        self.preempted = 0
        self.recomputed = 0

    def __len__(self) -> int:
        return len(self._sessions)

    @property
    def usage(self) -> float:
        """Fraction of the KV memory that is used."""
        return self.used / self._kv_tokens

    def load(self, holding: Holding) -> None:
        """Replace the loaded layers and discard the state of all sessions."""
        self.holding = holding
        self._sessions.clear()
        self.used = 0

    def free(self, session_id: str) -> bool:
        """Free the KV state of a session; return whether it existed."""
        session = self._sessions.pop(session_id, None)
        if session is None:
            return False
        self.used -= 0 if session.is_preempted else session.position
        return True

    def runs(self) -> list[dict[str, Any]]:
        """Return the record of runs, oldest first."""
        return [attrs.asdict(run) for run in self._runs]

    def _record(self, step: messages.Step) -> Run:
        run = Run(
            step.session,
            step.member,
            step.idempotency_key,
            step.epoch,
            self.holding.layer_start,
            self.holding.layer_end,
            step.position,
        )
        self._runs.append(run)
        return run

    def _find_session(
        self, step: messages.Step
    ) -> Result[_Session | None, messages.ErrorCode]:
        """Find the session that a step continues, None if it starts one."""
        holding = self.holding
        if step.layers not in (None, (holding.layer_start, holding.layer_end)):
            return Err(messages.ErrorCode.LAYERS)
        session = self._sessions.get(step.session)
        if session is not None and step.epoch < session.epoch:
            return Err(messages.ErrorCode.STALE_EPOCH)
        if session is None or step.epoch > session.epoch:
            if step.position == 0:
                return Ok(None)
        if session is None:
            return Err(messages.ErrorCode.POSITION)
        # Truncate only on the first step of an epoch, so that a repeated step
        # is refused and not run twice.
        newer = step.epoch > session.epoch
        if step.truncate and newer and step.position < session.position:
            self._truncate(session, step.position)
        if step.position != session.position:
            return Err(messages.ErrorCode.POSITION)
        return Ok(session)

    def _truncate(self, session: _Session, position: int) -> None:
        """Discard the positions from one on.

        The layer states are recomputed from the inputs; a real engine drops
        KV blocks instead.
        """
        self.used -= session.position - position
        session.position = position
        del session.inputs[position:]
        session.layers = [0] * len(session.layers)
        weights = self.holding.weights
        reference.run_layers(weights, session.layers, session.inputs)

    def _fits(self, session: _Session | None, step, count: int) -> bool:
        old = self._sessions.get(step.session)
        freed = 0
        if session is None and old is not None and not old.is_preempted:
            freed = old.position
        return self.used - freed + count <= self._kv_tokens

    def _list_newer(self, session: _Session | None) -> list[_Session]:
        """List the sessions that use memory and are newer than another."""
        if session is None:
            return []
        return [
            other
            for other in self._sessions.values()
            if not other.is_preempted
            and other.admission_index > session.admission_index
        ]

    def preempt_for(self, session_id: str, count: int) -> int | None:
        """Preempt the newest sessions until a step of an older one fits.

        A preempted session is recomputed before its next step.

        :param count: positions of the step
        :returns: positions of the session to recompute first, None if the
            step must wait for older sessions
        """
        session = self._sessions.get(session_id)
        to_recompute = 0
        if session is not None and session.is_preempted:
            to_recompute = session.position
        newer = self._list_newer(session)
        free = self._kv_tokens - self.used
        obtainable = free + sum(other.position for other in newer)
        if obtainable < count + to_recompute:
            has_no_older = obtainable == self._kv_tokens
            # A step that is too large even alone is refused when it runs.
            return 0 if has_no_older and not to_recompute else None
        newer.sort(key=lambda other: other.admission_index)
        while self.used + count + to_recompute > self._kv_tokens:
            newest = newer.pop()
            newest.is_preempted = True
            self.used -= newest.position
            self.preempted += 1
        if to_recompute:
            session.is_preempted = False
            self.used += to_recompute
            self.recomputed += to_recompute
        return to_recompute

    def _open_session(
        self, session: _Session | None, step: messages.Step, count: int
    ) -> _Session:
        if session is None:
            self.free(step.session)
            layers = self.holding.layer_end - self.holding.layer_start
            prompt_tokens = step.prompt_tokens
            if not prompt_tokens:
                prompt_tokens = count - len(step.tokens or ())
            session = _Session(
                step.epoch,
                0,
                prompt_tokens,
                [0] * layers,
                [],
                next(self._admission_indexes),
            )
            self._sessions[step.session] = session
        if session.run is None or session.epoch != step.epoch:
            session.epoch = step.epoch
            session.run = self._record(step)
        return session

    def run(
        self, step: messages.Step, activations: list[int]
    ) -> messages.Result:
        """Run the layers over the span of a step.

        :param activations: input of the first loaded layer
        """
        count = len(activations)
        admitted = self._find_session(step)
        if admitted.is_err():
            return messages.build_failure(step, admitted.unwrap_err())
        if not self._fits(admitted.unwrap(), step, count):
            return messages.build_failure(step, messages.ErrorCode.KV_FULL)
        session = self._open_session(admitted.unwrap(), step, count)
        weights = self.holding.weights
        values = reference.run_layers(weights, session.layers, activations)
        session.inputs += activations
        session.position += count
        self.used += count
        session.run.positions += count
        session.run.layer_steps += count * len(weights)
        return self._answer(step, session, values)

    def _answer(
        self, step: messages.Step, session: _Session, values: list[int]
    ) -> messages.Result:
        result = messages.Result(
            step.session, step.epoch, step.position, len(values)
        )
        if not step.last_stage:
            result.activations = messages.pack(values)
            return result
        index = session.position - session.prompt_tokens
        token = reference.make_token(
            values[-1], index, step.max_tokens, self._stop_modulus
        )
        result.token = messages.Token(
            token.id, token.text, token.finish_reason
        )
        return result

    def export_state(self, session_id: str) -> messages.State | None:
        """Return a copy of the KV state of a session, None if unknown."""
        session = self._sessions.get(session_id)
        if session is None:
            return None
        return messages.State(
            self.holding.model,
            self.holding.version,
            self.holding.layer_start,
            self.holding.layer_end,
            session.epoch,
            session.position,
            session.prompt_tokens,
            list(session.layers),
            list(session.inputs),
        )

    def import_state(self, session_id: str, state: messages.State) -> bool:
        """Import a session, replacing one of the same or an older epoch.

        :returns: False if the layers differ, the KV memory is too full or
            the session exists in a newer epoch
        """
        existing = self._sessions.get(session_id)
        if existing is not None and existing.epoch > state.epoch:
            return False
        same_layers = attrs.astuple(self.holding) == (
            state.model,
            state.version,
            state.layer_start,
            state.layer_end,
        )
        freed = existing.position if existing is not None else 0
        if (
            not same_layers
            or self.used - freed + state.position > self._kv_tokens
        ):
            return False
        self.free(session_id)
        self._sessions[session_id] = _Session(
            state.epoch,
            state.position,
            state.prompt_tokens,
            state.layers,
            state.inputs,
            next(self._admission_indexes),
        )
        self.used += state.position
        return True
