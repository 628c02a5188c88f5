"""Store calls, relayed by a peer while the store does not serve this VM."""

import asyncio
import typing

from carawaymast_core import clock as clock_mod
from carawaymast_node import channels
from carawaymast_node import fabric_pb2
from carawaymast_node.cells import fabric
from carawaymast_node.cells import ports
from carawaymast_node.cells import telemetry

__all__ = ['StoreRoute']

# After a failure, calls go through peers until a probe is answered. The store
# often recovers within seconds, and a configuration must be in force in 2 s.
PROBE_INTERVAL_MS = 200
# Peers tried for one call; more would only load a store that is down.
MAX_RELAYS = 2
# A peer that takes longer may have lost power, and another one is called.
RELAY_TIMEOUT_MS = 900


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
        self._direct_lost = asyncio.Event()
        self.is_direct = True

    async def keep_probing(
        self, probe: typing.Callable[[], typing.Awaitable[typing.Any]]
    ) -> typing.NoReturn:
        """Probe the store while calls are relayed, until cancelled.

        ``probe`` makes a small call through ``send_direct``.
        """
        while True:
            await self._direct_lost.wait()
            self._direct_lost.clear()
            while not self.is_direct:
                try:
                    await probe()
                except ports.StoreError:
                    await asyncio.sleep(PROBE_INTERVAL_MS / 1000)

    async def send(
        self, method: str, target: str, body: bytes, timeout_ms: float
    ) -> tuple[int, bytes]:
        """Send a call directly or through a peer.

        Return the status and the body. Raises ``StoreError`` if neither way
        gets an answer. A call may be sent twice, which is safe for all calls
        of this software.
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
            detail = f'{failure or "direct path down"}; relays: {error}'
            raise ports.StoreError(detail, is_unknown) from None

    async def send_direct(
        self, method: str, target: str, body: bytes, timeout_ms: float
    ) -> tuple[int, bytes]:
        """Send a call directly and record whether the store answers."""
        started_ms = self._clock.now()
        try:
            found = await self._direct(method, target, body, timeout_ms)
        except ports.StoreError as error:
            self._metrics.count('store_errors_total')
            self._set_direct(False, str(error))
            raise
        # Long polls are not measured: they last until a record arrives.
        if 'wait_ms' not in target:
            elapsed_ms = self._clock.now() - started_ms
            self._metrics.record_ms('store_call', elapsed_ms)
        self._set_direct(True, '')
        return found

    def _set_direct(self, is_direct: bool, error: str) -> None:
        if is_direct != self.is_direct:
            self.is_direct = is_direct
            if not is_direct:
                self._direct_lost.set()
            self._log.log_event(
                'store_path', direct=is_direct, error=error or None
            )

    async def _relay(
        self, method, target, body, timeout_ms
    ) -> tuple[int, bytes]:
        message = fabric_pb2.StoreCall(
            method=method,
            target=target,
            body=body,
            timeout_ms=min(int(timeout_ms), RELAY_TIMEOUT_MS),
        )
        is_unknown = False
        for peer in self._peers.candidates()[:MAX_RELAYS]:
            try:
                answer = await self._peers.call(
                    peer, 'CallStore', message, RELAY_TIMEOUT_MS
                )
            except channels.PeerError:
                is_unknown = True
                continue
            if answer.reached:
                self._metrics.count('store_calls_relayed_total')
                return answer.status, answer.body
            self._peers.avoid(peer)
        # Yields to the event loop even if there was no peer to call.
        await asyncio.sleep(0)
        raise ports.StoreError('no peer reached the store', is_unknown)

    async def answer(
        self, message: fabric_pb2.StoreCall
    ) -> fabric_pb2.StoreAnswer:
        """Send a call on behalf of a peer, without relaying it again."""
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
