"""Sends the leader's advice calls through all nodes of the cell.

The advice service answers one call at a time for each calling VM, so a leader
that made all calls itself would wait most of the time. Each node, including
the leader's own, has at most one call in flight.
"""

import typing

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import advice as advice_mod
from carawaymast_core.cell import advice_calls
from carawaymast_core.cell import jobs
from carawaymast_node import background
from carawaymast_node import channels
from carawaymast_node import fabric_pb2
from carawaymast_node.cells import fabric
from carawaymast_node.cells import ports
from carawaymast_node.cells import telemetry

__all__ = ['AdviceDispatcher', 'make_advise_handler']

# A step, and the ids of the workers to ask about.
Request = tuple[jobs.StepState, list[str]]
# Stands for this node where peers are named by their ids.
LOCAL_NODE = ''
# Calls that are expected to take longer leave a reserve of idle nodes. Short
# calls are made for tasks that must start within a second, while a burst of
# long calls lasts many seconds.
LONG_CALL_MS = 150
SHORT_CALL_RESERVE_SHARE = 0.25
MIN_SHORT_CALL_RESERVE = 2
# At the latest this long after the last one, the next long call comes before
# all short ones.
MAX_LONG_CALL_INTERVAL_MS = 1_000
# This long after the last short call, steps that are overdue for a long one
# may use the reserve.
RESERVE_IDLE_MS = 1_000
# The service's response time is known; links of 5 Mbit/s add up to 0.33 s. A
# peer that takes longer is disconnected or frozen, and another one is called.
PEER_SLACK_MS = 400
PEER_SLACK_FACTOR = 1.5


class AdviceDispatcher:
    """Distributes the leader's advice calls over the idle nodes."""

    def __init__(
        self,
        clock: clock_mod.Clock,
        advise: ports.Advise,
        max_workers: int,
        peers: fabric.Peers,
        log: telemetry.Telemetry,
        metrics: telemetry.Metrics,
        on_answer: typing.Callable[[], None],
    ):
        self._clock = clock
        self._advise = advise
        self._max_workers = max_workers
        self._peers = peers
        self._log = log
        self._metrics = metrics
        self._on_answer = on_answer
        self._busy_node_ids: set[str] = set()
        self._long_call_at_ms = self._short_call_at_ms = clock.now()
        # How many nodes may make long calls at a time.
        self.long_call_nodes = 1
        self._tasks = background.TaskSet()

    @property
    def is_calling(self) -> bool:
        """Whether any call is in flight."""
        return bool(self._busy_node_ids)

    def close(self) -> None:
        """Cancel all calls."""
        self._tasks.cancel()

    def dispatch(
        self,
        requests: typing.Iterable[Request],
        on_call: typing.Callable[[jobs.StepState], None] = lambda step: None,
    ) -> None:
        """Start a call through each idle node, in the order of ``requests``.

        ``requests`` yields steps with the ids of the workers to ask about; ids
        beyond ``max_workers`` are left for a later call. Short calls go
        through the fastest nodes, long ones through the slowest, whose links
        delay an answer by up to 0.3 s. ``on_call`` gets the step of each call.

        Long calls leave some nodes to short ones, unless there were none for a
        while. However few nodes there are, and however many short calls wait,
        a long one is made through the first idle node
        ``MAX_LONG_CALL_INTERVAL_MS`` after the one before.
        """
        members = sorted(self._peers.candidates(), key=lambda m: m.speed)
        member_by_id = {m.node_id: m for m in members}
        nodes = [*member_by_id, LOCAL_NODE]
        reserved_count = _short_call_reserve(len(nodes))
        self.long_call_nodes = len(nodes) - reserved_count
        idle = [n for n in nodes if n not in self._busy_node_ids]
        if not idle:
            return
        now_ms = self._clock.now()
        is_long_due = (
            now_ms - self._long_call_at_ms >= MAX_LONG_CALL_INTERVAL_MS
        )
        is_reserve_idle = now_ms - self._short_call_at_ms >= RESERVE_IDLE_MS
        if is_long_due:
            requests = _first_long_first(requests, self._is_long)
        for step, wanted_ids in requests:
            worker_ids = wanted_ids[: self._max_workers]
            is_long = self._is_long(step, worker_ids)
            if is_long:
                may_use_reserve = is_long_due or (
                    is_reserve_idle and advice_calls.is_overdue(step, now_ms)
                )
                if len(idle) <= reserved_count and not may_use_reserve:
                    continue
                is_long_due = False
                self._long_call_at_ms = now_ms
            else:
                self._short_call_at_ms = now_ms
            node_id = idle.pop(0 if is_long else -1)
            self._busy_node_ids.add(node_id)
            step.advice.is_call_pending = True
            on_call(step)
            call = self._call(
                node_id, member_by_id.get(node_id), step, worker_ids
            )
            self._tasks.spawn(call)
            if not idle:
                return

    def _is_long(self, step: jobs.StepState, wanted_ids: list[str]) -> bool:
        policy = step.job.submission.queue.advice
        workers = min(len(wanted_ids), self._max_workers)
        return advice_mod.call_ms(policy, workers) > LONG_CALL_MS

    async def _call(self, node_id, member, step, worker_ids) -> None:
        sent_at_ms = self._clock.now()
        policy = step.job.submission.queue.advice
        expected_ms = int(advice_mod.call_ms(policy, len(worker_ids)))
        try:
            if member is None:
                answer = await self._advise(step.name, worker_ids)
            else:
                answer = await self._call_peer(
                    member, step.name, worker_ids, expected_ms
                )
        except (ports.AdviceError, channels.PeerError) as error:
            self._log.log_event(
                'advice_failed',
                step=step.name,
                node=node_id,
                error=str(error),
            )
            step.advice.is_call_pending = False
            return
        finally:
            self._busy_node_ids.discard(node_id)
        elapsed_ms = self._clock.now() - sent_at_ms
        self._metrics.record_ms('advice_call', elapsed_ms)
        # The service issues tickets after ``expected_ms``; an answer that took
        # longer was delayed on its way. The earlier time is safe for expiry.
        step.advice.apply_answer(
            worker_ids,
            answer.ticket_by_worker,
            sent_at_ms + min(elapsed_ms, expected_ms),
            answer.valid_ms,
            sent_at_ms + elapsed_ms,
        )
        self._log.log_event(
            'advised',
            step=step.name,
            node=node_id,
            asked=len(worker_ids),
            granted=len(answer.ticket_by_worker),
            took_ms=elapsed_ms,
        )
        self._on_answer()

    async def _call_peer(
        self, member, step_name: str, worker_ids: list[str], expected_ms: int
    ) -> ports.Advice:
        message = fabric_pb2.AdviceCall(step=step_name, worker_ids=worker_ids)
        timeout_ms = int(PEER_SLACK_FACTOR * expected_ms) + PEER_SLACK_MS
        answer = await self._peers.call(member, 'Advise', message, timeout_ms)
        if not answer.answered:
            raise ports.AdviceError(
                f'node {member.node_id} got no answer from the service'
            )
        return ports.Advice(dict(answer.ticket_by_worker), answer.valid_ms)


