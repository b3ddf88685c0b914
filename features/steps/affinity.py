"""Steps for prefix cache views, their updates and the choice of chains."""

import random

import behave
from dunlintide_core import affinity
from dunlintide_core import cacheupdates
from dunlintide_core import plan
from dunlintide_core import prefixes
from dunlintide_core import selection
from dunlintide_standins.engine import cache

_WORD_CHARACTERS = 4
_COMMON_WORDS = 512
_OWN_WORDS = 320


class _Engine:
    """A stand-in engine's cache, with a simulated clock, and a view of it."""

    def __init__(self, tokens=65_536, lag=0.0, loss=0.0, limit=20_000):
        self.now = 0.0
        self.rng = random.Random(5)
        self.view = prefixes.View(limit)
        self.publisher = cacheupdates.Publisher(8, 16)
        self.updates = []
        self.prompts = []
        self._tokens, self._lag, self._loss = tokens, lag, loss
        self.start()

    def start(self):
        self.cache = cache.PrefixCache(
            self._tokens, self._lag, self._loss, lambda: self.now, self.rng
        )

    def run(self, team, words):
        text = ''.join(f'{word:04x}' for word in words)
        blocks = affinity.hash_blocks(team, text)
        session = f'session-{len(self.prompts)}'
        held = prefixes.Prefixes(blocks, len(text))
        self.view.add_session(session, held, len(words))
        self.cache.match(session, team, words)
        self.prompts.append((team, words, blocks))
        self.read()

    def read(self):
        found = self.cache.read_events(0)
        self.view.apply_events([_convert_event(event) for event in found])
        self.updates.append(self.publisher.publish(self.view))

    def count_held(self, team, words):
        """Count the leading prompt blocks that the engine holds in full."""
        tokens = self.cache.count_cached(team, words)
        return tokens * _WORD_CHARACTERS // affinity.BLOCK_CHARACTERS


def _convert_event(event):
    stored = event.kind == cache.STORED
    return prefixes.Event(
        event.sequence, stored, event.session, event.block, event.tokens
    )


def _draw_words(rng, count):
    return [rng.getrandbits(16) for _ in range(count)]


@behave.then('in {count:d} drawn pairs of teams and prompts no hash is shared')
def check_apart(context, count):
    rng = random.Random(1)
    for _ in range(count):
        one, other = (f'salt-{rng.getrandbits(40)}' for _ in range(2))
        text = ''.join(rng.choices('ab/0', k=rng.randrange(256, 2000)))
        # Neither another salt nor moving the boundary between salt and text
        # may produce the hash of another team's prompt.
        cut = rng.randrange(1, len(one))
        pairs = [(other, text), (one[:cut], one[cut:] + text)]
        mine = set(affinity.hash_blocks(one, text))
        assert mine
        for salt, prompt in pairs:
            assert mine.isdisjoint(affinity.hash_blocks(salt, prompt))


@behave.then('a longer prompt of one team shares the hashes of its start')
def check_start(context):
    text = 'pecan pie and coffee ' * 60
    short = affinity.hash_blocks('salt', text)
    assert affinity.hash_blocks('salt', text + text)[: len(short)] == short


@behave.given("a view of an engine's prefix cache")
def give_view(context):
    context.engine = _Engine()


@behave.given(
    "a view of an engine's prefix cache whose events are {lag:d} s late"
)
def give_late_view(context, lag):
    context.engine = _Engine(lag=float(lag))


@behave.given("a view of an engine's prefix cache of {tokens:d} tokens")
def give_small_view(context, tokens):
    context.engine = _Engine(tokens=tokens)


@behave.given('{lost:d} in 10 of its events are lost')
def lose_events(context, lost):
    context.engine = _Engine(tokens=2048, loss=lost / 10)


@behave.given("a view of an engine's prefix cache that keeps {limit:d} blocks")
def give_bounded_view(context, limit):
    context.engine = _Engine(limit=limit)


@behave.when('{count:d} prompts of one team with a common start are run')
def run_prompts(context, count):
    rng = random.Random(2)
    start = _draw_words(rng, _COMMON_WORDS)
    for _ in range(count):
        context.engine.run('salt-diner', start + _draw_words(rng, _OWN_WORDS))


@behave.when('{count:d} prompts of many teams are run')
def run_teams(context, count):
    rng = random.Random(3)
    for index in range(count):
        context.engine.run(f'salt-{index}', _draw_words(rng, _COMMON_WORDS))


