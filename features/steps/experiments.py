"""Steps for settings with which experiments disable mechanisms."""

import json
import pathlib

import behave
from dunlintide_core.pipeline import mechanisms
from dunlintide_core.pipeline import settings
import edge_settings


def load(*off):
    experiments = {'off': list(off)} if off else {}
    text = json.dumps({**edge_settings.NEEDED, 'experiments': experiments})
    return settings.load_settings(text, 'one.jsonc')


@behave.then('settings that switch off any one mechanism are right')
def check_names(context):
    for mechanism in mechanisms.Mechanism:
        loaded = load(mechanism.value)
        assert loaded.ok_value.experiments.off == (mechanism,), loaded


@behave.then(
    'settings that switch off "{name}" are refused and name all mechanisms'
)
def check_refused(context, name):
    (problem,) = load(name).err_value
    assert all(each.value in str(problem) for each in mechanisms.Mechanism)


@behave.then('settings that say nothing switch nothing off')
def check_default(context):
    assert load().ok_value.experiments.off == ()


@behave.then('the template of the deployment switches nothing off')
def check_template(context):
    template = pathlib.Path('deploy/settings.jsonc').read_text()
    assert 'experiments' not in template
