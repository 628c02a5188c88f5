"""Model a task of a cell: two successive leaders, the store, two workers.

Leader 2 replaces leader 1 at any moment; orders of leader 1 may still be in
transit, and it may go on sending for a while. Orders may be delivered late or
never, and workers may end runs or lose their leases. Safety: the task runs on
at most one worker.
"""

import functools
import typing

import z3

from spec import checking

__all__ = ['Rules', 'model']

LEADERS = (1, 2)
WORKERS = (1, 2)


class Rules(typing.NamedTuple):
    """Which rules of the protocol are in force.

    - ``fences_store``: the store refuses appends of leader 1 once leader 2
      has taken over.
    - ``writes_ahead``: a leader records a placement before it sends the
      order.
    - ``renews_before_release``: a leader releases the task only after the
      worker has adopted its epoch.
    - ``awaits_own_orders``: a leader releases the task only if none of its
      orders to the worker is in transit.
    - ``workers_check_epoch``: a worker refuses orders of an epoch below the
      highest that it has accepted.
    - ``waits_for_old_leader``: leader 2 counts a lease as expired only after
      leader 1 has stopped sending.
    """

    fences_store: bool = True
    writes_ahead: bool = True
    renews_before_release: bool = True
    awaits_own_orders: bool = True
    workers_check_epoch: bool = True
    waits_for_old_leader: bool = True


ALL_RULES = Rules()


def variables() -> dict[str, z3.SortRef]:
    """Return the variables of a state.

    ``store_epoch`` is the leader whose appends the store accepts. ``record``
    is the worker at which the store places the task, ``view`` the one at
    which a leader does, 0 for none. ``silent1``: leader 1 has stopped sending
    orders. ``runs``: a worker runs the task. ``epoch`` is the highest epoch
    that a worker has accepted. ``order``: an order of a leader to a worker,
    named by both numbers, is in transit.
    """
    number, flag = z3.IntSort(), z3.BoolSort()
    found = {
        'store_epoch': number,
        'record': number,
        'view1': number,
        'view2': number,
        'silent1': flag,
    }
    for worker in WORKERS:
        found[f'runs{worker}'] = flag
        found[f'epoch{worker}'] = number
        for leader in LEADERS:
            found[f'order{leader}{worker}'] = flag
    return found


def initial(s) -> z3.BoolRef:
    """Return the initial state: leader 1 leads and nothing is placed."""
    flags = [
        z3.Not(value) for value in s.values() if value.sort() == z3.BoolSort()
    ]
    numbers = [
        value == (1 if name == 'store_epoch' else 0)
        for name, value in s.items()
        if value.sort() == z3.IntSort()
    ]
    return z3.And(flags + numbers)


def can_append(rules, leader, s) -> z3.BoolRef:
    """Return whether the store accepts what a leader appends."""
    if leader == 1 and not rules.fences_store:
        return z3.BoolVal(True)
    return s['store_epoch'] == leader


def place(rules, leader, worker, s, t):
    """A leader records at which worker the task is to run."""
    record = t['record'] == worker
    if not rules.writes_ahead:
        record = t['record'] == s['record']
    return z3.And(
        can_append(rules, leader, s),
        s[f'view{leader}'] == 0,
        t[f'view{leader}'] == worker,
        record,
        checking.unchanged(s, t, 'record', f'view{leader}'),
    )


def send(leader, worker, s, t):
    """A leader sends a start order to the worker in its view."""
    may_send = s[f'view{leader}'] == worker
    if leader == 1:
        may_send = z3.And(may_send, z3.Not(s['silent1']))
    name = f'order{leader}{worker}'
    return z3.And(may_send, t[name], checking.unchanged(s, t, name))


def is_accepted(rules, leader, worker, s) -> z3.BoolRef:
    """Return whether a worker accepts the orders of a leader."""
    if not rules.workers_check_epoch:
        return z3.BoolVal(True)
    return s[f'epoch{worker}'] <= leader


def deliver(rules, leader, worker, s, t):
    """An order arrives, after any delay."""
    accepted = is_accepted(rules, leader, worker, s)
    order, runs, epoch = (
        f'order{leader}{worker}',
        f'runs{worker}',
        f'epoch{worker}',
    )
    return z3.And(
        s[order],
        z3.Not(t[order]),
        t[runs] == z3.Or(s[runs], accepted),
        t[epoch] == z3.If(accepted, leader, s[epoch]),
        checking.unchanged(s, t, order, runs, epoch),
    )


