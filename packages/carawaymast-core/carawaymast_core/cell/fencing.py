"""Fencing tokens of a leader's calls to workers."""

from carawaymast_core import errors

__all__ = ['FencingTokens']

# The tokens of an epoch begin at its product with this. They stay exact in
# JSON for epochs of up to 29 bits.
INCARNATIONS_PER_EPOCH = 1 << 24


class FencingTokens:
    """Tokens that rise with the leader's epoch and with each incarnation.

    A worker refuses calls with a lower token than the highest it has seen. A
    restarted worker may have the same id and address as before, so only the
    token tells calls for its former incarnation from calls for this one.

    Example::

        tokens = FencingTokens(epoch=7)
        former, present = tokens.next(), tokens.next()
        assert former < present < FencingTokens(epoch=8).next()
    """

    def __init__(self, epoch: int):
        self._first = epoch * INCARNATIONS_PER_EPOCH
        self._last = self._first

    def next(self) -> int:
        """Return the token for calls to a newly known incarnation.

        Raises ``InvariantError`` if the epoch has no more tokens.
        """
        self._last += 1
        errors.check(
            self._last < self._first + INCARNATIONS_PER_EPOCH,
            f'more than {INCARNATIONS_PER_EPOCH - 1} incarnations of workers '
            'in one epoch',
        )
        return self._last
