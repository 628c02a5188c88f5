"""Store calls that go through a peer while the store turns this VM away."""

import asyncio

from carawaymast_core import clock as clock_mod
from carawaymast_node import fabric_pb2
from carawaymast_node.cells import fabric
from carawaymast_node.cells import ports
from carawaymast_node.cells import telemetry

__all__ = ['StoreRoute']

# After a failure the store is reached through peers for so long; then this
# node tries by itself again.
AVOID_DIRECT_MS = 900
# Peers tried for one call. More would only load a store that is down.
MAX_RELAYS = 2
# The peer's own call and one hop in each direction.
HOP_SLACK_MS = 250


class StoreRoute:
    """Sends store calls directly or through a peer."""

    def __init__(
        self,
        direct: ports.StoreSend,
        peers: fabric.Peers,
        clock: clock_mod.Clock,
        log: telemetry.Telemetry,
        metrics: telemetry.Metrics,
    ):
        self._direct = direct
        self._peers = peers
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._avoid_until_ms = 0
        self._is_direct = True

    @property
    def is_direct(self) -> bool:
        """Whether this node reaches the store by itself."""
        return self._clock.now() >= self._avoid_until_ms

    async def send(
        self, method: str, target: str, body: bytes, timeout_ms: float
    ) -> tuple[int, bytes]:
        """Send a call; raises ``StoreError`` if no way leads to an answer.

        A call may be sent twice: all calls of the product may be repeated.
        """
        failure: ports.StoreError | None = None
        if self.is_direct:
            try:
                return await self.send_direct(method, target, body, timeout_ms)
            except ports.StoreError as error:
                failure = error
        try:
            return await self._relay(method, target, body, timeout_ms)
        except ports.StoreError as error:
            is_unknown = error.is_unknown or (
                failure is not None and failure.is_unknown
            )
            detail = f'{failure or "avoided"}; relays: {error}'
            raise ports.StoreError(detail, is_unknown) from None

    async def send_direct(
        self, method: str, target: str, body: bytes, timeout_ms: float
    ) -> tuple[int, bytes]:
        """Send a call from this node and note whether the store answers."""
        started_ms = self._clock.now()
        try:
            found = await self._direct(method, target, body, timeout_ms)
        except ports.StoreError as error:
            self._metrics.count('store_errors_total')
            self._note(False, str(error))
            raise
        if 'wait_ms' not in target:
            elapsed_ms = self._clock.now() - started_ms
            self._metrics.record_ms('store_call', elapsed_ms)
        self._note(True, '')
        return found

    def _note(self, is_direct: bool, error: str) -> None:
        if not is_direct:
            self._avoid_until_ms = self._clock.now() + AVOID_DIRECT_MS
        if is_direct != self._is_direct:
            self._is_direct = is_direct
            self._log.note('store_path', direct=is_direct, error=error or None)

    async def _relay(
        self, method, target, body, timeout_ms
    ) -> tuple[int, bytes]:
        message = fabric_pb2.StoreCall(
            method=method,
            target=target,
            body=body,
            timeout_ms=int(timeout_ms),
        )
        is_unknown = False
        for peer in self._peers.candidates()[:MAX_RELAYS]:
            try:
                answer = await self._peers.call(
                    peer, 'CallStore', message, timeout_ms + HOP_SLACK_MS
                )
            except fabric.PeerError:
                is_unknown = True
                continue
            if answer.reached:
                self._metrics.count('store_calls_relayed_total')
                return answer.status, answer.body
            self._peers.avoid(peer)
        await asyncio.sleep(0)
        raise ports.StoreError('no peer reaches the store', is_unknown)

    async def answer(
        self, message: fabric_pb2.StoreCall
    ) -> fabric_pb2.StoreAnswer:
        """Send a call on behalf of a peer, only from this node itself."""
        if not self.is_direct:
            return fabric_pb2.StoreAnswer(reached=False)
        try:
            status, body = await self.send_direct(
                message.method,
                message.target,
                message.body,
                message.timeout_ms,
            )
        except ports.StoreError:
            return fabric_pb2.StoreAnswer(reached=False)
        return fabric_pb2.StoreAnswer(reached=True, status=status, body=body)
