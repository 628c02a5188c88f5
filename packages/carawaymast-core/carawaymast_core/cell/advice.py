"""Tracks on which workers the advice service allows a step to run.

The service issues a ticket for each worker that it allows. A start is sent
with the ticket, and the worker refuses it if the ticket has expired.
"""

import typing

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import spec as spec_mod

__all__ = ['Grant', 'StepAdvice', 'call_ms']

# Tickets with less validity left are not used: they could expire on the way to
# the worker. A start takes at most some tens of ms on a healthy network.
TICKET_MARGIN_MS = 250
# Tickets are renewed when this share of their validity is left, so that a
# waiting step always has tickets that are valid for a start.
REFRESH_SHARE = 0.45
# A step that lacks no ticket is checked for new workers at this interval.
CHECK_INTERVAL_MS = 250


class Grant(typing.NamedTuple):
    """A ticket for one worker, issued before ``received_at_ms``."""

    ticket: str
    expires_at_ms: int
    received_at_ms: int


class StepAdvice:
    """The decisions of the advice service on the workers for one step."""

    def __init__(self, now_ms: int = 0) -> None:
        # When the step became ready, or its last call was answered.
        self.called_at_ms = now_ms
        self.grant_by_worker: dict[str, Grant] = {}
        # The service never changes a decision, so a denial is final.
        self.denied_ids: set[str] = set()
        self.is_call_pending = False
        # Until then no ticket of a known worker is missing or about to expire.
        self._satisfied_until_ms = 0
        self._latest_expiry_ms = 0

    @property
    def is_known(self) -> bool:
        """Whether the service has decided about any worker."""
        return bool(self.grant_by_worker or self.denied_ids)

    def is_satisfied(self, now_ms: int) -> bool:
        """Whether the last ``ids_to_ask`` was empty and still applies."""
        return now_ms < self._satisfied_until_ms

    def ticket(self, worker_id: str, now_ms: int) -> str | None:
        """Return a ticket that is valid long enough for a start, or None."""
        grant = self.grant_by_worker.get(worker_id)
        if grant is None or grant.expires_at_ms - now_ms < TICKET_MARGIN_MS:
            return None
        return grant.ticket

    def has_tickets(self, now_ms: int) -> bool:
        """Whether any ticket is valid long enough for a start."""
        return self._latest_expiry_ms - now_ms >= TICKET_MARGIN_MS

    def ids_to_ask(
        self, worker_ids: typing.Iterable[str], now_ms: int, valid_ms: int
    ) -> list[str]:
        """Return the ids of the workers to ask the service about now.

        Those whose tickets are about to expire come first, then those without
        a decision, both in the order given. ``valid_ms`` is the validity of a
        new ticket.
        """
        min_left_ms = valid_ms * REFRESH_SHARE
        expiring = []
        unknown = []
        for worker_id in worker_ids:
            if worker_id in self.denied_ids:
                continue
            grant = self.grant_by_worker.get(worker_id)
            if grant is None:
                unknown.append(worker_id)
            elif grant.expires_at_ms - now_ms < min_left_ms:
                expiring.append(worker_id)
        if not expiring and not unknown:
            first_expiry_ms = min(
                (g.expires_at_ms for g in self.grant_by_worker.values()),
                default=now_ms + valid_ms,
            )
            self._satisfied_until_ms = min(
                now_ms + CHECK_INTERVAL_MS, int(first_expiry_ms - min_left_ms)
            )
        return expiring + unknown

    def apply_answer(
        self,
        asked_ids: typing.Iterable[str],
        granted: typing.Mapping[str, str],
        issued_at_ms: int,
        valid_ms: int,
        received_at_ms: int | None = None,
    ) -> None:
        """Apply an answer to a call about ``asked_ids``.

        ``granted`` holds the tickets by worker id; the other workers are
        denied. The tickets were issued at ``issued_at_ms`` or later, and came
        at ``received_at_ms``, by default at the same time.
        """
        if received_at_ms is None:
            received_at_ms = issued_at_ms
        self.is_call_pending = False
        self.called_at_ms = issued_at_ms
        expires_at_ms = issued_at_ms + valid_ms
        for worker_id in asked_ids:
            ticket = granted.get(worker_id)
            if ticket is None:
                self.denied_ids.add(worker_id)
                self.grant_by_worker.pop(worker_id, None)
            else:
                grant = Grant(ticket, expires_at_ms, received_at_ms)
                self.grant_by_worker[worker_id] = grant
        self._on_grants_changed()

    def drop(self, worker_ids: typing.AbstractSet[str]) -> None:
        """Discard the tickets for workers that do not take them any more."""
        for worker_id in worker_ids & self.grant_by_worker.keys():
            del self.grant_by_worker[worker_id]
            self._on_grants_changed()

    def _on_grants_changed(self) -> None:
        self._satisfied_until_ms = 0
        self._latest_expiry_ms = max(
            (g.expires_at_ms for g in self.grant_by_worker.values()),
            default=0,
        )


def call_ms(policy: 'spec_mod.AdvicePolicy', workers: int) -> float:
    """Return how long a call about this many workers takes, in ms."""
    return policy.decide_ms + policy.per_worker_ms * workers
