"""Store calls, relayed by a peer while the store does not serve this VM.

A path that has gone silent is noticed by calls in flight that take far longer
than usual. A probe on a new connection then decides: if it is answered, only
the older connections are lost and are used no more, else calls go through
peers.
"""

import asyncio
import contextlib
import math
import typing

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import answer_times
from carawaymast_node import channels
from carawaymast_node import fabric_pb2
from carawaymast_node.cells import fabric
from carawaymast_node.cells import peer_relay
from carawaymast_node.cells import ports
from carawaymast_node.cells import telemetry

__all__ = ['StoreRoute']

# After a failure, calls go through peers until a probe is answered. The store
# often recovers within seconds, and a configuration must be in force in 2 s.
PROBE_INTERVAL_MS = 200
# How often calls in flight are checked for a path that has gone silent.
CHECK_INTERVAL_MS = 50
# Bounds on how long a call may take before the store is probed. The store
# usually answers in some 6 ms, and has been 80 times slower.
MIN_SILENCE_MS = 150
MAX_SILENCE_MS = 1_000
# A call whose connection was lost is repeated once on a new one.
MAX_DIRECT_TRIES = 2


class StoreRoute:
    """Sends store calls directly or through a peer.

    ``lost_at_ms`` is when the direct path was lost, None while calls are sent
    directly.
    """

    def __init__(
        self,
        link: ports.StoreLink,
        peers: fabric.Peers,
        clock: clock_mod.Clock,
        log: telemetry.Telemetry,
        metrics: telemetry.Metrics,
    ):
        self._link = link
        self._peers = peers
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._answer_times = answer_times.AnswerTimes(
            MIN_SILENCE_MS, MAX_SILENCE_MS
        )
        # When each direct call in flight was sent, and the latest time at
        # which one was sent that has been answered. Long polls are left out.
        self._sent_at_by_scope: dict[asyncio.Timeout, int] = {}
        self._long_polls: set[asyncio.Timeout] = set()
        self._answered_sent_at_ms = 0
        self.lost_at_ms: int | None = None

    @property
    def is_direct(self) -> bool:
        """Whether calls are sent directly."""
        return self.lost_at_ms is None

    async def keep_probing(
        self,
        probe: typing.Callable[[int], typing.Awaitable[typing.Any]],
    ) -> typing.NoReturn:
        """Probe the store while it seems silent or calls are relayed.

        ``probe`` makes a small call through ``send_anew``, with a time-out
        in ms.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            if self.is_direct and not self._is_silent():
                continue
            sent_at_ms = self._clock.now()
            try:
                await probe(2 * self._answer_times.timeout_ms)
            except ports.StoreError:
                self._abandon_calls()
                await asyncio.sleep(PROBE_INTERVAL_MS / 1000)
            else:
                # Any of the connections that are open may be silent.
                self._link.drop_connections()
                self._abandon_calls(sent_at_ms - MIN_SILENCE_MS)

    def _is_silent(self) -> bool:
        """Return whether no call was answered since one takes too long."""
        sent_at_ms = min(self._sent_at_by_scope.values(), default=None)
        if sent_at_ms is None or sent_at_ms < self._answered_sent_at_ms:
            return False
        silent_ms = self._clock.now() - sent_at_ms
        return silent_ms > self._answer_times.timeout_ms

    def _abandon_calls(self, sent_by_ms: float = math.inf) -> None:
        """End the direct calls that were sent by ``sent_by_ms``.

        A long poll may wait for records, so that its age shows nothing: all
        of them are repeated.
        """
        now_s = asyncio.get_running_loop().time()
        late = {
            scope
            for scope, sent_at_ms in self._sent_at_by_scope.items()
            if sent_at_ms <= sent_by_ms
        }
        for scope in late | self._long_polls:
            if not scope.expired():
                scope.reschedule(now_s)

    async def send(
        self, method: str, target: str, body: bytes, timeout_ms: float
    ) -> ports.StoreReply:
        """Send a call directly or through a peer.

        Raises ``StoreError`` if neither way gets an answer. A call may be
        sent twice, which is safe for all calls of this software.
        """
        failure: ports.StoreError | None = None
        # One try may have been carried out, whatever the others show.
        is_unknown = False
        for _ in range(MAX_DIRECT_TRIES):
            if not self.is_direct:
                break
            try:
                reply = await self.send_direct(
                    method, target, body, timeout_ms
                )
                return reply.after_tries(is_unknown)
            except ports.StoreError as error:
                failure = error
                is_unknown = is_unknown or error.is_unknown
        if failure is not None and _is_long_poll(target):
            # Its wait would occupy the peer; the next one is sent without.
            raise failure
        try:
            reply = await peer_relay.send(
                self._peers, method, target, body, timeout_ms
            )
            self._metrics.count('store_calls_relayed_total')
            return reply.after_tries(is_unknown)
        except ports.StoreError as error:
            is_unknown = is_unknown or error.is_unknown
            detail = f'{failure or "direct path down"}; relays: {error}'
            raise ports.StoreError(detail, is_unknown) from None

    async def send_direct(
        self, method: str, target: str, body: bytes, timeout_ms: float
    ) -> ports.StoreReply:
        """Send a call directly and record whether the store answers."""
        return await self._send_by(
            self._link.send, method, target, body, timeout_ms
        )

    async def send_anew(
        self, method: str, target: str, body: bytes, timeout_ms: float
    ) -> ports.StoreReply:
        """Send a call directly on a new connection, see ``send_direct``."""
        return await self._send_by(
            self._link.send_anew, method, target, body, timeout_ms
        )

    async def _send_by(
        self, send: ports.StoreSend, method, target, body, timeout_ms
    ) -> ports.StoreReply:
        started_ms = self._clock.now()
        is_long = _is_long_poll(target)
        try:
            async with asyncio.timeout(None) as scope:
                with self._in_flight(scope, started_ms, is_long):
                    found = await send(method, target, body, timeout_ms)
        except TimeoutError:
            self._metrics.count('store_calls_abandoned_total')
            raise ports.StoreError('the path has gone silent', True) from None
        except ports.StoreError as error:
            self._metrics.count('store_errors_total')
            self._set_direct(False, str(error))
            raise
        if not is_long:
            elapsed_ms = self._clock.now() - started_ms
            self._answer_times.add(elapsed_ms)
            self._answered_sent_at_ms = max(
                started_ms, self._answered_sent_at_ms
            )
            self._metrics.record_ms('store_call', elapsed_ms)
        self._set_direct(True, '')
        return found

    @contextlib.contextmanager
    def _in_flight(
        self, scope: asyncio.Timeout, started_ms: int, is_long: bool
    ) -> typing.Iterator[None]:
        """Register a direct call while it waits for its answer."""
        if is_long:
            self._long_polls.add(scope)
        else:
            self._sent_at_by_scope[scope] = started_ms
        try:
            yield
        finally:
            self._long_polls.discard(scope)
            self._sent_at_by_scope.pop(scope, None)

    def _set_direct(self, is_direct: bool, error: str) -> None:
        if is_direct != self.is_direct:
            self.lost_at_ms = None if is_direct else self._clock.now()
            self._log.log_event(
                'store_path', direct=is_direct, error=error or None
            )

    async def answer(
        self, message: fabric_pb2.StoreCall
    ) -> fabric_pb2.StoreAnswer:
        """Send a call on behalf of a peer, without relaying it again."""
        if not self.is_direct:
            return fabric_pb2.StoreAnswer(reached=False, not_sent=True)
        try:
            reply = await self.send_direct(
                message.method,
                message.target,
                message.body,
                message.timeout_ms,
            )
        except ports.StoreError as error:
            if error.is_unknown and not message.reads_not_sent:
                # An older node would take any answer for "not sent".
                channels.abort(f'the outcome is unknown: {error}')
            return fabric_pb2.StoreAnswer(
                reached=False, not_sent=not error.is_unknown
            )
        return fabric_pb2.StoreAnswer(
            reached=True, status=reply.status, body=reply.body
        )


def _is_long_poll(target: str) -> bool:
    """Return whether a call lasts until there is a record to read."""
    return 'wait_ms' in target
