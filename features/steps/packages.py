"""Steps for the allowed imports between packages."""

import ast
import re

import behave

PREFIX = 'dunlintide_'
# Headers, calls and fields of the platform's protocol, which only the
# adapters may name.
PLATFORM_NAMES = re.compile(
    'Attempt-Id|Hop-Count|Server-Stamp|Token-Count|Prefix-Hash|At-Server'
    '|Not-Executed|Expect-Instance|Deadline-Ms|kv-txn|kv-range|kv-watch'
    '|kv-lease|route_list|route_type|traffic_split|handoff_mode',
    re.IGNORECASE,
)


def _split(text: str) -> set[str]:
    return {each.strip() for each in text.split(',') if each.strip()}


def _read_imports(source: str) -> set[str]:
    """Read the top-level names that a module imports."""
    names = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
    return {name.split('.')[0] for name in names}


@behave.when('the imports of package "{package}" are read')
def read_package(context, package):
    folder = context.root / 'packages' / package / 'src'
    if not folder.exists():
        folder = context.root / package / 'src'
    modules = list(folder.rglob('*.py'))
    assert modules, f'no modules in {folder}'
    context.package = package
    context.imports = set()
    for module in modules:
        context.imports |= _read_imports(module.read_text())


@behave.then('of the workspace it imports at most "{allowed}"')
@behave.then('of the workspace it imports at most ""')
def check_workspace(context, allowed=''):
    ours = {
        name.removeprefix(PREFIX)
        for name in context.imports
        if name.startswith(PREFIX)
    }
    extra = ours - _split(allowed) - {context.package}
    assert not extra, f'{context.package} imports {sorted(extra)}'


@behave.then('they leave out "{forbidden}"')
def check_forbidden(context, forbidden):
    found = context.imports & _split(forbidden)
    assert not found, f'{context.package} imports {sorted(found)}'


@behave.then(
    'outside of the platform package no module names its headers, calls or'
    ' fields'
)
def check_names(context):
    found = [
        str(module.relative_to(context.root))
        for module in (context.root / 'packages').rglob('*.py')
        if 'standins' not in module.parts
        and 'build' not in module.parts
        and PLATFORM_NAMES.search(module.read_text())
    ]
    assert not found, f'names of the platform in {found}'
