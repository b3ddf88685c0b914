"""Steps for the ledger of idempotency keys and their attempts."""

import attrs
import behave
from dunlintide_core import ledger as ledgers
import hypothesis
from hypothesis import strategies

INCARNATION = 7


def make_claim(key, generation=0, **changes):
    claim = ledgers.Claim(
        key.encode(), b'body', INCARNATION, 'first', generation
    )
    return attrs.evolve(claim, **changes)


@behave.given(
    'a ledger with {entries:d} entries, {size:d} answer bytes and a window '
    'of {window:d}'
)
def make_ledger(context, entries, size, window):
    limits = ledgers.Limits(entries, size, window)
    context.ledger = ledgers.Ledger(INCARNATION, limits)
    context.entries = {}


def open_claim(context, key, **changes):
    claim = make_claim(key, **changes)
    context.verdict, context.entry = context.ledger.open(claim)
    if context.verdict is ledgers.Verdict.START:
        context.entries[key] = context.entry


@behave.when('key "{key}" opens')
def open_key(context, key):
    open_claim(context, key)


@behave.when('key "{key}" opens with another body')
def open_changed(context, key):
    open_claim(context, key, fingerprint=b'other')


@behave.when('key "{key}" opens for another incarnation')
def open_gone(context, key):
    open_claim(context, key, incarnation=INCARNATION - 1)


@behave.when('key "{key}" opens by another attempt')
def open_again(context, key):
    open_claim(context, key, attempt='second')


@behave.when('key "{key}" is asked for before it opens')
def attach(context, key):
    context.verdict, _ = context.ledger.attach(make_claim(key))


@behave.when('key "{key}" finishes with {size:d} bytes')
def finish(context, key, size):
    context.ledger.finish(context.entries[key], f'answer of {key}', size)


@behave.when('{count:d} generations pass')
def pass_generations(context, count):
    for _ in range(count):
        context.ledger.tick()


@behave.then('the ledger says "{verdict}"')
def check_verdict(context, verdict):
    assert context.verdict == verdict, context.verdict


@behave.then('the ledger replays the answer of "{key}"')
def check_replay(context, key):
    assert context.verdict is ledgers.Verdict.REPLAY, context.verdict
    assert context.entry.answer == f'answer of {key}'


@behave.then('the ledger holds {count:d} entries and {size:d} bytes')
def check_size(context, count, size):
    assert len(context.ledger) == count
    assert context.ledger.answer_bytes == size


@behave.then('any order of opens, ends and generations runs each attempt once')
def check_orders(context):
    action = strategies.tuples(
        strategies.sampled_from(('open', 'open', 'attach', 'end', 'tick')),
        strategies.sampled_from('abc'),
        strategies.integers(0, 8),
    )

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(strategies.lists(action, max_size=40))
    def check(actions):
        ledger = ledgers.Ledger(INCARNATION, ledgers.Limits(4, 100, 2))
        running = {}
        ran = set()
        for kind, key, number in actions:
            claim = make_claim(key, number)
            if kind == 'open':
                verdict, entry = ledger.open(claim)
                if verdict is ledgers.Verdict.START:
                    # A claim keeps the generation it was created with, so
                    # each (key, generation) pair is a separate attempt.
                    assert (key, number) not in ran
                    assert key not in running
                    ran.add((key, number))
                    running[key] = entry
            elif kind == 'attach':
                ledger.attach(claim)
            elif kind == 'end' and key in running:
                ledger.finish(running.pop(key), key, number * 10)
            elif kind == 'tick':
                ledger.tick()
            assert ledger.answer_bytes <= 100
            assert len(ledger) <= 4

    check()
