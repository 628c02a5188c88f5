"""Defines and checks what callers submit: jobs, their steps and queues.

All types are immutable. Sizes are ``Resources``, times whole milliseconds.
"""

import typing

from carawaymast_core import resources

__all__ = [
    'AdvicePolicy',
    'InvalidSpecError',
    'JobSpec',
    'QueuePolicy',
    'Step',
    'Submission',
    'check_spec',
    'critical_path_ms',
    'objective_ms',
]

# Limits the memory that one job takes; the users' widest step has 60 tasks,
# so 16 times as many are allowed.
MAX_TASKS_PER_STEP = 1_000
# The users' jobs have at most 4 steps.
MAX_STEPS = 64
# From the platform's contract: a payload is a string of up to 4,000 bytes.
MAX_PAYLOAD_BYTES = 4_000
# To the users, a job that takes up to three times its objective is late; one
# that takes longer counts as lost.
WORTHLESS_AFTER_OBJECTIVES = 3
# One occurrence a minute for a week.
MAX_OCCURRENCES = 10_080
NON_NEGATIVE_FIELDS = (
    'estimate_ms',
    'max_per_worker',
    'latency_target_ms',
    'may_miss',
)


class AdvicePolicy(typing.NamedTuple):
    """How long the advice service takes, and how long tickets are valid.

    A call takes ``decide_ms`` plus ``per_worker_ms`` for each worker named in
    it.
    """

    decide_ms: float
    per_worker_ms: float
    valid_ms: int


class QueuePolicy(typing.NamedTuple):
    """A queue as operators declare it.

    ``service`` is the pool of workers that run its jobs, and ``rank`` 0 the
    most urgent. A job fails once a task has failed ``max_attempts`` times. For
    ``stretch_factor`` and ``target_ms`` see ``objective_ms``. ``advice`` is
    None if tasks need no tickets.
    """

    name: str
    service: str
    rank: int
    max_attempts: int
    stretch_factor: float
    target_ms: int
    advice: AdvicePolicy | None


class Step(typing.NamedTuple):
    """A step of ``count`` tasks of the same size.

    They may start once the steps with the numbers in ``after`` are done. A
    limit or target of 0 means that there is none.
    """

    count: int
    size: resources.Resources
    estimate_ms: int
    after: tuple[int, ...] = ()
    # The tasks start and end together.
    is_gang: bool = False
    # Tasks that are placed together run in one rack if possible.
    is_rack_local: bool = False
    # A task that was stopped continues from its last checkpoint.
    is_checkpointing: bool = False
    # Slow tasks may be copied, see ``speculation``.
    is_speculative: bool = False
    # The tasks run until they are stopped.
    is_service: bool = False
    # The tasks use the processor time that others leave idle.
    is_filler: bool = False
    # Of the workers that may run the tasks; '' for any.
    required_label: str = ''
    # Where its data is: preferred for all tasks; '' for none.
    data_rack: str = ''
    max_per_worker: int = 0
    # What the tasks run; fillers are throttled by image.
    image: str = ''
    # Of a service's tail latency.
    latency_target_ms: int = 0
    # How many tasks may be made unavailable at a time, see ``availability``.
    may_miss: int = 0

    @property
    def allocated_size(self) -> resources.Resources:
        """The part of its worker's capacity that a task is allocated.

        Fillers are allocated no processor time: they use what other tasks
        leave idle.
        """
        if self.is_filler:
            return self.size._replace(cpu_millis=0)
        return self.size


class JobSpec(typing.NamedTuple):
    """A job: its payload, its steps and, if it is scheduled, its times.

    ``occurrences`` is 0 for a job that runs once, as soon as possible.
    ``first_at_ms`` is in ms since 1970.
    """

    payload: str
    steps: tuple[Step, ...]
    occurrences: int = 0
    first_at_ms: int = 0
    interval_ms: int = 0


class Submission(typing.NamedTuple):
    """An accepted job with its queue's policy at the time of acceptance."""

    job_id: str
    queue: QueuePolicy
    spec: JobSpec
    accepted_at_ms: int


class InvalidSpecError(ValueError):
    """Raised if a job is not well formed.

    ``field`` is the name of a field of ``JobSpec`` or, if ``step`` is given,
    of the step with that number. The adapter translates it to the name that
    callers use.
    """

    def __init__(self, field: str, problem: str, step: int | None = None):
        super().__init__(f'step {step}: {field} {problem}')
        self.field = field
        self.problem = problem
        self.step = step


def check_spec(spec: JobSpec) -> None:
    """Raise ``InvalidSpecError`` unless the job is well formed."""
    size = len(spec.payload.encode())
    if size > MAX_PAYLOAD_BYTES:
        raise InvalidSpecError(
            'payload', f'has {size} bytes, at most {MAX_PAYLOAD_BYTES} allowed'
        )
    count = len(spec.steps)
    if not 1 <= count <= MAX_STEPS:
        raise InvalidSpecError(
            'steps', f'has {count} entries, 1 to {MAX_STEPS} allowed'
        )
    if not 0 <= spec.occurrences <= MAX_OCCURRENCES:
        raise InvalidSpecError(
            'occurrences',
            f'is {spec.occurrences}, 0 to {MAX_OCCURRENCES} allowed',
        )
    for number, step in enumerate(spec.steps):
        _check_step(number, step)
    _check_dependencies(spec.steps)


def critical_path_ms(steps: typing.Sequence[Step]) -> int:
    """Return the estimated duration of the longest chain of steps, in ms."""
    ends: list[int] = []
    for number, step in enumerate(steps):
        before = [ends[n] for n in step.after if n < number]
        ends.append(max(before, default=0) + step.estimate_ms)
    return max(ends, default=0)


def objective_ms(policy: QueuePolicy, steps: typing.Sequence[Step]) -> float:
    """Return how many ms after its acceptance a job should have ended."""
    return policy.stretch_factor * critical_path_ms(steps) + policy.target_ms


def _check_step(number: int, step: Step) -> None:
    if not 1 <= step.count <= MAX_TASKS_PER_STEP:
        raise InvalidSpecError(
            'count',
            f'is {step.count}, 1 to {MAX_TASKS_PER_STEP} allowed',
            number,
        )
    if min(step.size) < 0:
        raise InvalidSpecError(
            'size',
            f'is {tuple(step.size)}, no negative value allowed',
            number,
        )
    for field in NON_NEGATIVE_FIELDS:
        value = getattr(step, field)
        if value < 0:
            raise InvalidSpecError(
                field, f'is {value}, at least 0 allowed', number
            )


def _check_dependencies(steps: typing.Sequence[Step]) -> None:
    """Raise ``InvalidSpecError`` for unknown step numbers and cycles."""
    for number, step in enumerate(steps):
        for other in step.after:
            if not 0 <= other < len(steps):
                raise InvalidSpecError(
                    'after',
                    f'has {other}, 0 to {len(steps) - 1} allowed',
                    number,
                )
    done: set[int] = set()
    while len(done) < len(steps):
        ready = {
            number
            for number, step in enumerate(steps)
            if number not in done and done.issuperset(step.after)
        }
        if not ready:
            first = min(set(range(len(steps))) - done)
            raise InvalidSpecError('after', 'is part of a cycle', first)
        done |= ready
