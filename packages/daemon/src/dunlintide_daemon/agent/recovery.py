"""Resumption of sessions over a new chain after the loss of a stage.

Each stage starts the new epoch at the next one with ``Resume``; the reply
names the first position whose activations the next stage lacks. Only a
replacement runs positions again, on activations that the previous stage has
kept. Methods run under the gate's lock and must not block.
"""

import attrs

from dunlintide_adapters import engine as engines
from dunlintide_adapters import links
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import activations
from dunlintide_core import outcomes
from dunlintide_core import positions
from dunlintide_daemon.agent import sessions
from dunlintide_daemon.agent import stages
from dunlintide_daemon.agent import table as tables

__all__ = [
    'Recovery',
]

# Far below the maximum message size; an additional frame costs little.
MAX_SPAN_BYTES = 1 << 20


def _split(span: activations.Span) -> list[activations.Span]:
    width = len(span.data) // span.count
    size = max(1, MAX_SPAN_BYTES // width)
    return [
        activations.Span(
            span.position + start,
            min(size, span.count - start),
            span.data[start * width : (start + size) * width],
        )
        for start in range(0, span.count, size)
    ]


class Recovery:
    """Moves running sessions to other chains."""

    def __init__(
        self, table: tables.SessionTable, later_stages: stages.LaterStages
    ) -> None:
        self._table = table
        self._stages = later_stages

    def keep_activations(
        self, session: sessions.Session, step_result: engines.StepResult
    ) -> None:
        """Keep a result, to resend if the next stage is replaced."""
        span = activations.Span(
            step_result.position, step_result.count, step_result.activations
        )
        self._table.activation_store.add(session.request_id, span)

    def hold(self, session: sessions.Session) -> None:
        """Hold a session and those of later stages for a Resume."""
        if session.held_since is None:
            session.held_since = self._table.clock()
            self._table.cancel_next(session, hold=True)

    def send_resume(self, session: sessions.Session) -> None:
        """Send the new epoch to the next stage and ask what it lacks."""
        if session.is_last:
            return
        session.next_has_setup = True
        session.awaits_reply = True
        resume = link_pb2.Resume(
            request_id=session.request_id,
            epoch=session.epoch,
            stage=session.stage + 1,
            setup=sessions.build_setup(session, self._table.clock()),
            next_position=session.cursor.next_position,
        )
        self._send(session, link_pb2.Frame(resume=resume))

    def _send(self, session: sessions.Session, frame: link_pb2.Frame) -> bool:
        if self._table.peers.send(session.next.address, frame):
            return True
        code = outcomes.FailCode.LINK_LOST
        detail = 'the link to the next stage is backed up'
        self._table.fail(session, code, detail, session.next.agent)
        return False

    def _start_epoch(
        self,
        session: sessions.Session,
        epoch: int,
        chain: tuple[link_pb2.Stage, ...],
    ) -> None:
        self._cancel_removed(session, chain)
        session.epoch = epoch
        session.cursor.advance_epoch(epoch)
        session.held_since = None
        session.next_has_setup = False
        self._table.set_chain(session, chain)

    def _cancel_removed(
        self, session: sessions.Session, chain: tuple[link_pb2.Stage, ...]
    ) -> None:
        """Cancel this epoch at linked stages that are not in the new chain."""
        if not session.is_head:
            return
        cancel = link_pb2.Cancel(
            request_id=session.request_id, epoch=session.epoch, hold=True
        )
        kept = {stage.address for stage in chain}
        for stage in session.chain[1:]:
            peers = self._table.peers
            if stage.address in kept:
                continue
            if peers.get_incarnation(stage.address) is not None:
                peers.send(stage.address, link_pb2.Frame(cancel=cancel))

    def resume(
        self, session: sessions.Session, message: link_pb2.Open
    ) -> None:
        """Resume as head over the chain of a newer Open."""
        # A repeat of a claimed request has its own request id and epoch.
        epoch = max(session.epoch + 1, message.epoch)
        self._start_epoch(session, epoch, tuple(message.chain))
        session.known_tokens = session.generated
        self.send_resume(session)

    def handle_resume(
        self, link: links.Link, resume: link_pb2.Resume
    ) -> sessions.Session | None:
        """Apply the chain of a newer epoch from the previous stage.

        :returns: the session, None if it cannot continue here
        """
        session = self._table.find(resume.request_id)
        if session is not None:
            if session.is_head or resume.epoch <= session.epoch:
                self._table.counts.add_drop('stale-resume')
                return None
        if session is None or not self._matches_stage(resume):
            session = self._stages.start_session(link, resume)
            if session is None:
                return None
        else:
            session = self._update_session(session, link, resume)
        self._reply(session)
        self.send_resume(session)
        return session if self._table.is_current(session) else None

    def _matches_stage(self, resume: link_pb2.Resume) -> bool:
        chain = resume.setup.chain
        if not 0 < resume.stage < len(chain):
            return False
        return self._table.identity.matches(chain[resume.stage])

    def _update_session(
        self,
        session: sessions.Session,
        link: links.Link,
        resume: link_pb2.Resume,
    ) -> sessions.Session:
        setup = resume.setup
        self._start_epoch(session, resume.epoch, tuple(setup.chain))
        self._table.counts.add('stage-resumed')
        session.stage = resume.stage
        session.upstream = link
        session.known_tokens = setup.known_tokens
        if session.is_last:
            session = self._restore_sampled(session)
        else:
            self._table.peers.connect(session.next.address)
        self._table.peers.connect(session.head.address)
        end = session.cursor.next_position
        session.ran_ahead = end > session.boundary
        return session

    def _restore_sampled(self, session: sessions.Session) -> sessions.Session:
        """Rewind to sample a token again that is no longer kept."""
        wanted = [
            (index, sampled)
            for index, sampled in session.sampled
            if index >= session.known_tokens
        ]
        session.sampled.clear()
        session.sampled.extend(wanted)
        if session.ran_end < session.boundary:
            return session
        if wanted and wanted[0][0] == session.known_tokens:
            return session
        return self._rewind(session, session.boundary - 1)

    def _rewind(
        self, session: sessions.Session, position: int
    ) -> sessions.Session:
        """Discard the positions from a given one on.

        :returns: copy that replaces the session, so that late results of
            the original are dropped
        """
        self._table.counts.add('rewound')
        self._table.activation_store.truncate(session.request_id, position)
        last = position - session.prompt_tokens
        sampled = [pair for pair in session.sampled if pair[0] <= last]
        copy = attrs.evolve(
            session,
            cursor=positions.build_rewound(session.epoch, position),
            ran_end=min(position, session.ran_end),
            ran_ahead=False,
            truncate=True,
            sampled=type(session.sampled)(sampled, sessions.MAX_SAMPLED),
        )
        self._table.replace_copy(copy)
        return copy

    def _reply(self, session: sessions.Session) -> None:
        reply = link_pb2.Resume(
            request_id=session.request_id,
            epoch=session.epoch,
            next_position=session.cursor.next_position,
            reply=True,
        )
        session.upstream.send(link_pb2.Frame(resume=reply))

    def handle_reply(self, reply: link_pb2.Resume) -> None:
        """Resend the activations that the next stage lacks."""
        session = self._table.find(reply.request_id)
        if session is None or session.epoch != reply.epoch:
            self._table.counts.add_drop('stale-resume')
            return
        wanted = reply.next_position
        if session.ran_ahead and wanted <= session.boundary:
            session = self._rewind(session, session.boundary)
            self._reply(session)
        session.awaits_reply = False
        if wanted >= session.ran_end:
            return
        kept = self._table.activation_store
        span = kept.read(session.request_id, wanted, session.ran_end)
        if span is None:
            self._rerun(session)
            return
        self._table.counts.add('replayed-positions', span.count)
        for part in _split(span):
            if not self._send_span(session, part):
                return

    def _send_span(
        self, session: sessions.Session, span: activations.Span
    ) -> bool:
        step = link_pb2.Step(
            request_id=session.request_id,
            epoch=session.epoch,
            stage=session.stage + 1,
            position=span.position,
            count=span.count,
            activations=span.data,
        )
        return self._send(session, link_pb2.Frame(step=step))

    def _rerun(self, session: sessions.Session) -> None:
        """Run all positions again, since their activations are not kept."""
        self._table.counts.add('run-again')
        self._table.activation_store.drop(session.request_id)
        self._table.free(session)
        copy = attrs.evolve(
            session,
            cursor=positions.build_rewound(session.epoch, 0),
            ran_end=0,
            ran_ahead=False,
            truncate=False,
        )
        self._table.replace_copy(copy)
        if not copy.is_head:
            self._reply(copy)
            return
        count = copy.prompt_tokens + copy.generated
        copy.cursor.accept(copy.epoch, 0, count)
        job = sessions.build_prompt_job(
            copy, copy.prompt, tuple(copy.tokens), count
        )
        self._table.submit(job)