def end(worker, s, t):
    """A run ends for any reason."""
    name = f'runs{worker}'
    return z3.And(s[name], z3.Not(t[name]), checking.unchanged(s, t, name))


def take_over(s, t):
    """Leader 2 fences the store and reads what leader 1 wrote."""
    return z3.And(
        s['store_epoch'] == 1,
        t['store_epoch'] == 2,
        t['view2'] == s['record'],
        checking.unchanged(s, t, 'store_epoch', 'view2'),
    )


def renew_lease(leader, worker, s, t):
    """A leader renews a worker's lease; the worker adopts its epoch."""
    name = f'epoch{worker}'
    return z3.And(
        s['store_epoch'] == leader,
        s[name] <= leader,
        t[name] == leader,
        checking.unchanged(s, t, name),
    )


def release(rules, leader, worker, s, t):
    """A leader has seen that the run is absent, and may place anew."""
    parts = [
        can_append(rules, leader, s),
        s[f'view{leader}'] == worker,
        z3.Not(s[f'runs{worker}']),
        t[f'view{leader}'] == 0,
        t['record'] == 0,
        checking.unchanged(s, t, 'record', f'view{leader}'),
    ]
    if rules.renews_before_release:
        parts.append(s[f'epoch{worker}'] == leader)
    if rules.awaits_own_orders:
        parts.append(z3.Not(s[f'order{leader}{worker}']))
    return z3.And(parts)


def stop_sending(s, t):
    """Leader 1, unconfirmed for too long, stops renewing and sending."""
    return z3.And(t['silent1'], checking.unchanged(s, t, 'silent1'))


def expire_lease(rules, worker, s, t):
    """The worker's lease, and the deadline of every order, have passed.

    The run ends, orders are void, and leader 2 may place the task anew.
    """
    parts = [
        s['store_epoch'] == 2,
        s['view2'] == worker,
        t['view2'] == 0,
        t['record'] == 0,
        z3.Not(t[f'runs{worker}']),
        z3.Not(t[f'order1{worker}']),
        z3.Not(t[f'order2{worker}']),
        checking.unchanged(
            s,
            t,
            'record',
            'view2',
            f'runs{worker}',
            f'order1{worker}',
            f'order2{worker}',
        ),
    ]
    if rules.waits_for_old_leader:
        parts.append(s['silent1'])
    return z3.And(parts)


def safety(s) -> z3.BoolRef:
    """Return the safety property: the task runs on at most one worker."""
    return z3.Not(z3.And(s['runs1'], s['runs2']))


def lemma(s) -> z3.BoolRef:
    """Return the lemma: a run, now or to come, is only at ``record``."""
    parts = [
        z3.Or(s['store_epoch'] == 1, s['store_epoch'] == 2),
        z3.Implies(s['store_epoch'] == 1, s['view1'] == s['record']),
        z3.Implies(s['store_epoch'] == 1, s['view2'] == 0),
        z3.Implies(s['store_epoch'] == 2, s['view2'] == s['record']),
    ]
    for worker in WORKERS:
        is_recorded = s['record'] == worker
        epoch = s[f'epoch{worker}']
        parts += [
            z3.And(epoch >= 0, epoch <= s['store_epoch']),
            z3.Implies(s[f'runs{worker}'], is_recorded),
            z3.Implies(z3.And(s[f'order1{worker}'], epoch <= 1), is_recorded),
            z3.Implies(s[f'order2{worker}'], is_recorded),
            z3.Implies(s[f'order2{worker}'], s['store_epoch'] == 2),
            z3.Implies(
                z3.And(s['view1'] == worker, epoch <= 1, z3.Not(s['silent1'])),
                is_recorded,
            ),
        ]
    return z3.And(parts)


def model(rules: Rules = ALL_RULES) -> checking.Model:
    """Return the model under some rules."""
    transitions: list[checking.Formula] = [take_over, stop_sending]
    for worker in WORKERS:
        transitions.append(functools.partial(end, worker))
        transitions.append(functools.partial(expire_lease, rules, worker))
        for leader in LEADERS:
            transitions += [
                functools.partial(place, rules, leader, worker),
                functools.partial(send, leader, worker),
                functools.partial(deliver, rules, leader, worker),
                functools.partial(renew_lease, leader, worker),
                functools.partial(release, rules, leader, worker),
            ]
    return checking.Model(variables(), initial, transitions, safety, lemma)
