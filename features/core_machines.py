"""State machines that check single classes of the core by random steps."""

import random

from hypothesis import stateful
from hypothesis import strategies as st

from carawaymast_core import attempts
from carawaymast_core import clock as clock_mod
from carawaymast_core import fairqueue
from carawaymast_core import jobs
from carawaymast_core import lease
from carawaymast_core import records
from carawaymast_core import resources
from carawaymast_core import shares
from carawaymast_core import table as table_mod
from carawaymast_core import worker_tracker

__all__ = [
    'WorkerTrackerMachine',
    'LeaseMachine',
    'QueueMachine',
    'ReplicaMachine',
    'ShareMachine',
]

KINDS = ('a', 'b', 'c', 'd')


def row(kind, rank=0, weight=1.0, limit=1.0, reserve=0.0):
    """Return a table row with shares as limit and reserve."""
    return table_mod.Row(
        kind,
        'team',
        rank,
        weight,
        table_mod.Amount(limit, True),
        table_mod.Amount(reserve, True),
        1_000,
        1_000,
        True,
    )


ROWS = st.fixed_dictionaries(
    {
        kind: st.builds(
            row,
            st.just(kind),
            rank=st.integers(0, 3),
            weight=st.floats(0.5, 4),
            limit=st.floats(0.3, 1),
            reserve=st.floats(0, 0.25),
        )
        for kind in KINDS
    }
)


