"""Lookups and waits shared by the steps for entries."""


def find_entry(context, name):
    for entry in context.scene.entries:
        if entry.name == name:
            return entry
    raise AssertionError(f'no entry {name}')


def wait_for_leaving(context):
    name = context.leaving.name

    def check():
        rows = context.entry.read_state()['endpoints']
        return any(row['name'] == name and row['draining'] for row in rows)

    context.scene.wait_until(check, 'the entry knows that it leaves')
