"""Faults of a soak that people make: racing operators, bad requests."""

import copy
import json
import subprocess
import threading

from dunlintide_cli import files
from dunlintide_trials import blueprints
from dunlintide_trials import field as fields
from dunlintide_trials import operators

__all__ = ['FAULTS', 'MAX_CRASHES']

# What docs/design/poison.md states for one request and its repeats.
MAX_CRASHES = 3
_RACE = 'race'
_POISON = 'poison'
_SENDINGS = 4
_MAX_TOKENS = 4
_OPERATORS = ('anna', 'ben')


def _apply(
    field: fields.Field, operator: str, base: int, accepted: list[int]
) -> None:
    """Edit the newest rules and apply them over a revision."""
    document = copy.deepcopy(field.running.rules)
    document['rules'][-1]['name'] = f'default-{operator}-{base}'
    path = field.folder / f'rules-{operator}.jsonc'
    mark = files.format_base_comment(base)
    path.write_text(f'{mark}\n{json.dumps(document)}')
    store = field.running.plan.store.url
    try:
        report = operators.run_command(
            'rules', 'apply', str(path), '--store', store
        )
    except subprocess.TimeoutExpired:
        field.notes.append('race: a command took too long')
        return
    if report.exit_code == 0:
        accepted.append(files.parse_base_revision(path.read_text()) or 0)


def race_operators(field: fields.Field) -> fields.Heal | None:
    """Let two operators apply different rules over one revision."""
    if not field.take_name(_RACE):
        return None
    base = max([field.newest_revision, *field.accepted])
    accepted: list[int] = []

    def race() -> None:
        threads = [
            threading.Thread(target=_apply, args=(field, one, base, accepted))
            for one in _OPERATORS
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if len(accepted) > 1:
            field.wrong.append(f'two edits of revision {base} were accepted')
        field.accepted += accepted
        field.notes.append(f'race: {len(accepted)} accepted')
        field.release(_RACE)

    field.work(race)
    return lambda: None


def send_poison(field: fields.Field) -> fields.Heal | None:
    """Send a request that crashes engines, again and again."""
    if not field.take_name(_POISON):
        return None
    number = field.rng.getrandbits(32)
    prompt = f'{blueprints.CRASH_MARKER} {number:08x}'
    count = len(field.running.plan.entries)

    def send() -> None:
        for sending in range(_SENDINGS):
            caller = field.running.make_caller(
                sending % count, field.poison_team
            )
            answer = caller.complete(
                prompt, model=field.running.model, max_tokens=_MAX_TOKENS
            )
            caller.close()
            field.poisoned.append(answer)
            if answer.is_complete:
                field.wrong.append(f'{prompt}: complete')
        field.release(_POISON)

    field.work(send)
    return lambda: None


FAULTS: tuple[fields.Fault, ...] = (race_operators, send_poison)