@behave.then('the view holds each of them as far as the engine does')
def check_held(context):
    engine = context.engine
    for team, words, blocks in engine.prompts:
        depth = engine.view.count_cached(blocks)
        assert depth == engine.count_held(team, words) == len(blocks)


@behave.then('the block where the prompts part is published first')
def check_parting(context):
    blocks = context.engine.prompts[0][2]
    common = _COMMON_WORDS * _WORD_CHARACTERS // affinity.BLOCK_CHARACTERS
    published = [
        block for update in context.engine.updates for block in update.held
    ]
    assert next(context.engine.view.rank_blocks()) == blocks[common - 1]
    assert blocks[common - 1] in published, published


@behave.then('the view holds nothing of them before {lag:d} s have passed')
def check_late(context, lag):
    engine = context.engine
    engine.now = lag - 0.1
    engine.read()
    assert not len(engine.view)
    engine.now = lag + 0.1
    engine.read()


@behave.then('the view holds nothing that the engine does not hold')
def check_evicted(context):
    engine = context.engine
    held = 0
    for team, words, blocks in engine.prompts:
        depth = engine.view.count_cached(blocks)
        held += depth
        assert depth <= engine.count_held(team, words), depth
    assert held


@behave.then('the view is incomplete, with gaps counted')
def check_unsure(context):
    assert context.engine.view.is_incomplete and context.engine.view.gaps


@behave.when('what the engine holds is read anew')
def read_anew(context):
    sequence, blocks = context.engine.cache.list_blocks()
    held = [_convert_event(block) for block in blocks]
    context.engine.view.replace(sequence, held)


@behave.then('the view is complete again')
def check_sure(context):
    assert not context.engine.view.is_incomplete


@behave.when('the engine is started anew and runs one prompt')
def start_anew(context):
    context.engine.start()
    context.engine.view.reset()
    context.engine.run(
        'salt-feed', _draw_words(random.Random(4), _COMMON_WORDS)
    )


@behave.then('the view holds that prompt and no other')
def check_restarted(context):
    engine = context.engine
    *before, (_, _, last) = engine.prompts
    assert engine.view.count_cached(last) == len(last)
    assert not any(engine.view.count_cached(one) for _, _, one in before)


@behave.then('the view keeps no more than {limit:d} blocks')
def check_bounded(context, limit):
    assert 0 < len(context.engine.view) <= limit


@behave.then('no update has more than {limit:d} prefixes')
def check_news(context, limit):
    sizes = [len(one.held) + len(one.lost) for one in context.engine.updates]
    assert 0 < max(sizes) <= limit, sizes


@behave.then('entries are told of no more than {limit:d} prefixes at a time')
def check_told(context, limit):
    published = set()
    for update in context.engine.updates:
        published -= set(update.lost)
        published |= set(update.held)
        assert len(published) <= limit, len(published)
    context.published = published


@behave.then('a full snapshot equals the sum of all updates')
def check_all(context):
    update = context.engine.publisher.build_snapshot()
    assert update.all and set(update.held) == context.published


@behave.given('chains of which one holds drawn parts of a prompt')
def give_chains(context):
    context.stages = [
        plan.Stage(f'{layer}-{side}', layer, layer + 1, 100.0, 'domain')
        for layer in range(3)
        for side in ('held', 'other')
    ]
    context.rng = random.Random(6)


@behave.then(
    'it is chosen up to 1 + {gain:g} times its saved share, then by load alone'
)
def check_bound(context, gain):
    rng = context.rng
    taken = refused = 0
    for _ in range(300):
        chooser = selection.Chooser()
        chooser.adopt(
            plan.make_plan(context.stages, 3, plan.Links()), context.stages, 3
        )
        pairs = {
            chain.agents: chain
            for chain in (chooser.choose(0.0, rng) for _ in range(20))
        }
        if len(pairs) < 2:
            continue
        held, other = list(pairs.values())[:2]
        shares = {agent: rng.random() for agent in held.agents}
        saved = sum(shares.values()) / 3
        for _ in range(20):
            chooser.begin(other)
        count = rng.randrange(21, 60)
        for _ in range(count):
            chooser.begin(held)
        state = rng.getstate()
        by_load = chooser.choose(0.0, rng)
        rng.setstate(state)
        chosen = chooser.choose(0.0, rng, holders=shares)
        # The bound is checked before a request is added, so one more fits.
        fits = count <= (1 + gain * saved) * 20 + 1
        wanted = held if fits else by_load
        assert chosen.agents == wanted.agents, (count, saved)
        taken += fits
        refused += not fits and by_load is not held
    assert taken > 50 and refused > 50, (taken, refused)
