"""Jobs and their tasks as entities of the log.

The functions of this module build the records that change the state of a job:
acceptance, claim of an attempt, refused start, end of an attempt,
cancellation. Each record names the versions that it expects, so that only one
of two coordinators can claim an attempt.
"""

import enum
import typing

import msgspec

from carawaymast_core import errors
from carawaymast_core import records
from carawaymast_core import resources

__all__ = [
    'JobSpec',
    'JobState',
    'TaskRef',
    'TaskSpec',
    'TaskState',
    'Writes',
]

MAX_FAILED_ATTEMPTS = 4
MAX_TASKS = 500


class TaskSpec(typing.TypedDict):
    """A task as the caller submits it; ``run_ms`` is an estimate."""

    name: str
    cpu_millis: int
    memory_mb: int
    accelerators: int
    run_ms: int


class JobSpec(typing.TypedDict):
    """A job as the caller submits it."""

    kind: str
    team: str
    gang: bool
    tasks: list[TaskSpec]


class JobState(enum.StrEnum):
    """The state of a job."""

    ACCEPTED = 'accepted'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class TaskState(enum.StrEnum):
    """The state of a task; a task without an entity is pending."""

    PENDING = 'pending'
    CLAIMED = 'claimed'
    DONE = 'done'
    FAILED = 'failed'


ENDED_TASK_STATES = (TaskState.DONE, TaskState.FAILED)


class TaskRef(typing.NamedTuple):
    """One attempt at one task; ``str`` gives its name at the worker."""

    job_id: str
    task: str
    attempt: int

    def __str__(self) -> str:
        return f'{self.job_id}/{self.task}/{self.attempt}'


class Writes(typing.NamedTuple):
    """The expected versions and the new values of a record, by entity."""

    expects: dict[str, int]
    puts: dict[str, typing.Any]


def parse_ref(text: str) -> TaskRef:
    """Return the ``TaskRef`` that ``text`` is the ``str`` of."""
    job_id, task, attempt = text.split('/')
    return TaskRef(job_id, task, int(attempt))


def job_entity(job_id: str) -> str:
    """Return the name of the entity of a job."""
    return f'job/{job_id}'


def task_entity(job_id: str, task: str) -> str:
    """Return the name of the entity of a task."""
    return f'task/{job_id}/{task}'


def size_of(task: TaskSpec) -> resources.Resources:
    """Return the declared size of a task."""
    return resources.Resources(
        task['cpu_millis'], task['memory_mb'], task['accelerators']
    )


def check_spec(spec: JobSpec) -> None:
    """Check the tasks of a job.

    Raises ``SchedulerError`` of kind ``BAD_REQUEST`` if their number, a name
    or a size is not allowed.
    """
    tasks = spec['tasks']
    if not 1 <= len(tasks) <= MAX_TASKS:
        raise _bad_request(
            f'tasks has {len(tasks)} items, allowed: 1 to {MAX_TASKS}'
        )
    names = set()
    for task in tasks:
        _check_task(task)
        if task['name'] in names:
            raise _bad_request(f'task name {task["name"]!r} is used twice')
        names.add(task['name'])


def accept(job_id: str, spec: JobSpec, now_ms: int) -> Writes:
    """Return the writes that accept a new job at wall time ``now_ms``."""
    entity = job_entity(job_id)
    value = {
        'spec': spec,
        'state': JobState.ACCEPTED.value,
        'accepted_at_ms': now_ms,
    }
    return Writes({entity: 0}, {entity: value})


def claim(
    replica: records.Replica, worker_by_ref: typing.Mapping[TaskRef, str]
) -> Writes | None:
    """Return the writes that claim the given attempts, all or none.

    Returns None if a job is no longer open or an attempt is not the next one
    of its task.
    """
    expects: dict[str, int] = {}
    puts: dict[str, typing.Any] = {}
    for ref, worker_id in worker_by_ref.items():
        job = replica.get(job_entity(ref.job_id))
        task = replica.get(task_entity(ref.job_id, ref.task))
        if not is_open(job.value) or next_attempt(task.value) != ref.attempt:
            return None
        expects[job_entity(ref.job_id)] = job.version
        expects[task_entity(ref.job_id, ref.task)] = task.version
        puts[task_entity(ref.job_id, ref.task)] = {
            'state': TaskState.CLAIMED.value,
            'attempt': ref.attempt,
            'worker': worker_id,
            'failures': failures(task.value),
        }
    return Writes(expects, puts)


