"""Mechanisms of an entry that experiments switch off, one by one.

What a mechanism is worth shows when the same load is played without it. All
are on unless the settings name them.
"""

import enum

__all__ = ['Mechanism']


class Mechanism(enum.StrEnum):
    """A mechanism by the name that settings give it.

    :cvar RESCUE: a run that stands still is moved to another chain
    :cvar USUAL_PAUSES: the time after which it is follows usual pauses
    :cvar LEFT_OUT_NAMES: what another run named counts for a still one
    :cvar ACCUSATION: an engine that failed a run gets nothing for a while
    :cvar HEARSAY: what other entries accuse is left out here too
    :cvar REFUSAL_PAUSES: an engine that refused is left for a while
    :cvar TOLD_REFUSALS: other entries' refusals count here too
    :cvar LOSS_QUESTIONS: doubted engines are asked, so that layers move
    :cvar MOVES: spare engines move to layers that were lost
    :cvar LEADING_ON: a leader leads on while the store is away
    :cvar STANDING: streams under way wait before fresh and returned ones
    :cvar HOPELESS: what can't be served in time is refused at once
    :cvar RETURNED: callers that were refused before wait differently
    :cvar HEDGES: slow calls that may be repeated are sent twice
    :cvar KEPT_BUDGET: a part of second sends is kept for streams under way
    :cvar CROSSING: chains cross a pipe only where none else has room
    :cvar PACES: engines that tell that they are slow get fewer streams
    :cvar FIRST_READING: early requests wait for the store's first reading
    """

    RESCUE = 'rescue'
    USUAL_PAUSES = 'usual-pauses'
    LEFT_OUT_NAMES = 'left-out-names'
    ACCUSATION = 'accusation'
    HEARSAY = 'hearsay'
    REFUSAL_PAUSES = 'refusal-pauses'
    TOLD_REFUSALS = 'told-refusals'
    LOSS_QUESTIONS = 'loss-questions'
    MOVES = 'moves'
    LEADING_ON = 'leading-on'
    STANDING = 'standing'
    HOPELESS = 'hopeless'
    RETURNED = 'returned'
    HEDGES = 'hedges'
    KEPT_BUDGET = 'kept-budget'
    CROSSING = 'crossing'
    PACES = 'paces'
    FIRST_READING = 'first-reading'
