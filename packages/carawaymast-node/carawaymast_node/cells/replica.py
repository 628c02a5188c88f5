"""A node's replica of the store: jobs, queues and the other nodes."""

import asyncio
import typing

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import view as view_mod
from carawaymast_node.cells import configuration as configuration_mod
from carawaymast_node.cells import fabric
from carawaymast_node.cells import intake
from carawaymast_node.cells import ports
from carawaymast_node.cells import routing
from carawaymast_node.cells import telemetry
from carawaymast_node.cells import topic_reader as topic_reader_mod

__all__ = ['PART', 'Replica', 'ReaderFactory']

# The number of the cell's partition in each topic; there is only one cell.
PART = 0
# Between reads of jobs. New jobs are also sent to the leader directly, and
# callers' requests go to it, so that this only bounds the delay after such a
# call has failed.
FOLLOWER_READ_INTERVAL_MS = 800
LEADER_READ_INTERVAL_MS = 200
# Members change rarely, and a call to one that is gone just fails.
MEMBERS_READ_INTERVAL_MS = 3_000
# A long poll without an answer is detected within its wait and a second.
LONG_POLL_WAIT_MS = 1_000


class ReaderFactory(typing.NamedTuple):
    """Creates the topic readers of a node."""

    store: ports.StorePort
    clock: clock_mod.Clock
    log: telemetry.Telemetry
    # Whether this node reaches the store directly.
    is_direct: typing.Callable[[], bool]

    def topic_reader(
        self,
        topic: str,
        apply: typing.Callable[[ports.StoredItem], None],
        read_interval_ms: typing.Callable[[], int] = lambda: 0,
        wait_ms: int = LONG_POLL_WAIT_MS,
    ) -> topic_reader_mod.TopicReader:
        """Return a reader of the cell's partition of a topic."""
        return topic_reader_mod.TopicReader(
            self.store,
            self.clock,
            self.log,
            topic,
            PART,
            apply,
            wait_ms,
            read_interval_ms,
            self.is_direct,
        )


class Replica:
    """The jobs, the queues in force and the members, as read so far."""

    def __init__(
        self,
        reader_factory: ReaderFactory,
        platform: ports.Platform,
        peers: fabric.Peers,
        is_leading: typing.Callable[[], bool],
        on_job: typing.Callable[[str], None],
    ):
        self._decode = platform.ingress.decode_declarations
        self._is_leading = is_leading
        self._on_job = on_job
        self._log = reader_factory.log
        self.view = view_mod.JobView(self._log_unreadable)
        routes = routing.Routes(reader_factory.log)
        apply_ms = platform.settings.declarations_apply_ms
        self.intake_reader = reader_factory.topic_reader(
            intake.TOPIC, self._apply_intake_item, self._read_interval_ms
        )
        self.state_reader = reader_factory.topic_reader(
            'state', self._apply_state_item, self._read_interval_ms
        )
        self.declarations_reader = reader_factory.topic_reader(
            platform.settings.declarations_topic,
            self._apply_declarations_item,
            wait_ms=configuration_mod.long_poll_wait_ms(apply_ms),
        )
        self.configuration = configuration_mod.Configuration(
            reader_factory.clock, routes, self.declarations_reader, apply_ms
        )
        self.members_reader = reader_factory.topic_reader(
            fabric.MEMBERS_TOPIC,
            peers.apply_update,
            lambda: MEMBERS_READ_INTERVAL_MS,
        )

    @property
    def is_usable(self) -> bool:
        """Whether callers can be served: queues and jobs have been read."""
        return (
            self.configuration.routes.version is not None
            and self.intake_reader.current_as_of_ms is not None
        )

    @property
    def has_members(self) -> bool:
        """Whether the records of all nodes have been read."""
        return self.members_reader.current_as_of_ms is not None

    def coroutines(self) -> list[typing.Coroutine]:
        """Return the coroutines that run for as long as the node does."""
        return [
            self.intake_reader.run(),
            self.state_reader.run(),
            self.declarations_reader.run(),
            self.members_reader.run(),
        ]

    async def wait_current(self, since_ms: int) -> None:
        """Wait until the view has all jobs that were stored at ``since_ms``.

        A job is in the intake or, if the leader stored it, in the state.
        """
        async with asyncio.TaskGroup() as group:
            for reader in (self.intake_reader, self.state_reader):
                group.create_task(reader.wait_current(since_ms))

    def apply_intake_record(self, key: str, value: bytes) -> None:
        """Apply an intake record, read from the store or sent by a peer.

        Raises ``ValueError`` if the record cannot be read.
        """
        job_id = self.view.apply_intake(key, value)
        if job_id is not None:
            self._on_job(job_id)

    def _log_unreadable(self, key: str, error: str) -> None:
        self._log.log_event('record_unreadable', key=key, error=error)

    def _read_interval_ms(self) -> int:
        return (
            LEADER_READ_INTERVAL_MS
            if self._is_leading()
            else FOLLOWER_READ_INTERVAL_MS
        )

    def _apply_intake_item(self, item: ports.StoredItem) -> None:
        self.apply_intake_record(item.key, item.value)

    def _apply_state_item(self, item: ports.StoredItem) -> None:
        self.view.apply_state(item.key, item.value)

    def _apply_declarations_item(self, item: ports.StoredItem) -> None:
        declarations = self._decode(item)
        if declarations is not None:
            self.configuration.routes.apply_update(declarations)
