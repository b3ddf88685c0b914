"""Steps for the arithmetic of the stand-in models."""

import behave
from dunlintide_standins import reference
import hypothesis
from hypothesis import strategies

LAYERS = 8
MODEL = 'copy-7b'


def run_split(span, cuts, spans):
    """Run a model over spans of positions, split into layer ranges."""
    edges = [0, *sorted(cuts), LAYERS]
    ranges = [
        (
            reference.get_layer_weights(MODEL, '1', low, high),
            [0] * (high - low),
        )
        for low, high in zip(edges, edges[1:])
    ]
    final = []
    edges = [0, *sorted(spans), len(span)]
    for low, high in zip(edges, edges[1:]):
        values = reference.embed(span[low:high])
        for constants, states in ranges:
            values = reference.run_layers(constants, states, values)
        final += values
    return final


@behave.then('stand-in models give the same tokens however they are split')
def check_splits(context):
    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(
        strategies.text('ab ', max_size=30),
        strategies.sets(strategies.integers(1, LAYERS - 1)),
        strategies.randoms(use_true_random=False),
    )
    def check(prompt, cuts, rng):
        span = reference.tokenize(prompt)
        spans = {rng.randint(0, len(span)) for _ in range(3)}
        assert run_split(span, cuts, spans) == run_split(span, (), ())

    check()


def run_variant(order, words):
    """Run layers in the given order and return the token id."""
    right = reference.get_layer_weights(MODEL, '1', 0, LAYERS)
    constants = tuple(right[layer] for layer in order)
    span = reference.embed(reference.tokenize(' '.join(words)))
    final = reference.run_layers(constants, [0] * len(order), span)[-1]
    return reference.make_token(final, 0, 1).id


def vary(items):
    """Return variants of a list: items omitted, repeated or swapped."""
    variants = []
    for index, item in enumerate(items):
        variants.append(items[:index] + items[index + 1 :])
        variants.append(items[:index] + [item] + items[index:])
        if index:
            before = items[: index - 1] + [item, items[index - 1]]
            variants.append(before + items[index + 1 :])
    return variants


@behave.then(
    "each wrong use of a stand-in model's layers or positions "
    'changes its token'
)
def check_wrong_use(context):
    words = 'todays special is peach cobbler'.split()
    layers = list(range(LAYERS))
    variants = {run_variant(layers, words)}
    orders, prompts = vary(layers), vary(words)
    variants |= {run_variant(order, words) for order in orders}
    variants |= {run_variant(layers, prompt) for prompt in prompts}
    assert len(variants) == 1 + len(orders) + len(prompts), variants
