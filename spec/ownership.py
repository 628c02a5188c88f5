"""Model owner leases, epochs, starts and "never started" of one worker.

Two nodes compete for the worker; one attempt may be started or reported as
never started. Lease requests and starts may be in transit for any time. The
clocks of the nodes may lag the worker's by ``DRIFT``. Safety: an attempt that
was reported as never started has not run and never will.
"""

import functools
import typing

import z3

from spec import checking

__all__ = ['Rules', 'model']

LEASE = 5
DRIFT = 1
NODES = (1, 2)


class Rules(typing.NamedTuple):
    """Which rules of the protocol are in force; each can be left out.

    - ``guard``: how much earlier than the worker a node ends its lease, in
      units of time; 0 leaves the rule out.
    - ``checks_epoch``: the worker runs a start only under the current epoch
      of a lease that has not expired.
    - ``checks_reservation``: an owner sends a start only with a reservation
      of its present epoch.
    - ``never_needs_lease``: an owner reports "never started" only while it
      assumes its lease.
    """

    guard: int = DRIFT
    checks_epoch: bool = True
    checks_reservation: bool = True
    never_needs_lease: bool = True


ALL_RULES = Rules()


def variables() -> dict[str, z3.SortRef]:
    """Return the variables of a state."""
    number, flag = z3.IntSort(), z3.BoolSort()
    found = {
        'now': number,
        'holder': number,
        'epoch': number,
        'expiry': number,
        'ran': flag,
        'never': flag,
    }
    for node in NODES:
        found.update(
            {
                # A lease request in transit, and when it was sent.
                f'asked{node}': flag,
                f'asked_at{node}': number,
                # A grant in transit, and when its request was sent.
                f'granted{node}': flag,
                f'granted_at{node}': number,
                f'granted_epoch{node}': number,
                # The end and epoch of the lease, as the node assumes them.
                f'until{node}': number,
                f'epoch{node}': number,
                # A reservation, made under an epoch; a start in transit.
                f'reserved{node}': flag,
                f'reserved_epoch{node}': number,
                f'start{node}': flag,
                f'start_epoch{node}': number,
            }
        )
    return found


def initial(s) -> z3.BoolRef:
    """Return the initial state: no lease is held, nothing is in transit.

    ``until`` is ``-DRIFT``, so that no node assumes a lease at time 0.
    """
    flags = [
        z3.Not(value) for value in s.values() if value.sort() == z3.BoolSort()
    ]
    numbers = [
        value == (-DRIFT if name.startswith('until') else 0)
        for name, value in s.items()
        if value.sort() == z3.IntSort()
    ]
    return z3.And(flags + numbers)


def assumes_lease(s, node: int) -> z3.BoolRef:
    """Return whether a node, whose clock may lag, may assume its lease."""
    return s['now'] - DRIFT < s[f'until{node}']


def advance_clock(s, t):
    """Time passes."""
    return z3.And(t['now'] == s['now'] + 1, checking.unchanged(s, t, 'now'))


def request_lease(node, s, t):
    """A node sends a request for the lease."""
    names = f'asked{node}', f'asked_at{node}'
    return z3.And(
        t[names[0]],
        t[names[1]] == s['now'],
        checking.unchanged(s, t, *names),
    )


def grant_lease(node, s, t):
    """The worker grants a request; a new holder gets a new epoch."""
    is_expired = s['now'] >= s['expiry']
    is_renewal = z3.And(z3.Not(is_expired), s['holder'] == node)
    names = (
        f'asked{node}',
        f'granted{node}',
        f'granted_at{node}',
        f'granted_epoch{node}',
        'holder',
        'epoch',
        'expiry',
    )
    return z3.And(
        s[f'asked{node}'],
        z3.Or(is_expired, is_renewal),
        z3.Not(t[f'asked{node}']),
        t['holder'] == node,
        t['epoch'] == z3.If(is_renewal, s['epoch'], s['epoch'] + 1),
        t['expiry'] == s['now'] + LEASE,
        t[f'granted{node}'],
        t[f'granted_at{node}'] == s[f'asked_at{node}'],
        t[f'granted_epoch{node}'] == t['epoch'],
        checking.unchanged(s, t, *names),
    )


def lose_message(name, s, t):
    """A message is lost."""
    return z3.And(s[name], z3.Not(t[name]), checking.unchanged(s, t, name))


def receive_grant(rules, node, s, t):
    """A node receives a grant; a new epoch ends its old reservations."""
    names = (
        f'granted{node}',
        f'until{node}',
        f'epoch{node}',
        f'reserved{node}',
    )
    is_new = s[f'granted_epoch{node}'] > s[f'epoch{node}']
    until = s[f'granted_at{node}'] + LEASE - rules.guard
    return z3.And(
        s[f'granted{node}'],
        s[f'granted_epoch{node}'] >= s[f'epoch{node}'],
        z3.Not(t[f'granted{node}']),
        t[f'until{node}'] == until,
        t[f'epoch{node}'] == s[f'granted_epoch{node}'],
        t[f'reserved{node}']
        == z3.If(is_new, z3.BoolVal(False), s[f'reserved{node}']),
        checking.unchanged(s, t, *names),
    )


def reserve(node, s, t):
    """An owner that assumes its lease reserves capacity."""
    names = f'reserved{node}', f'reserved_epoch{node}'
    return z3.And(
        assumes_lease(s, node),
        z3.Not(s['never']),
        t[names[0]],
        t[names[1]] == s[f'epoch{node}'],
        checking.unchanged(s, t, *names),
    )