class QueueMachine(stateful.RuleBasedStateMachine):
    """The fair queue, against sets of waiting and running requests."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = fairqueue.FairQueue()
        self.waiting: dict[str, fairqueue.Queued] = {}
        self.running: list[str] = []
        self.now_ms = 0
        self.sent = 0

    @stateful.initialize(rows=ROWS)
    def begin(self, rows):
        self.rows = rows
        self.queue.configure(table_mod.Table(1, rows))

    @stateful.rule(kind=st.sampled_from(KINDS), wait=st.integers(1, 500))
    def push(self, kind, wait):
        self.sent += 1
        queued = fairqueue.Queued(
            str(self.sent), kind, self.now_ms, self.now_ms + wait
        )
        self.queue.push(queued)
        self.waiting[queued.request_id] = queued

    @stateful.rule(slots=st.integers(1, 20))
    def pop(self, slots):
        queued = self.queue.pop_next(slots)
        if queued is None:
            for one in self.waiting.values():
                self._check_not_startable(one.kind, slots)
            return
        assert self.waiting.pop(queued.request_id) == queued
        earlier = [
            one
            for one in self.waiting.values()
            if one.kind == queued.kind
            and int(one.request_id) < int(queued.request_id)
        ]
        assert not earlier, 'a row is served in the order of arrival'
        self.running.append(queued.kind)

    def _check_not_startable(self, kind, slots):
        """Assert that a row that may not start has a reason.

        It is at its limit, or the free slots are kept for more urgent rows
        that do not use their reserve.
        """
        row = self.rows[kind]
        if len(self.running) >= slots:
            # With every slot in use the queue starts nothing.
            return
        if self.running.count(kind) + 1 > max(1, row.limit.of(slots)):
            return
        assert self.running.count(kind) + 1 > row.reserve.of(slots)
        unused = [
            max(0, other.reserve.of(slots) - self.running.count(name))
            for name, other in self.rows.items()
            if other.rank < row.rank
        ]
        assert slots - len(self.running) <= round(sum(unused))

    @stateful.rule(which=st.integers(0, 99), ran=st.floats(0, 900))
    def finish(self, which, ran):
        if self.running:
            kind = self.running.pop(which % len(self.running))
            self.queue.finish(kind, ran)

    @stateful.rule(which=st.integers(0, 99))
    def cancel(self, which):
        if self.waiting:
            ids = sorted(self.waiting)
            request_id = ids[which % len(ids)]
            assert self.queue.remove(request_id)
            del self.waiting[request_id]

    @stateful.rule(ms=st.integers(0, 200))
    def expire(self, ms):
        self.now_ms += ms
        due = {
            request_id
            for request_id, one in self.waiting.items()
            if one.expires_at_ms <= self.now_ms
        }
        popped = {q.request_id for q in self.queue.pop_expired(self.now_ms)}
        assert popped == due
        for request_id in due:
            del self.waiting[request_id]

    @stateful.invariant()
    def totals_match(self):
        self.queue.check_invariants()
        assert len(self.queue) == len(self.waiting)
        assert self.queue.running_total() == len(self.running)


class ShareMachine(stateful.RuleBasedStateMachine):
    """The division of slots, for any table and any demand."""

    @stateful.rule(
        rows=ROWS,
        total=st.integers(0, 200),
        demand=st.dictionaries(
            st.sampled_from(['n1', 'n2', 'n3']),
            st.dictionaries(st.sampled_from(KINDS), st.integers(0, 300)),
        ),
    )
    def divide(self, rows, total, demand):
        targets = shares.divide_entries(total, rows, demand)
        assert sum(targets.values()) <= total
        by_kind = dict.fromkeys(KINDS, 0)
        for demands in demand.values():
            for kind, count in demands.items():
                by_kind[kind] += count
        divided = shares.divide_rows(total, rows, by_kind)
        for kind, share in divided.items():
            assert share <= min(by_kind[kind], rows[kind].limit.of(total)) + 1
            kept = min(by_kind[kind], rows[kind].reserve.of(total))
            assert share >= kept - 1e-6, 'a row keeps its reserve'
        wanted = sum(
            min(by_kind[kind], rows[kind].limit.of(total)) for kind in KINDS
        )
        assert sum(divided.values()) >= min(total, wanted) - 1e-3, (
            'slots are idle that are wanted'
        )


class ReplicaMachine(stateful.RuleBasedStateMachine):
    """Replicas that start anywhere agree with one that read every record."""

    def __init__(self) -> None:
        super().__init__()
        self.log: list = []
        self.first = 0
        self.reference = records.Replica()
        self.readers: list[records.Replica] = []
        self.versions: dict[str, int] = {}

    def _append(self, record):
        self.log.append(record)
        return self.reference.apply(len(self.log) - 1, record)

    @stateful.rule(
        names=st.sets(st.sampled_from('uvwxyz'), min_size=1, max_size=3),
        stale=st.integers(0, 2),
        delete=st.booleans(),
    )
    def write(self, names, stale, delete):
        expects = {
            n: max(0, self.reference.get(n).version - stale) for n in names
        }
        should_apply = all(
            self.reference.get(n).version == expects[n] for n in names
        )
        value = None if delete else len(self.log)
        applied, _ = self._append(
            {'expects': expects, 'puts': dict.fromkeys(names, value)}
        )
        assert applied == should_apply

    @stateful.rule(which=st.integers(0, 99))
    def send_again(self, which):
        if self.log:
            self._append(self.log[which % len(self.log)])

    @stateful.rule(gap=st.integers(0, 3), seed=st.integers(0, 99))
    def snapshot(self, gap, seed):
        as_of = self.reference.next_offset
        state = self.reference.copy()
        parts = records.snapshot_parts(str(as_of), as_of, state)
        for index in range(gap):
            self._append({'expects': {'u': 99}, 'puts': {'u': index}})
        random.Random(seed).shuffle(parts)
        for part in parts:
            self._append({'snapshot': part})

    @stateful.rule(count=st.integers(0, 8))
    def trim(self, count):
        self.first = min(len(self.log), self.first + count)

    @stateful.rule()
    def start_reader(self):
        self.readers.append(records.Replica())

    @stateful.invariant()
    def readers_agree(self):
        for reader in self.readers:
            if reader.next_offset < self.first:
                reader.skip_to(self.first)
            for offset in range(reader.next_offset, len(self.log)):
                reader.apply(offset, self.log[offset])
            if reader.is_complete:
                assert reader.copy() == self.reference.copy()


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Two candidate owners of one worker, with clocks that drift.

    Requests and answers take any time or are lost. A node whose lease has
    not expired by its own clock must be the holder in the worker's register.
    """

    LEASE_MS = 6_000
    # In the 6 s of a lease this clock loses 120 ms, less than the guard.
    SLOW_CLOCK_RATE = 0.98

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 1_000
        self.register = lease.LeaseRegister(
            clock_mod.Clock(lambda: self.now_ms)
        )
        # The even clock runs at the rate of the worker's.
        rates = {'even': 1.0, 'slow': self.SLOW_CLOCK_RATE}
        self.held = {
            name: lease.HeldLease(
                clock_mod.Clock(lambda rate=rate: int(self.now_ms * rate))
            )
            for name, rate in rates.items()
        }
        self.rates = rates
        self.requests: list = []
        self.answers: list = []

    @stateful.rule(name=st.sampled_from(['even', 'slow']))
    def send_request(self, name):
        self.requests.append((name, int(self.now_ms * self.rates[name])))

    @stateful.rule(which=st.integers(0, 99), keep=st.booleans())
    def deliver_request(self, which, keep):
        if not self.requests:
            return
        name, sent_at_ms = self.requests.pop(which % len(self.requests))
        grant = self.register.acquire(name, self.LEASE_MS)
        if grant.is_granted and keep:
            self.answers.append((name, sent_at_ms, grant.epoch))

    @stateful.rule(which=st.integers(0, 99))
    def deliver_answer(self, which):
        if not self.answers:
            return
        name, sent_at_ms, epoch = self.answers.pop(which % len(self.answers))
        if epoch >= self.held[name].epoch:
            self.held[name].record_grant(sent_at_ms, self.LEASE_MS, epoch)

    @stateful.rule(
        name=st.sampled_from(['even', 'slow']),
        ms=st.sampled_from([1, 100, 1_000, 5_700, 6_100]),
    )
    def renew_and_wait(self, name, ms):
        self.send_request(name)
        self.deliver_request(len(self.requests) - 1, True)
        if self.answers:
            self.deliver_answer(len(self.answers) - 1)
        self.now_ms += ms

    @stateful.invariant()
    def holders_are_registered(self):
        for name, held in self.held.items():
            if held.is_held():
                assert self.register.is_current(held.epoch), name
        holders = [n for n, held in self.held.items() if held.is_held()]
        assert len(holders) <= 1, holders


