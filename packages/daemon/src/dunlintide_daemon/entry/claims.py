"""Binding of a non-idempotent request to the one agent that may run it."""

from typing import Callable, Protocol
import uuid

import attrs
import result

from dunlintide_adapters.wire import link_pb2
from dunlintide_core import claims
from dunlintide_core import outcomes
from dunlintide_daemon.entry import fleet

__all__ = [
    'Binder',
    'BoundClaim',
    'Writer',
]


class Writer(Protocol):
    """Writes claims to the platform's store."""

    def bind(
        self, wanted: claims.Binding, timeout: float
    ) -> result.Result[claims.Binding, object]:
        """Write a claim, or return the one that the key already has."""

    def release(
        self, binding: claims.Binding, timeout: float
    ) -> result.Result[claims.Binding, object]:
        """Delete a claim whose request never ran and never will."""


@attrs.frozen
class BoundClaim:
    """The stored claim of a request, and the executor that it names.

    :ivar executor: the agent, None when that incarnation cannot be reached
    :ivar repeated: whether an earlier request made the claim
    """

    binding: claims.Binding
    executor: fleet.Agent | None
    repeated: bool

    def build_claim(self) -> link_pb2.Claim:
        """Build the protobuf form of the claim."""
        return link_pb2.Claim(
            key_digest=self.binding.key_digest,
            fingerprint=self.binding.fingerprint,
            executor_incarnation=self.binding.incarnation,
            attempt=self.binding.attempt,
            generation=self.binding.generation,
        )


def _refuse_store(detail: str) -> result.Err[outcomes.Refusal]:
    code = outcomes.FailCode.STORE_UNAVAILABLE
    return result.Err(outcomes.refuse(code, detail, retry_after=5.0))


@attrs.frozen
class Binder:
    """Binds requests to executors by claims in the store.

    :ivar wall_clock: returns the seconds since the epoch
    """

    writer: Writer
    fleet: fleet.Fleet
    wall_clock: Callable[[], float]

    def bind(
        self,
        team: str,
        key: str,
        fingerprint: bytes,
        proposed: fleet.Agent,
        retention: float,
        timeout: float,
    ) -> result.Result[BoundClaim, outcomes.Refusal]:
        """Bind a key to an executor, or find the one that it is bound to.

        The request must not be sent to any agent before this succeeds.

        :param proposed: the executor of a new claim
        :param retention: seconds for which the claim is kept
        :param timeout: seconds to wait for the store
        """
        wanted = claims.Binding(
            key_digest=claims.digest_key(team, key),
            fingerprint=fingerprint,
            executor=proposed.peer.name,
            incarnation=proposed.peer.incarnation,
            attempt=str(uuid.uuid4()),
            generation=proposed.load.generation,
            bound_at=int(self.wall_clock()),
            retention=int(retention),
        )
        answer = self.writer.bind(wanted, timeout)
        if isinstance(answer, result.Err):
            if isinstance(answer.err_value, claims.ReusedKey):
                code = outcomes.FailCode.KEY_REUSED
                detail = 'the key was used for a request with other content'
                return result.Err(outcomes.refuse(code, detail))
            return _refuse_store('the store did not accept the claim')
        stored = answer.ok_value
        executor = self.fleet.connect(stored.executor, stored.incarnation)
        repeated = stored.attempt != wanted.attempt
        return result.Ok(BoundClaim(stored, executor, repeated))

    def release(self, bound_claim: BoundClaim, timeout: float) -> bool:
        """Release a key whose request never ran and never will.

        :param timeout: seconds to wait for the store
        :returns: whether the store confirmed the release
        """
        answer = self.writer.release(bound_claim.binding, timeout)
        return isinstance(answer, result.Ok)
