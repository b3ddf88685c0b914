"""Keys of the configuration in the platform's store."""

__all__ = [
    'CHUNKS',
    'GUARD',
    'HEAD',
    'HISTORY',
    'KEPT_REVISIONS',
    'build_chunk_key',
    'build_history_key',
]

_ROOT = '/dunlintide/config/'
HEAD = f'{_ROOT}head'
GUARD = f'{_ROOT}guard'
CHUNKS = f'{_ROOT}chunks/'
HISTORY = f'{_ROOT}history/'

# Number of heads that stay readable, including the one in force.
KEPT_REVISIONS = 50
_REVISION_DIGITS = 16


def build_chunk_key(digest: str) -> str:
    """Return the key of a chunk."""
    return f'{CHUNKS}{digest}'


def build_history_key(revision: int) -> str:
    """Return the history key of a revision; keys sort by revision."""
    return f'{HISTORY}{revision:0{_REVISION_DIGITS}d}'