class WorkerTrackerMachine(stateful.RuleBasedStateMachine):
    """Reservations, also pending ones, and tasks on three workers."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = clock_mod.ManualClock(1_000)
        self.tracker = worker_tracker.WorkerTracker(self.clock)
        self.capacity = resources.Resources(8_000, 8_000, 1)
        for number in range(3):
            self.tracker.add_worker(f'w{number}', self.capacity, 'd', [])
        self.size_by_ref: dict = {}
        self.running: set = set()
        self.refused: set = set()
        self.sent = 0

    @stateful.rule(
        cpu=st.integers(1, 8_000),
        memory=st.integers(1, 8_000),
        age=st.integers(0, 50),
        may_hold=st.booleans(),
    )
    def reserve(self, cpu, memory, age, may_hold):
        self.sent += 1
        ref = jobs.TaskRef(f'job{self.sent}', 't', 1)
        size = resources.Resources(cpu, memory, 0)
        claimant = attempts.Claimant(age, ref.job_id)
        self.size_by_ref[ref] = (size, claimant)
        self.tracker.reserve(ref, 'a', size, claimant, may_hold)

    @stateful.rule(which=st.integers(0, 999))
    def renew(self, which):
        ref = self._pick(self.size_by_ref, which)
        if ref is None:
            return
        size, claimant = self.size_by_ref[ref]
        found = self.tracker.reserve(ref, 'a', size, claimant, True)
        if ref in self.refused or ref in self.running:
            assert found is None

    @stateful.rule(which=st.integers(0, 999))
    def start(self, which):
        ref = self._pick(self.size_by_ref, which)
        if ref is None or ref in self.running:
            return
        # Some starts name a wrong worker or a wrong token.
        is_elsewhere = which % 7 == 0
        found = self.tracker.reserve(
            ref, 'a', *self.size_by_ref[ref], may_hold=True
        )
        worker_id = 'w0' if is_elsewhere or not found else found.worker_id
        token = found.token + (which % 5 == 0) if found else 0
        if not self.tracker.begin_start(ref, worker_id, token):
            self.refused.add(ref)
            return
        assert ref not in self.refused, 'a refused attempt never starts'
        self.running.add(ref)

    @stateful.rule(which=st.integers(0, 999))
    def end(self, which):
        ref = self._pick(self.running, which)
        if ref is not None:
            self.tracker.end(ref)
            self.running.discard(ref)
            self.tracker.refuse(ref)
            self.refused.add(ref)

    @stateful.rule(which=st.integers(0, 999))
    def release(self, which):
        ref = self._pick(self.size_by_ref, which)
        if ref is not None:
            self.tracker.release(ref)

    @stateful.rule(ms=st.integers(0, 4_000))
    def wait(self, ms):
        self.clock.advance(ms)
        self.tracker.expire()

    @stateful.invariant()
    def totals_match(self):
        self.tracker.check_invariants()
        assert self.tracker.running_total == len(self.running)

    def _pick(self, refs, which):
        refs = sorted(refs)
        return refs[which % len(refs)] if refs else None
