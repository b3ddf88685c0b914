"""Mechanisms of an entry that experiments can switch off, one by one.

The effect of a mechanism is measured by running the same load without it. All
mechanisms are on unless the settings name them.
"""

import enum

__all__ = ['Mechanism']


class Mechanism(enum.StrEnum):
    """A mechanism, by its name in the settings.

    :cvar RESCUE: a stalled run is moved to another chain
    :cvar USUAL_PAUSES: the time after which a run counts as stalled depends on
        the typical pauses of other runs
    :cvar LEFT_OUT_NAMES: a stalled run also suspects endpoints that other runs
        have ejected
    :cvar ACCUSATION: an endpoint that failed a run is ejected for a while
    :cvar HEARSAY: endpoints that other entries ejected are ejected here too
    :cvar REFUSAL_PAUSES: an endpoint that refused a request is avoided for a
        while
    :cvar TOLD_REFUSALS: refusals that other entries report count here too
    :cvar LOSS_QUESTIONS: suspected engines are probed, so that the layers of
        lost ones are reassigned
    :cvar MOVES: spare engines are moved to layers that were lost
    :cvar LEADING_ON: a leader keeps its role while the store is unavailable
    :cvar STANDING: streams under way are queued before fresh requests, and
        fresh ones before retried ones
    :cvar HOPELESS: requests that can't be served in time are refused at once
    :cvar RETURNED: requests that were refused before are queued as retried
    :cvar HEDGES: slow repeatable calls are sent to a second endpoint
    :cvar KEPT_BUDGET: part of the retry budget is reserved for streams under
        way
    :cvar CROSSING: chains cross a pipe only where no other has capacity
    :cvar PACES: engines that report that they are slow get fewer streams
    :cvar FIRST_READING: requests that arrive before the first read of the
        store wait for it
    :cvar SHARING: requests are ordered over all entries
    :cvar MINIMUM_SHARE: lower priorities keep a share of the starts
    :cvar TEAM_SHARES: teams of equal priority share capacity
    :cvar RESERVE: capacity is reserved for urgent requests
    :cvar SHARED_READING: entries read the store less often while others of
        their failure domain read the same content
    :cvar STOP_BY_LENGTH: an entry that stops refuses streams that it can't
        finish
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
    SHARING = 'sharing'
    MINIMUM_SHARE = 'minimum-share'
    TEAM_SHARES = 'team-shares'
    RESERVE = 'reserve'
    SHARED_READING = 'shared-reading'
    STOP_BY_LENGTH = 'stop-by-length'
