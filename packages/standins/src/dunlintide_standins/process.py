"""Run a stand-in as a process with settings from command-line flags."""

from collections.abc import Callable
import signal
import threading
from typing import Any
from typing import Protocol

from absl import app
from absl import flags
import attrs
import msgspec

__all__ = [
    'Standin',
    'run',
    'setting',
]

_HELP = 'help'
_DEFINE = {
    bool: flags.DEFINE_bool,
    float: flags.DEFINE_float,
    int: flags.DEFINE_integer,
    str: flags.DEFINE_string,
}


class Standin(Protocol):
    """Interface of every stand-in.

    :ivar port: port that the stand-in listens on
    """

    port: int

    def start(self) -> None:
        """Start to serve requests."""

    def stop(self) -> None:
        """Stop at once."""


def setting(default: Any, text: str) -> Any:
    """Build an attrs field that is also a flag of the process.

    :param text: help text of the flag
    """
    return attrs.field(default=default, metadata={_HELP: text})


def _define_flags(config_class: type) -> None:
    for field in attrs.fields(config_class):
        define = _DEFINE[field.type]
        define(field.name, field.default, field.metadata[_HELP])


def _read_flags(config_class: type) -> Any:
    names = [field.name for field in attrs.fields(config_class)]
    return config_class(**{name: flags.FLAGS[name].value for name in names})


def run(config_class: type, build: Callable[[Any], Standin]) -> None:
    """Run a stand-in until a signal ends the process.

    :param config_class: attrs class whose fields are ``setting``s
    :param build: builds the stand-in from its configuration
    """
    # SIGTERM ends the process at once: no clean-up is needed.
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    signal.signal(signal.SIGINT, signal.SIG_DFL)
    _define_flags(config_class)

    def serve(_argv: list[str]) -> None:
        standin = build(_read_flags(config_class))
        standin.start()
        ready = {'ready': True, 'port': standin.port}
        print(msgspec.json.encode(ready).decode(), flush=True)
        threading.Event().wait()

    app.run(serve)