def _short_call_reserve(nodes: int) -> int:
    """Return how many of the nodes long calls leave idle.

    At least one node is left to long calls.
    """
    reserve = max(
        MIN_SHORT_CALL_RESERVE, int(SHORT_CALL_RESERVE_SHARE * nodes)
    )
    return min(reserve, nodes - 1)


def _first_long_first(
    requests: typing.Iterable[Request],
    is_long: typing.Callable[[jobs.StepState, list[str]], bool],
) -> typing.Iterator[Request]:
    """Yield the first request for a long call, then the others in order."""
    requests = iter(requests)
    short = []
    for request in requests:
        if is_long(*request):
            yield request
            break
        short.append(request)
    yield from short
    yield from requests


def make_advise_handler(
    advise: ports.Advise | None,
    clock: clock_mod.Clock,
    log: telemetry.Telemetry,
) -> typing.Callable[..., typing.Awaitable[fabric_pb2.AdviceAnswer]]:
    """Return the handler of peers' ``Advise`` calls.

    It calls the advice service on behalf of the leader. ``advise`` is None on
    a platform without that service; all calls are then left unanswered.
    """

    async def handle(message: fabric_pb2.AdviceCall):
        if advise is None:
            return fabric_pb2.AdviceAnswer(answered=False)
        sent_at_ms = clock.now()
        worker_ids = list(message.worker_ids)
        try:
            advice = await advise(message.step, worker_ids)
        except ports.AdviceError as error:
            log.log_event(
                'advice_failed',
                step=message.step,
                node=LOCAL_NODE,
                error=str(error),
            )
            return fabric_pb2.AdviceAnswer(answered=False)
        log.log_event(
            'advice_relayed',
            step=message.step,
            asked=len(worker_ids),
            took_ms=clock.now() - sent_at_ms,
        )
        return fabric_pb2.AdviceAnswer(
            answered=True,
            ticket_by_worker=advice.ticket_by_worker,
            valid_ms=advice.valid_ms,
        )

    return handle