def end_attempt(
    replica: records.Replica, ref: TaskRef, outcome: str, now_ms: int
) -> Writes | None:
    """Return the writes that end an attempt, or None if it is not claimed.

    ``outcome`` is ``done``, ``failed``, ``preempted`` or ``never``. Only
    failed attempts count towards ``MAX_FAILED_ATTEMPTS``.
    """
    entity = task_entity(ref.job_id, ref.task)
    task = replica.get(entity)
    if not is_claimed(task.value, ref):
        return None
    failed = failures(task.value) + (outcome == 'failed')
    value = {
        'attempt': ref.attempt,
        'failures': failed,
        'at_ms': now_ms,
        'worker': task.value['worker'],
        'outcome': outcome,
    }
    if outcome == 'done':
        value['state'] = TaskState.DONE.value
    elif failed >= MAX_FAILED_ATTEMPTS:
        value['state'] = TaskState.FAILED.value
    else:
        value['state'] = TaskState.PENDING.value
    return Writes({entity: task.version}, {entity: value})


def finish(
    replica: records.Replica, job_id: str, now_ms: int
) -> Writes | None:
    """Return the writes that end a job whose tasks have all ended.

    Returns None if the job is not open or a task has not ended.
    """
    job = replica.get(job_entity(job_id))
    if not is_open(job.value):
        return None
    states = [
        task_state(replica, job_id, task['name'])
        for task in job.value['spec']['tasks']
    ]
    if any(state not in ENDED_TASK_STATES for state in states):
        return None
    has_failed = TaskState.FAILED in states
    state = JobState.FAILED if has_failed else JobState.DONE
    return _end_job(replica, job_id, state, now_ms)


def cancel(
    replica: records.Replica, job_id: str, now_ms: int
) -> Writes | None:
    """Return the writes that cancel a job, or None if it is not open."""
    job = replica.get(job_entity(job_id))
    if not is_open(job.value):
        return None
    return _end_job(replica, job_id, JobState.CANCELLED, now_ms)


def is_open(job_value: typing.Any) -> bool:
    """Return whether the value of a job entity is that of an open job."""
    return job_value is not None and job_value['state'] == JobState.ACCEPTED


def is_claimed(task_value: typing.Any, ref: TaskRef) -> bool:
    """Return whether ``ref`` is the claimed attempt of a task entity."""
    return (
        task_value is not None
        and task_value['state'] == TaskState.CLAIMED
        and task_value['attempt'] == ref.attempt
    )


def next_attempt(task_value: typing.Any) -> int | None:
    """Return the number of the next attempt, or None if none is due."""
    if task_value is None:
        return 1
    if task_value['state'] != TaskState.PENDING:
        return None
    return task_value['attempt'] + 1


def failures(task_value: typing.Any) -> int:
    """Return the number of failed attempts of a task."""
    return 0 if task_value is None else task_value['failures']


def task_state(replica: records.Replica, job_id: str, task: str) -> TaskState:
    """Return the state of a task."""
    value = replica.get(task_entity(job_id, task)).value
    return TaskState.PENDING if value is None else TaskState(value['state'])


def task_states(
    replica: records.Replica, job_id: str
) -> list[tuple[str, str, int, str | None]]:
    """Return name, state, attempt and worker of each task of a job."""
    value = replica.get(job_entity(job_id)).value
    if 'ended_tasks' in value:
        return [tuple(t) for t in msgspec.json.decode(value['ended_tasks'])]
    found = []
    for task in value['spec']['tasks']:
        stored = replica.get(task_entity(job_id, task['name'])).value or {}
        state = stored.get('state', TaskState.PENDING.value)
        attempt = stored.get('attempt', 0)
        found.append((task['name'], state, attempt, stored.get('worker')))
    return found


def _end_job(replica, job_id, state, now_ms) -> Writes:
    """Return the writes that end a job and move its tasks into its entity."""
    entity = job_entity(job_id)
    job = replica.get(entity)
    spec = job.value['spec']
    value = {
        'spec': dict(spec, tasks=[]),
        'state': state.value,
        'accepted_at_ms': job.value['accepted_at_ms'],
        'ended_at_ms': now_ms,
        # A JSON string takes a tenth of the memory of nested lists.
        'ended_tasks': msgspec.json.encode(
            task_states(replica, job_id)
        ).decode(),
    }
    expects = {entity: job.version}
    puts: dict[str, typing.Any] = {entity: value}
    for task in spec['tasks']:
        name = task_entity(job_id, task['name'])
        version = replica.get(name).version
        if version:
            expects[name] = version
            puts[name] = None
    return Writes(expects, puts)


def _check_task(task: TaskSpec) -> None:
    name = task['name']
    if not name or len(name) > 64 or '/' in name:
        raise _bad_request(
            f'task name is {name!r}, allowed: 1 to 64 characters, no /'
        )
    for field in ('cpu_millis', 'memory_mb', 'run_ms'):
        if task[field] <= 0:
            raise _bad_request(
                f'{field} of {name!r} is {task[field]}, allowed: > 0'
            )
    if task['accelerators'] < 0:
        count = task['accelerators']
        raise _bad_request(
            f'accelerators of {name!r} is {count}, allowed: >= 0'
        )


def _bad_request(detail: str) -> errors.SchedulerError:
    return errors.SchedulerError(errors.ErrorKind.BAD_REQUEST, detail)
