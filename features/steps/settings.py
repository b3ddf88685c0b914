"""Steps of settings.feature."""

import behave

from dunlintide_core import settingsfile

_FILE = 'agent.jsonc'
_AGENT = '''{
  // An agent beside the first range.
  "role": "agent", "name": "agent-1", "failure_domain": "austin-a",
  "region": "texas",   "admin_listen": "127.0.0.1:9080",
  /* the platform */ "store_url": "http://127.0.0.1:2379",
  "host_list_url": "http://127.0.0.1:2480/hosts",
  "link_listen": "127.0.0.1:7080", "endpoint": {"kind": "engine",
    "url": "http://127.0.0.1:8000", "model": "copy-7b", "version": "1",
    "layer_start":0, "layer_end":8, "layer_count":24},
  "timing": {"ping":1}
}'''
_ENTRY = '''{
  "role": "entry", "name": "entry-1", "failure_domain": "austin-a",
  "listen": "127.0.0.1:8080", "admin_listen": "127.0.0.1:9080",
  "link_listen": "127.0.0.1:7080", "store_url": "http://127.0.0.1:2379",
  "host_list_url": "http://127.0.0.1:2480/hosts"
}'''


@behave.given('the settings of an agent')
def take_agent(context):
    context.settings_text = _AGENT


@behave.given('the settings of an entry')
def take_entry(context):
    context.settings_text = _ENTRY


@behave.when('the text {old} of the settings becomes {new}')
def change_settings(context, old, new):
    assert context.settings_text.count(old) == 1, old
    context.settings_text = context.settings_text.replace(old, new)


@behave.when('the model and the layers are left out of the settings')
def leave_out_layers(context):
    text = context.settings_text
    begin, end = text.index(', "model"'), text.index('},\n  "timing"')
    context.settings_text = text[:begin] + text[end:]


@behave.then('the settings are accepted with a body limit of {size:d} bytes')
def check_entry(context, size):
    read = settingsfile.load_settings(context.settings_text, _FILE).unwrap()
    assert read.limits.max_body_bytes == size


@behave.then('the settings are accepted with layers {a:d} to {b:d} of {n:d}')
def check_agent(context, a, b, n):
    read = settingsfile.load_settings(context.settings_text, _FILE).unwrap()
    endpoint = read.endpoint.to_endpoint()
    layers = endpoint.layer_start, endpoint.layer_end, endpoint.layer_count
    assert layers == (a, b, n)


@behave.then('the settings are refused at {place} with {message}')
def check_refusal(context, place, message):
    problems = settingsfile.load_settings(
        context.settings_text, _FILE
    ).unwrap_err()
    lines = [str(problem) for problem in problems]
    start = f'{_FILE}:{place}: '
    assert any(x.startswith(start) and message in x for x in lines), lines
