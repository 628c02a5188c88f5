"""Owner leases: the register in a worker and the view of its holder.

``LeaseRegister`` is what a worker keeps: the holder, an epoch raised at each
change of holder, and the expiry. ``HeldLease`` is what the holder may
believe: it counts from before the renewal was sent and stops a guard interval
early, so that it never believes longer than the worker.
"""

import typing

from carawaymast_core import clock as clock_mod
from carawaymast_core import errors

__all__ = ['GUARD_MS', 'LeaseReply', 'HeldLease', 'LeaseRegister']

GUARD_MS = 250


class LeaseReply(typing.NamedTuple):
    """The answer of a register to a request for the lease."""

    is_granted: bool
    holder: str
    epoch: int
    remaining_ms: int


class LeaseRegister:
    """The lease on one worker, as the worker itself keeps it."""

    def __init__(self, clock: clock_mod.Clock, epoch: int = 0):
        self._clock = clock
        self._holder = ''
        self._epoch = epoch
        self._expires_at_ms = 0

    @property
    def epoch(self) -> int:
        """The epoch of the last holder."""
        return self._epoch

    def acquire(self, holder: str, lease_ms: int) -> LeaseReply:
        """Grant, renew or refuse the lease for ``holder``.

        The epoch rises whenever the holder changes or a lapsed lease is
        taken again; a renewal in time keeps it.
        """
        if lease_ms <= 0:
            raise ValueError(f'lease_ms must be positive, got {lease_ms}')
        now_ms = self._clock.now()
        is_expired = now_ms >= self._expires_at_ms
        if not is_expired and holder != self._holder:
            return self._answer(False, now_ms)
        if is_expired or holder != self._holder:
            self._epoch += 1
            self._holder = holder
        self._expires_at_ms = now_ms + lease_ms
        return self._answer(True, now_ms)

    def release(self, holder: str, epoch: int) -> bool:
        """End the lease at once if ``holder`` has it under ``epoch``."""
        if not self.is_current(epoch) or holder != self._holder:
            return False
        self._expires_at_ms = self._clock.now()
        return True

    def is_current(self, epoch: int) -> bool:
        """Tell whether ``epoch`` is the one of an unexpired lease."""
        is_alive = self._clock.now() < self._expires_at_ms
        return is_alive and epoch == self._epoch

    def _answer(self, is_granted: bool, now_ms: int) -> LeaseReply:
        remaining_ms = max(0, self._expires_at_ms - now_ms)
        return LeaseReply(is_granted, self._holder, self._epoch, remaining_ms)


class HeldLease:
    """What a holder may believe about a lease that it was granted."""

    def __init__(self, clock: clock_mod.Clock):
        self._clock = clock
        self._safe_until_ms = 0
        self.epoch = 0

    def record_grant(self, sent_at_ms: int, lease_ms: int, epoch: int) -> None:
        """Note a grant whose request was sent at ``sent_at_ms``."""
        errors.check(
            epoch >= self.epoch,
            f'epoch went back from {self.epoch} to {epoch}',
        )
        self.epoch = epoch
        self._safe_until_ms = sent_at_ms + lease_ms - GUARD_MS

    def drop(self) -> None:
        """Stop believing in the lease at once."""
        self._safe_until_ms = 0

    def remaining_ms(self) -> int:
        """Return for how long the lease may still be used, in ms."""
        return max(0, self._safe_until_ms - self._clock.now())

    def is_held(self) -> bool:
        """Tell whether the lease may be used now."""
        return self.remaining_ms() > 0
