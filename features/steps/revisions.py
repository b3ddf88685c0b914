"""Steps of revisions.feature."""

import behave
import hypothesis
from hypothesis import strategies
import msgspec

from dunlintide_core import revisions

_ITEMS = strategies.lists(
    strategies.fixed_dictionaries(
        {'name': strategies.text(max_size=8), 'value': strategies.integers()}
    ),
    min_size=1,
    max_size=200,
)
_DOCUMENTS = strategies.dictionaries(
    strategies.sampled_from(['members', 'rules', 'services']), _ITEMS
)


def _encode(document):
    return msgspec.json.encode(document, order='deterministic')


def _store(document, parent, change_id):
    chunks = revisions.split(_encode(document)).unwrap()
    head = revisions.make_head(parent, chunks, change_id, 'ann', '', 1.0)
    return head, {chunk.digest: chunk.body for chunk in chunks}


@behave.then('any document of named items joins from its chunks unchanged')
def join_any(context):
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(_DOCUMENTS)
    def check(document):
        head, bodies = _store(document, None, 'c')
        head = revisions.decode_head(revisions.encode_head(head)).unwrap()
        assert revisions.join(head, bodies).unwrap() == _encode(document)

    check()


@behave.given('a stored document of {teams:d} teams and {rules:d} rules')
def store_document(context, teams, rules):
    context.document = {
        'members': [{'name': f'team-{i:05}'} for i in range(teams)],
        'rules': [{'name': f'rule-{i:05}'} for i in range(rules)],
    }
    context.head, context.bodies = _store(context.document, None, 'first')


@behave.when('a rule is put in at position {position:d}')
def insert_rule(context, position):
    context.before = _encode(context.document)
    context.document['rules'].insert(position, {'name': 'new'})
    context.after, context.new_bodies = _store(
        context.document, context.head, 'second'
    )


@behave.then('{least:d} to {most:d} chunks are new')
def count_new_chunks(context, least, most):
    new = revisions.find_missing(context.after, context.bodies)
    assert least <= len(new) <= most, new
    assert len(context.after.chunks) > 20


@behave.then('the new head follows the old one and knows both changes')
def check_new_head(context):
    assert context.after.revision == context.head.revision + 1
    assert context.after.parent == context.head.revision
    assert revisions.has_change(context.after, 'first')
    assert revisions.has_change(context.after, 'second')
    assert not revisions.has_change(context.head, 'second')


@behave.then(
    'the difference of the documents has {added:d} added and'
    ' {removed:d} removed lines'
)
def count_difference(context, added, removed):
    text = revisions.diff_documents(context.before, _encode(context.document))
    lines = text.splitlines()[2:]
    assert sum(line.startswith('+') for line in lines) == added, text
    assert sum(line.startswith('-') for line in lines) == removed, text


@behave.then('leaving out a chunk is reported with its digest')
def leave_out_chunk(context):
    digest = context.head.chunks[1]
    rest = {k: v for k, v in context.bodies.items() if k != digest}
    damage = revisions.join(context.head, rest).unwrap_err()
    assert damage.missing == (digest,), damage


@behave.then('an altered chunk is reported as damage')
def alter_chunk(context):
    digest = context.head.chunks[1]
    altered = context.bodies[digest].replace(b'team-', b'team_', 1)
    assert altered != context.bodies[digest]
    bodies = {**context.bodies, digest: altered}
    assert revisions.join(context.head, bodies).is_err()


@behave.then('bytes that are no head are reported as damage')
def decode_no_head(context):
    assert revisions.decode_head(b'{"revision": "x"}').is_err()
