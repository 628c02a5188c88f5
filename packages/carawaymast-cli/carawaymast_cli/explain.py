"""Find the log lines of a request, job or task and summarize its outcome.

The lines are those that ``carawaymastd`` writes to stdout, one JSON object
each. Text before the first brace of a line, such as a timestamp added by a
log collector, is ignored.
"""

import json
import pathlib
import typing

__all__ = ['Line', 'find', 'read_files', 'summarize']

PREFIX = 'carawaymast:'
# Fields that identify a request, job, step or task.
ID_FIELDS = ('job', 'task', 'step', 'path', 'runs')
# Fields of every line, which ``Line.fields`` leaves out.
COMMON_FIELDS = ('timestamp', 'message_type', 'at_node', 'at_ms')


class Line(typing.NamedTuple):
    """A log event.

    ``at_s`` is the node's wall clock time since the epoch; ``what`` is the
    event type without the prefix.
    """

    at_s: float
    node: str
    what: str
    fields: dict[str, typing.Any]

    def text(self, start_s: float) -> str:
        """Return the event as text, with its time relative to ``start_s``."""
        fields = ' '.join(f'{k}={v}' for k, v in self.fields.items())
        return f'{self.at_s - start_s:9.3f} {self.node} {self.what} {fields}'


def read_files(paths: typing.Iterable[str]) -> typing.Iterator[Line]:
    """Yield the log events of files; skip lines that are not events."""
    for path in paths:
        with pathlib.Path(path).open(errors='replace') as file:
            for raw in file:
                line = _parse(raw)
                if line is not None:
                    yield line


def find(lines: typing.Iterable[Line], entity_id: str) -> list[Line]:
    """Return the lines whose id fields contain an id, sorted by time."""
    found = [line for line in lines if _has_id(line, entity_id)]
    return sorted(found, key=lambda line: line.at_s)


def summarize(lines: typing.Sequence[Line], entity_id: str) -> str:
    """Return a sentence on the outcome that ``lines`` show."""
    ended = _last(lines, 'job_ended')
    if ended is not None and ended.fields['phase'] == 'failed':
        return _summarize_failure(lines, ended, entity_id)
    if ended is not None and ended.fields['phase'] == 'completed':
        return _summarize_completion(lines, ended, entity_id)
    if ended is not None:
        phase = ended.fields['phase']
        return f'{entity_id} was {phase} {ended.fields["cause"]}.'
    refused = _last(lines, 'request_refused')
    accepted = _last(lines, 'job_accepted')
    if accepted is None and refused is not None:
        fields = refused.fields
        return (
            f'{entity_id} was refused with {fields["status"]} and did not '
            f'run: {fields["detail"]}; to be retried after '
            f'{fields["retry_after_s"]} s.'
        )
    if accepted is None and _last(lines, 'request_timed_out') is not None:
        return (
            f'{entity_id} was not answered in time; it may have been stored.'
        )
    if accepted is not None:
        return f'{entity_id} was accepted and has not ended in these logs.'
    return f'no line has the id {entity_id}; were its lines dropped?'


def _summarize_failure(lines, ended: Line, entity_id: str) -> str:
    reason = ended.fields['cause']
    runs = [
        f'run {line.fields["run_id"]} at {line.fields["worker"]}'
        for line in lines
        if line.what == 'run_ended'
        and line.fields['how'] == 'failed'
        and f'{line.fields["task"]} ' in reason
    ]
    where = ', '.join(runs) or 'its runs are not in these logs'
    return f'{entity_id} failed: {reason} ({where}).'


def _summarize_completion(lines, ended: Line, entity_id: str) -> str:
    took_ms = ended.fields['took_ms']
    objective_ms = ended.fields['objective_ms']
    outcome = 'in time' if took_ms <= objective_ms else 'late'
    reasons = [f'waited {w} ms for a start' for w in _first_wait_ms(lines)]
    # A stop reason that begins with "job " means that the job had ended, so
    # that the run is not repeated.
    reasons += [
        f'{line.fields["task"]} had to run again after it {verb} at '
        f'{line.fields["worker"]}, {line.fields["ran_ms"]} ms in'
        for line in lines
        if line.what == 'run_ended'
        for verb in [VERB_BY_HOW.get(line.fields['how'])]
        if verb is not None and not line.fields['why'].startswith('job ')
    ]
    longest = max(
        (
            line
            for line in lines
            if line.what == 'run_ended' and line.fields['how'] == 'done'
        ),
        key=lambda line: line.fields['ran_ms'],
        default=None,
    )
    if longest is not None:
        ran_ms = longest.fields['ran_ms']
        reasons.append(f'its longest run took {ran_ms} ms')
    return (
        f'{entity_id} was completed {outcome}, after {took_ms} ms of '
        f'{objective_ms} ms: {"; ".join(reasons)}.'
    )


VERB_BY_HOW: typing.Final[dict[str, str]] = {
    'failed': 'failed',
    'lapsed': 'was lost with its lease',
    'crashed': 'was on a worker that crashed',
    'left': 'was on a worker that left',
    'absent': 'did not arrive',
    'refused': 'was refused',
    'broken': 'lost a member of its gang',
    'alone': 'waited too long for its gang',
    'stopped': 'was stopped',
}


def _first_wait_ms(lines) -> list[int]:
    """Return the wait before the first start, in a list that may be empty."""
    waits = [
        line.fields['waited_ms']
        for line in lines
        if line.what == 'started_step'
    ]
    return waits[:1]


def _last(lines: typing.Sequence[Line], event_type: str) -> Line | None:
    found = [line for line in lines if line.what == event_type]
    return found[-1] if found else None


def _parse(raw: str) -> Line | None:
    start = raw.find('{')
    if start < 0:
        return None
    try:
        fields = json.loads(raw[start:])
    except ValueError:
        return None
    event_type = fields.get('message_type', '')
    if not event_type.startswith(PREFIX):
        return None
    at_s = float(fields.get('timestamp', 0))
    node = fields.get('at_node', '')
    rest = {k: v for k, v in fields.items() if k not in COMMON_FIELDS}
    return Line(at_s, node, event_type.removeprefix(PREFIX), rest)


def _has_id(line: Line, entity_id: str) -> bool:
    return any(
        entity_id in str(line.fields[name])
        for name in ID_FIELDS
        if name in line.fields
    )
