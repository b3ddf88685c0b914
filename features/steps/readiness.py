"""Steps for the condition under which an entry reports ready."""

import re

import attrs
import behave

from dunlintide_core import configuration
from dunlintide_core import fleet
from dunlintide_daemon.entry import readiness

MODEL = 'copy-7b'
SERVICE = 'orders'


@attrs.frozen
class Offered:
    """The fields of a snapshot that the readiness check reads."""

    models: dict
    services: dict


@attrs.frozen
class Linked:
    """A linked agent, as the view of the fleet lists it."""

    endpoint: fleet.Endpoint

    @property
    def peer(self):
        return self


@attrs.frozen
class View:
    """Agents with an open link."""

    engines: list
    services: list

    def list_engines(self, model, version):
        return self.engines

    def list_services(self, service):
        return self.services


def link_engine(start, end):
    return Linked(
        fleet.Endpoint(
            fleet.EndpointKind.ENGINE,
            MODEL,
            layer_start=int(start),
            layer_end=int(end),
        )
    )


@behave.given(
    'an entry that offers a model of {layers:d} layers and a service'
)
def offer(context, layers):
    model = configuration.Model(MODEL, layers)
    service = configuration.Service(SERVICE)
    context.offered = Offered({MODEL: model}, {SERVICE: service})


@behave.when('it has links to {agents}')
def link(context, agents):
    ranges = re.findall(r'(\d+)-(\d+)', agents)
    engines = [link_engine(*one) for one in ranges]
    kind = fleet.EndpointKind.SERVICE
    services = [Linked(fleet.Endpoint(kind, service=SERVICE))]
    context.view = View(engines, services if 'service' in agents else [])


def list_reasons(context, settling):
    return readiness.list_reasons(
        False, '', context.offered, context.view, settling
    )


def check(context, state, settling):
    reasons = list_reasons(context, settling)
    assert (not reasons) == (state == 'ready'), (state, reasons)


@behave.then('it is {state} just after its start')
def check_start(context, state):
    check(context, state, settling=True)


@behave.then('it is {state} from some seconds later on')
def check_later(context, state):
    check(context, state, settling=False)


@behave.then('it names layer {layer:d} and the service')
def check_reasons(context, layer):
    model, service = list_reasons(context, settling=True)
    assert f'reach layer {layer} of' in model, model
    assert SERVICE in service, service
