"""Which workers the advice service allows a step, and its tickets."""

import typing

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import spec as spec_mod

__all__ = ['Grant', 'StepAdvice', 'call_ms']

# A ticket that is about to expire could do so on the way to the worker; a
# start takes at most some tens of ms when the network is sound.
TICKET_MARGIN_MS = 250
# Asked again when this share of the validity is left, so that a waiting step
# always holds tickets that are good for a start.
REFRESH_SHARE = 0.45
# A step that lacks no ticket looks for new workers so often.
CHECK_INTERVAL_MS = 250


class Grant(typing.NamedTuple):
    """The ticket for one worker."""

    ticket: str
    expires_at_ms: int


class StepAdvice:
    """What is known of the workers that a step may use."""

    def __init__(self) -> None:
        self.grant_by_worker: dict[str, Grant] = {}
        # The service's choice does not change, so a denial holds for good.
        self.denied_ids: set[str] = set()
        self.is_call_pending = False
        # Until then it lacks no ticket for a worker that it has seen.
        self._satisfied_until_ms = 0
        self._latest_expiry_ms = 0

    def is_satisfied(self, now_ms: int) -> bool:
        """Whether it lacked no ticket a moment ago and none expires yet."""
        return now_ms < self._satisfied_until_ms

    def ticket(self, worker_id: str, now_ms: int) -> str | None:
        """Return a ticket that holds long enough for a start, or None."""
        grant = self.grant_by_worker.get(worker_id)
        if grant is None or grant.expires_at_ms - now_ms < TICKET_MARGIN_MS:
            return None
        return grant.ticket

    def has_tickets(self, now_ms: int) -> bool:
        """Whether any ticket holds long enough for a start."""
        return self._latest_expiry_ms - now_ms >= TICKET_MARGIN_MS

    def ids_to_ask(
        self, worker_ids: typing.Iterable[str], now_ms: int, valid_ms: int
    ) -> list[str]:
        """Return the workers that should be asked about now.

        Those that are known to be allowed come first, the others in the
        order given.
        """
        least_ms = valid_ms * REFRESH_SHARE
        lapsing = []
        unknown = []
        for worker_id in worker_ids:
            if worker_id in self.denied_ids:
                continue
            grant = self.grant_by_worker.get(worker_id)
            if grant is None:
                unknown.append(worker_id)
            elif grant.expires_at_ms - now_ms < least_ms:
                lapsing.append(worker_id)
        if not lapsing and not unknown:
            first_ms = min(
                (g.expires_at_ms for g in self.grant_by_worker.values()),
                default=now_ms + valid_ms,
            )
            self._satisfied_until_ms = min(
                now_ms + CHECK_INTERVAL_MS, int(first_ms - least_ms)
            )
        return lapsing + unknown

    def apply_answer(
        self,
        asked_ids: typing.Iterable[str],
        granted: typing.Mapping[str, str],
        issued_at_ms: int,
        valid_ms: int,
    ) -> None:
        """Note an answer with tickets issued no earlier than said."""
        self.is_call_pending = False
        expires_at_ms = issued_at_ms + valid_ms
        for worker_id in asked_ids:
            ticket = granted.get(worker_id)
            if ticket is None:
                self.denied_ids.add(worker_id)
                self.grant_by_worker.pop(worker_id, None)
            else:
                grant = Grant(ticket, expires_at_ms)
                self.grant_by_worker[worker_id] = grant
        self._on_grants_changed()

    def drop(self, worker_id: str) -> None:
        """Forget a ticket that a worker refused."""
        self.grant_by_worker.pop(worker_id, None)
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