def start(rules, node, s, t):
    """An owner uses its reservation and sends a start to the worker."""
    names = f'reserved{node}', f'start{node}', f'start_epoch{node}'
    has_reservation = z3.And(
        s[f'reserved{node}'],
        s[f'reserved_epoch{node}'] == s[f'epoch{node}'],
    )
    if not rules.checks_reservation:
        has_reservation = z3.BoolVal(True)
    return z3.And(
        assumes_lease(s, node),
        has_reservation,
        z3.Not(s[f'start{node}']),
        z3.Not(t[f'reserved{node}']),
        t[f'start{node}'],
        t[f'start_epoch{node}'] == s[f'epoch{node}'],
        checking.unchanged(s, t, *names),
    )


def run(rules, node, s, t):
    """The worker receives a start and runs it, if its epoch is current."""
    is_current = z3.And(
        s['now'] < s['expiry'], s[f'start_epoch{node}'] == s['epoch']
    )
    if not rules.checks_epoch:
        is_current = z3.BoolVal(True)
    return z3.And(
        s[f'start{node}'],
        is_current,
        z3.Not(t[f'start{node}']),
        t['ran'],
        checking.unchanged(s, t, f'start{node}', 'ran'),
    )


def report_never_started(rules, node, s, t):
    """An owner reports that the attempt never started, and refuses it.

    The worker has reported that the attempt does not run. The owner has no
    start of its own epoch in transit and holds no reservation.
    """
    is_owner = assumes_lease(s, node)
    if not rules.never_needs_lease:
        is_owner = s[f'epoch{node}'] > 0
    own_start = z3.And(
        s[f'start{node}'], s[f'start_epoch{node}'] == s[f'epoch{node}']
    )
    return z3.And(
        is_owner,
        z3.Not(s['ran']),
        z3.Not(s[f'reserved{node}']),
        z3.Not(own_start),
        t['never'],
        checking.unchanged(s, t, 'never'),
    )


def safety(s) -> z3.BoolRef:
    """Return the safety property: "never started" means not run."""
    return z3.Not(z3.And(s['never'], s['ran']))


def lemma(s) -> z3.BoolRef:
    """Return the lemma: at most the registered holder acts as owner."""
    parts = [s['epoch'] >= 0, s['expiry'] <= s['now'] + LEASE]
    is_expired = s['now'] >= s['expiry']
    for node in NODES:
        until, epoch = s[f'until{node}'], s[f'epoch{node}']
        granted_at = s[f'granted_at{node}']
        granted_epoch = s[f'granted_epoch{node}']
        parts += [
            epoch <= s['epoch'],
            s[f'asked_at{node}'] <= s['now'],
            z3.Implies(
                epoch == s['epoch'],
                z3.Or(
                    s['epoch'] == 0,
                    z3.And(s['holder'] == node, until + DRIFT <= s['expiry']),
                ),
            ),
            z3.Implies(epoch < s['epoch'], until + DRIFT <= s['now']),
            z3.Implies(epoch == 0, until <= -DRIFT),
            s['now'] >= 0,
            z3.Implies(s['epoch'] == 0, s['expiry'] == 0),
            z3.Implies(s['epoch'] == 0, z3.Not(s[f'granted{node}'])),
            z3.Implies(
                s[f'granted{node}'],
                z3.And(
                    granted_epoch >= 1,
                    granted_epoch <= s['epoch'],
                    z3.Implies(
                        granted_epoch == s['epoch'],
                        z3.And(
                            s['holder'] == node,
                            granted_at + LEASE <= s['expiry'],
                        ),
                    ),
                    z3.Implies(
                        granted_epoch < s['epoch'],
                        granted_at + LEASE <= s['now'],
                    ),
                ),
            ),
            s[f'start_epoch{node}'] <= epoch,
            z3.Implies(s[f'reserved{node}'], s[f'reserved_epoch{node}'] >= 1),
            z3.Implies(
                s[f'start{node}'],
                z3.And(
                    s[f'start_epoch{node}'] >= 1,
                ),
            ),
            # After "never", a start in transit or a reservation is of a past
            # epoch, or the lease has expired: no present owner may start it.
            z3.Implies(
                s['never'],
                z3.And(
                    z3.Implies(
                        s[f'start{node}'],
                        z3.Or(
                            s[f'start_epoch{node}'] < s['epoch'], is_expired
                        ),
                    ),
                    z3.Implies(
                        z3.And(
                            s[f'reserved{node}'],
                            s[f'reserved_epoch{node}'] == epoch,
                        ),
                        z3.Or(epoch < s['epoch'], is_expired),
                    ),
                ),
            ),
        ]
    return z3.And(parts)


def model(rules: Rules = ALL_RULES) -> checking.Model:
    """Return the model under some rules."""
    transitions = [advance_clock]
    for node in NODES:
        transitions += [
            functools.partial(request_lease, node),
            functools.partial(grant_lease, node),
            functools.partial(lose_message, f'asked{node}'),
            functools.partial(lose_message, f'granted{node}'),
            functools.partial(lose_message, f'start{node}'),
            functools.partial(receive_grant, rules, node),
            functools.partial(reserve, node),
            functools.partial(start, rules, node),
            functools.partial(run, rules, node),
            functools.partial(report_never_started, rules, node),
        ]
    return checking.Model(variables(), initial, transitions, safety, lemma)
