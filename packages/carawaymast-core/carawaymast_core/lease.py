"""Owner leases of workers, at the worker and at the holder.

``LeaseRegister`` is the state in the worker: the holder, an epoch (fencing
token) that is raised at each change of holder, and the expiry. ``HeldLease``
is the state at the holder. It counts from before the renewal was sent and
expires a guard interval early, so that the lease never lasts longer at the
holder than at the worker.
"""

import typing

from carawaymast_core import clock as clock_mod
from carawaymast_core import errors

__all__ = ['GUARD_MS', 'HeldLease', 'LeaseRegister', 'LeaseReply']

# The holder stops using a lease this long before it expires at the worker.
GUARD_MS = 250


class LeaseReply(typing.NamedTuple):
    """The answer to a request for the lease, granted or refused."""

    is_granted: bool
    holder: str
    epoch: int
    remaining_ms: int


class LeaseRegister:
    """The lease on one worker, as stored by the worker."""

    def __init__(self, clock: clock_mod.Clock, epoch: int = 0):
        self._clock = clock
        self._holder = ''
        self._epoch = epoch
        self._expires_at_ms = 0

    @property
    def epoch(self) -> int:
        """The epoch of the current or last holder."""
        return self._epoch

    def acquire(self, holder: str, lease_ms: int) -> LeaseReply:
        """Grant, renew or refuse the lease for ``holder``.

        The epoch is raised when the holder changes or an expired lease is
        acquired again; a renewal before the expiry keeps it. Raises
        ``ValueError`` if ``lease_ms`` is not positive.
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
        """End the lease if ``holder`` has it under ``epoch``.

        Returns whether the lease was ended.
        """
        if not self.is_current(epoch) or holder != self._holder:
            return False
        self._expires_at_ms = self._clock.now()
        return True

    def is_current(self, epoch: int) -> bool:
        """Return whether ``epoch`` is that of an unexpired lease."""
        is_valid = self._clock.now() < self._expires_at_ms
        return is_valid and epoch == self._epoch

    def _answer(self, is_granted: bool, now_ms: int) -> LeaseReply:
        remaining_ms = max(0, self._expires_at_ms - now_ms)
        return LeaseReply(is_granted, self._holder, self._epoch, remaining_ms)


class HeldLease:
    """A lease as seen by its holder; it expires ``GUARD_MS`` early."""

    def __init__(self, clock: clock_mod.Clock):
        self._clock = clock
        self._safe_until_ms = 0
        self.epoch = 0

    def record_grant(self, sent_at_ms: int, lease_ms: int, epoch: int) -> None:
        """Record a grant whose request was sent at ``sent_at_ms``.

        Raises ``InvariantError`` if ``epoch`` is lower than the last one.
        """
        errors.check(
            epoch >= self.epoch,
            f'epoch decreased from {self.epoch} to {epoch}',
        )
        self.epoch = epoch
        self._safe_until_ms = sent_at_ms + lease_ms - GUARD_MS

    def drop(self) -> None:
        """Stop using the lease at once."""
        self._safe_until_ms = 0

    def remaining_ms(self) -> int:
        """Return for how many milliseconds the lease may still be used."""
        return max(0, self._safe_until_ms - self._clock.now())

    def is_held(self) -> bool:
        """Return whether the lease may be used now."""
        return self.remaining_ms() > 0
