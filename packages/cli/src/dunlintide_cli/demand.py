"""Command that shows who waits for capacity: demand."""

from typing import Any, Iterable, Mapping

import attrs
import cattrs
import result

from dunlintide_cli import commands
from dunlintide_cli import daemons
from dunlintide_cli import output
from dunlintide_core.pipeline import demandreport

__all__ = ['Demand']

_HEADERS = (
    'service',
    'priority',
    'member',
    'waiting',
    'seconds',
    'reason',
    'load',
    'starts/s',
    'reserved',
    'entries',
)
_NONE = '-'


@attrs.frozen
class _Service:
    """A service as an entry reports it.

    :ivar shared: whether its requests are ordered over all entries
    :ivar waiting: requests that wait at the entry
    """

    shared: bool = False
    waiting: int = 0


@attrs.frozen
class _Report:
    """Demand that one entry reports."""

    services: dict[str, _Service]
    rows: list[demandreport.Line]


def _read_report(
    state: daemons.State,
) -> result.Result[_Report, daemons.CallError]:
    """Read the demand of a dump, possibly of another version."""
    try:
        return result.Ok(cattrs.structure(state.dump['demand'], _Report))
    except (KeyError, TypeError, ValueError, cattrs.BaseValidationError):
        text = (
            'the dump has no demand; give the URL of an entry on a'
            " platform's store"
        )
        return result.Err(daemons.CallError(state.url, text))


def _list_unshared(reports: Iterable[_Report]) -> Mapping[str, int]:
    """Return the requests that wait where each entry orders its own."""
    found: dict[str, int] = {}
    for report in reports:
        for name, service in report.services.items():
            if service.waiting and not service.shared:
                found[name] = found.get(name, 0) + service.waiting
    return found


def _format(row: demandreport.Summary) -> tuple[Any, ...]:
    return (
        row.service,
        row.priority,
        row.team or _NONE,
        f'{row.waiting:g}',
        f'{row.seconds:.1f}',
        row.reason or _NONE,
        f'{row.load:g}',
        f'{row.started:g}',
        f'{row.reserved:.3f}',
        ', '.join(row.entries) or _NONE,
    )


class Demand(commands.Command):
    """``demand``."""

    name = 'demand'
    description = 'Show whose requests wait for capacity, and why.'
    options = [commands.JSON, commands.ADMIN]

    def handle(self) -> int:
        """Print a row for each service, priority and team."""
        urls = self.option('admin')
        if not urls:
            return self.reject('at least one --admin URL is required')
        for url in urls:
            if not url.startswith(('http://', 'https://')):
                return self.reject(
                    '--admin: expected a URL with http:// or https://, got'
                    f' {url!r}'
                )
        reports: dict[str, _Report] = {}
        errors = []
        for url, read in zip(urls, daemons.read_states(urls)):
            report = read.and_then(_read_report)
            if report.is_err():
                errors.append(str(report.err_value))
                continue
            # An entry that is named twice counts once.
            name = str(read.ok_value.dump.get('name') or url)
            reports[name] = report.ok_value
        self._print(reports, errors)
        for error in errors:
            self.fail(error)
        return output.ExitCode.FAILED if errors else output.ExitCode.OK

    def _print(
        self, reports: Mapping[str, _Report], errors: list[str]
    ) -> None:
        rows = demandreport.combine(
            {name: report.rows for name, report in reports.items()}
        )
        unshared = _list_unshared(reports.values())
        if self.as_json:
            output.print_json(
                {
                    'entries': sorted(reports),
                    'rows': list(rows),
                    'unshared': dict(unshared),
                    'errors': errors,
                }
            )
            return
        if rows:
            output.print_table(_HEADERS, map(_format, rows))
        elif reports:
            output.print_text('nothing waits, and nothing shared is in flight')
        for name, waiting in sorted(unshared.items()):
            output.print_text(
                f'{name}: {waiting} wait; each entry orders its own'
            )
