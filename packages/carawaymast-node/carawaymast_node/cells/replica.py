"""What a node follows of the store: jobs, queues and the other nodes."""

import asyncio
import typing

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import records
from carawaymast_core.cell import view as view_mod
from carawaymast_node.cells import fabric
from carawaymast_node.cells import intake
from carawaymast_node.cells import ports
from carawaymast_node.cells import routing
from carawaymast_node.cells import tail as tail_mod
from carawaymast_node.cells import telemetry

__all__ = ['PART', 'Replica', 'Source', 'join']

# The one cell's partition of each topic.
PART = 0
# Pause between reads of jobs. The leader is told of new ones directly, and
# callers' questions go to it, so that this bounds only what is late when such
# a call fails.
FOLLOW_PAUSE_MS = 800
LEAD_PAUSE_MS = 200
# Members change rarely, and a call to one that is gone fails by itself.
MEMBER_PAUSE_MS = 3_000
# Members and configuration change rarely; a silent long poll is noticed
# within its wait and a second.
RARE_WAIT_MS = 1_000
# A node that the others do not know yet only takes longer ways.
JOIN_RETRY_MS = 500


class Source(typing.NamedTuple):
    """Where a replica reads."""

    store: ports.StorePort
    clock: clock_mod.Clock
    log: telemetry.Telemetry
    # Whether this node reaches the store by itself.
    is_direct: typing.Callable[[], bool]

    def tail(
        self,
        topic: str,
        apply: typing.Callable[[ports.StoredItem], None],
        pause_ms: typing.Callable[[], int] = lambda: 0,
        wait_ms: int = RARE_WAIT_MS,
    ) -> tail_mod.Tail:
        """Return a tail of the cell's partition of a topic."""
        return tail_mod.Tail(
            self.store,
            self.clock,
            self.log,
            topic,
            PART,
            apply,
            wait_ms,
            pause_ms,
            self.is_direct,
        )


class Replica:
    """The jobs, the queues in force and the members, as read so far."""

    def __init__(
        self,
        source: Source,
        platform: ports.Platform,
        peers: fabric.Peers,
        is_leading: typing.Callable[[], bool],
        on_job: typing.Callable[[str], None],
    ):
        self._decode = platform.ingress.decode_declarations
        self._is_leading = is_leading
        self._on_job = on_job
        self._log = source.log
        self.view = view_mod.JobView(self._note_unreadable)
        self.routes = routing.Routes(source.log)
        self.intake_tail = source.tail(
            intake.TOPIC, self._take_intake, self._pause_ms
        )
        self.state_tail = source.tail(
            'state', self._take_state, self._pause_ms
        )
        self.declared_tail = source.tail(
            platform.settings.declarations_topic, self._take_declared
        )
        self.member_tail = source.tail(
            fabric.MEMBERS_TOPIC, peers.take, lambda: MEMBER_PAUSE_MS
        )

    @property
    def is_usable(self) -> bool:
        """Whether callers can be served: queues are known, jobs were read."""
        return (
            self.routes.version is not None
            and self.intake_tail.current_as_of_ms is not None
        )

    def steps(self) -> list[typing.Coroutine]:
        """Return what has to run for as long as the node does."""
        return [
            self.intake_tail.run(),
            self.state_tail.run(),
            self.declared_tail.run(),
            self.member_tail.run(),
        ]

    async def wait_current(self, since_ms: int) -> None:
        """Wait until the view has all jobs that were stored at ``since_ms``.

        A job is in the intake or, if the leader took it in, in the state.
        """
        async with asyncio.TaskGroup() as group:
            for tail in (self.intake_tail, self.state_tail):
                group.create_task(tail.wait_current(since_ms))

    def take_delivered(self, key: str, value: bytes) -> None:
        """Apply an intake record, read or told by a peer.

        Raises ``ValueError`` if the record cannot be read.
        """
        job_id = self.view.take_intake(key, value)
        if job_id is not None:
            self._on_job(job_id)

    def _note_unreadable(self, key: str, error: str) -> None:
        self._log.note('record_unreadable', key=key, error=error)

    def _pause_ms(self) -> int:
        return LEAD_PAUSE_MS if self._is_leading() else FOLLOW_PAUSE_MS

    def _take_intake(self, item: ports.StoredItem) -> None:
        self.take_delivered(item.key, item.value)

    def _take_state(self, item: ports.StoredItem) -> None:
        self.view.take_state(item.key, item.value)

    def _take_declared(self, item: ports.StoredItem) -> None:
        declared = self._decode(item)
        if declared is not None:
            self.routes.take(declared)


async def join(
    store: ports.StorePort,
    own: records.MemberRecord,
    log: telemetry.Telemetry,
) -> None:
    """Tell the other nodes where this one is, however long that takes."""
    item = ports.KeyValue(own.node_id, records.encode(own))
    while True:
        try:
            await store.append(fabric.MEMBERS_TOPIC, PART, [item])
            return
        except ports.StoreError as error:
            log.note('join_failed', error=str(error))
            await asyncio.sleep(JOIN_RETRY_MS / 1000)
