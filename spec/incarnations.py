"""Model a task whose worker restarts under its id, with late calls to it.

Two successive leaders place the task at worker A or B. Starts and renewals to
A may be carried out late, by whichever incarnation has the id then. Worker B
does not restart, and its starts take effect at once. Leases have levels: 0 for
none, 1 for the usual length, 2 for the longest, which a deadline on a former
incarnation's clock leaves. Safety: the task runs on at most one worker.
"""

import functools
import types
import typing

import z3

from spec import checking

__all__ = ['Rules', 'model']

LEADERS = (1, 2)
A, B = 1, 2
MAX_INCARNATIONS = 3
MAX_RUNS = 7
USUAL, LONGEST = 1, 2
NUMBER = z3.BitVecSort(5)
USUAL_VALUE = z3.BitVecVal(USUAL, NUMBER)
LONGEST_VALUE = z3.BitVecVal(LONGEST, NUMBER)


class Rules(typing.NamedTuple):
    """Which rules of the protocol are in force.

    - ``has_token_per_incarnation``: a leader's fencing token rises with each
      incarnation of the worker, not only with the epoch.
    - ``assumes_longest_lease``: a leader assumes the longest lease from an
      incarnation's first answer on.
    - ``awaits_starts``: a leader releases the task only once a start that was
      not answered cannot be carried out any more, and if the worker is lost,
      after the longest lease from then on. A run that it took over counts as
      not answered.
    - ``awaits_renewals``: in the same case, if the worker is lost, it awaits
      its late renewals too, which may extend the lease of such a run.
    - ``confirms_leadership``: a leader that was paused sends no start before
      it has confirmed that it leads.
    - ``records_listed``: a leader records that an incarnation has listed the
      run after its only start, and which lease that incarnation may have. A
      leader that has the record awaits no start, and no longer lease.
    - ``records_longest``: it records the longest lease while the incarnation
      may have that, not the usual one.
    - ``records_incarnation``: the record counts for that incarnation alone.
    - ``ends_certain_runs``: as it reads of a restart, a leader ends only a run
      that a former incarnation has listed, or whose ticket is not of a later
      one. Otherwise it ends every run.
    - ``has_tickets``: a start is refused by all incarnations but the one that
      issued its ticket, at any time up to the placement. That one may be later
      than the one that the leader knows. Some tasks have this instead of
      ``awaits_starts``.
    - ``confirms_tickets``: a start with a ticket counts as one that the next
      incarnation may begin until the incarnation that the leader knows has
      answered a renewal since the ticket came, or is recorded to have listed
      the run. If the worker is lost before, the leader awaits starts and, by
      ``awaits_renewals``, renewals, and then the longest lease.
    """

    has_token_per_incarnation: bool = True
    assumes_longest_lease: bool = True
    awaits_starts: bool = True
    awaits_renewals: bool = True
    confirms_leadership: bool = True
    records_listed: bool = True
    records_longest: bool = True
    records_incarnation: bool = True
    ends_certain_runs: bool = True
    has_tickets: bool = False
    confirms_tickets: bool = True


ALL_RULES = Rules()


def variables() -> dict[str, z3.SortRef]:
    """Return the variables of a state.

    ``leads`` is the leader whose appends the store accepts, ``record`` the
    worker at which the store places the task, 0 for none, and ``last`` the
    number of its last run. ``recorded`` is the lease in the record of a run
    that was listed, 0 for none, and ``listed_by`` the incarnation. Of A,
    ``incarnation``, the highest ``token`` and run number (``ended``) that it
    refuses by, ``lease``, and the run there (``run_a``, 0 for none). Of each
    leader, the worker in its ``view``, the incarnation of A that it has
    ``known``, and whether it has an answer of it (``adopted``), the lease that
    it counts with (``belief``), whether the start has been ``sent`` and is
    ``unanswered``, and the incarnations to which its ``start`` (with number
    ``run``) and ``renewal`` in transit were sent, 0 for none. With tickets,
    the incarnations that issued the one of the last run placed at A
    (``grant``) and that of the start in transit (``ticket``), and whether the
    incarnation that is known has answered since the former (``bound``).
    """
    names = 'leads record last incarnation token ended lease run_a'.split()
    names += ['recorded', 'listed_by']
    flags = ['run_b']
    for leader in LEADERS:
        for name in 'view known belief start run renewal grant ticket'.split():
            names.append(f'{name}{leader}')
        for name in 'adopted sent unanswered bound'.split():
            flags.append(f'{name}{leader}')
    found: dict[str, z3.SortRef] = dict.fromkeys(names, NUMBER)
    found.update(dict.fromkeys(flags, z3.BoolSort()))
    return found


def initial(s) -> z3.BoolRef:
    """Return the initial state: leader 1 leads and knows A, nothing runs."""
    ones = ('leads', 'incarnation', 'known1')
    return z3.And(
        [
            z3.Not(value)
            if value.sort() == z3.BoolSort()
            else value == (1 if name in ones else 0)
            for name, value in s.items()
        ]
    )


def changes(s, t, leader=0, own=types.MappingProxyType({}), **values):
    """Return the formula that exactly these variables get new values.

    ``own`` has those of a leader, named without its number.
    """
    values.update((f'{name}{leader}', value) for name, value in own.items())
    parts = [t[name] == value for name, value in values.items()]
    return z3.And(*parts, checking.unchanged(s, t, *values))


def of(leader, s) -> types.SimpleNamespace:
    """Return the variables of a leader, and whether it ``leads``."""
    own = {n[:-1]: value for n, value in s.items() if n[-1] == str(leader)}
    return types.SimpleNamespace(**own, leads=s['leads'] == leader)


def token(rules, leader, incarnation):
    """Return the token of a leader's calls to an incarnation of A."""
    number = leader * (MAX_INCARNATIONS + 1)
    return number + (incarnation if rules.has_token_per_incarnation else 0)


def carry_out(rules, leader, called, s) -> tuple[z3.BoolRef, dict]:
    """Return whether A accepts a call, and its token and lease after it."""
    sent_token = token(rules, leader, called)
    is_accepted = sent_token >= s['token']
    level = z3.If(called < s['incarnation'], LONGEST_VALUE, USUAL_VALUE)
    lease = z3.If(s['lease'] >= level, s['lease'], level)
    return is_accepted, {
        'token': z3.If(is_accepted, sent_token, s['token']),
        'lease': z3.If(is_accepted, lease, s['lease']),
    }


def none_in_transit(s, name) -> z3.BoolRef:
    """Return whether no such call of any leader is in transit."""
    return z3.And([s[f'{name}{leader}'] == 0 for leader in LEADERS])


def place(rules, leader, worker, s, t):
    """A leader records at which worker the task is to run.

    With tickets, it has just got one for A, of any incarnation up to the
    present one.
    """
    own = {'view': worker, 'sent': False, 'unanswered': True, 'bound': False}
    values = {'record': worker, 'last': s['last'] + 1, 'recorded': 0}
    me = of(leader, s)
    parts = [me.leads, me.view == 0, s['last'] < MAX_RUNS]
    if worker == B:
        values['run_b'] = True
    else:
        parts.append(me.adopted)
        if rules.has_tickets:
            grant = own['grant'] = t[f'grant{leader}']
            parts += [grant >= 1, grant <= s['incarnation']]
    return z3.And(*parts, changes(s, t, leader, own, **values))


def send_start(rules, leader, s, t):
    """A leader sends the start to the incarnation that it knows, once."""
    me = of(leader, s)
    parts = [me.view == A, me.adopted, z3.Not(me.sent), me.start == 0]
    if rules.confirms_leadership:
        parts.append(me.leads)
    own = {'sent': True, 'start': me.known, 'run': s['last']}
    own['ticket'] = me.grant
    return z3.And(*parts, changes(s, t, leader, own))


def carry_out_start(rules, leader, s, t):
    """A start reaches A, after any delay."""
    me = of(leader, s)
    is_accepted, values = carry_out(rules, leader, me.start, s)
    is_taken = z3.BoolVal(True)
    if rules.has_tickets:
        is_taken = me.ticket == s['incarnation']
    begins = z3.And(
        is_accepted, is_taken, s['run_a'] == 0, me.run > s['ended']
    )
    values['run_a'] = z3.If(begins, me.run, s['run_a'])
    return z3.And(me.start != 0, changes(s, t, leader, {'start': 0}, **values))


def send_renewal(leader, s, t):
    """A leader sends a renewal that is not answered."""
    me = of(leader, s)
    own = {'renewal': me.known}
    return z3.And(me.leads, me.adopted, changes(s, t, leader, own))


def carry_out_renewal(rules, leader, s, t):
    """A renewal reaches A, after any delay; its answer is lost."""
    called = of(leader, s).renewal
    _, values = carry_out(rules, leader, called, s)
    return z3.And(called != 0, changes(s, t, leader, {'renewal': 0}, **values))


def lose(name, s, t):
    """A call in transit will not be carried out any more."""
    return changes(s, t, **{name: 0})


def renew(rules, leader, s, t):
    """A leader renews A's lease and reads what runs there."""
    me = of(leader, s)
    is_accepted, values = carry_out(rules, leader, me.known, s)
    first = LONGEST if rules.assumes_longest_lease else USUAL
    is_listed = z3.And(me.view == A, s['run_a'] == s['last'])
    first = z3.If(has_record(rules, me, s), s['recorded'], first)
    belief = z3.If(me.adopted, me.belief, first)
    if rules.records_listed:
        lease = belief if rules.records_longest else USUAL_VALUE
        values['recorded'] = z3.If(is_listed, lease, s['recorded'])
        values['listed_by'] = z3.If(is_listed, me.known, s['listed_by'])
    own = {
        'belief': belief,
        'adopted': True,
        'bound': True,
        'unanswered': z3.And(me.unanswered, z3.Not(is_listed)),
    }
    answered = z3.And(me.leads, me.known == s['incarnation'], is_accepted)
    return z3.And(answered, changes(s, t, leader, own, **values))


def has_record(rules, me, s) -> z3.BoolRef:
    """Return whether a record says what the leader may conclude of A."""
    parts = [me.view == A, s['recorded'] != 0]
    if rules.records_incarnation:
        parts.append(s['listed_by'] == me.known)
    return z3.And(parts)


def age(s, t):
    """The time of a longest lease passes, with usual renewals."""
    names = ('lease', 'belief1', 'belief2')
    values = {n: z3.If(s[n] > USUAL, USUAL_VALUE, s[n]) for n in names}
    return changes(s, t, **values)


def release(rules, leader, s, t):
    """A has answered a stop and does not list the run."""
    me = of(leader, s)
    is_accepted, values = carry_out(rules, leader, me.known, s)
    parts = [me.leads, me.known == s['incarnation'], is_accepted]
    if rules.awaits_starts:
        parts.append(none_in_transit(s, 'start'))
    values.update(ended=s['last'], record=0)
    change = changes(s, t, leader, {'view': 0}, **values)
    return z3.And(*parts, me.view == A, s['run_a'] == 0, change)


def expire(rules, leader, s, t):
    """A is lost: the lease that the leader counts with has passed.

    Starts to the present incarnation are void: their deadlines have passed.
    """
    me = of(leader, s)
    parts = [me.leads, me.view == A]
    is_recorded = has_record(rules, me, s)
    awaits = z3.Not(me.adopted)
    if rules.awaits_starts:
        awaits = z3.Or(awaits, me.unanswered)
    awaits_calls = rules.awaits_starts
    if rules.has_tickets and rules.confirms_tickets:
        awaits = z3.Or(awaits, z3.Not(me.bound))
        awaits_calls = True
    awaits = z3.And(awaits, z3.Not(is_recorded))
    if awaits_calls:
        parts.append(z3.Implies(awaits, none_in_transit(s, 'start')))
        if rules.awaits_renewals:
            parts.append(z3.Implies(awaits, none_in_transit(s, 'renewal')))
    known_lease = z3.If(me.adopted, me.belief, s['recorded'])
    is_over = s['lease'] <= z3.If(awaits, LONGEST_VALUE, known_lease)
    values = {'record': 0}
    for other in LEADERS:
        # A late renewal may come just before the end and extend the lease.
        called, start = of(other, s).renewal, of(other, s).start
        is_accepted, _ = carry_out(rules, other, called, s)
        is_late = z3.And(called != 0, called < s['incarnation'])
        is_over = z3.And(is_over, z3.Not(z3.And(is_late, is_accepted)))
        values[f'start{other}'] = z3.If(start == s['incarnation'], 0, start)
    for name in ('lease', 'run_a'):
        values[name] = z3.If(is_over, 0, s[name])
    own = {'view': 0, 'adopted': False}
    return z3.And(*parts, changes(s, t, leader, own, **values))


def end_run(s, t):
    """The run at A ends for any reason."""
    change = changes(s, t, run_a=0, ended=s['run_a'])
    return z3.And(s['run_a'] != 0, change)


def end_at_b(leader, s, t):
    """The run at B ends, and the leader reads that."""
    me = of(leader, s)
    change = changes(s, t, leader, {'view': 0}, run_b=False, record=0)
    return z3.And(me.leads, me.view == B, change)


def restart(s, t):
    """A restarts under its id; it has seen no token, and runs nothing."""
    incarnation = s['incarnation'] + 1
    forgotten = dict.fromkeys(('token', 'ended', 'lease', 'run_a'), 0)
    change = changes(s, t, incarnation=incarnation, **forgotten)
    return z3.And(s['incarnation'] < MAX_INCARNATIONS, change)


def read_list(leader, s, t):
    """A leader reads that A has restarted."""
    own = {'known': s['incarnation'], 'adopted': False, 'bound': False}
    return z3.And(of(leader, s).leads, changes(s, t, leader, own))


def end_with_incarnation(rules, leader, s, t):
    """A leader reads that A has restarted, and ends the run that was there."""
    me = of(leader, s)
    was_there = me.bound if rules.has_tickets else z3.Not(me.unanswered)
    if not rules.ends_certain_runs:
        was_there = z3.BoolVal(True)
    has_restarted = z3.And(was_there, me.known < s['incarnation'])
    if rules.records_listed:
        is_recorded = z3.And(s['recorded'] != 0, s['listed_by'] < me.known)
        has_restarted = z3.Or(has_restarted, is_recorded)
    own = {'known': s['incarnation'], 'adopted': False, 'bound': False}
    change = changes(s, t, leader, {'view': 0, **own}, record=0)
    return z3.And(me.leads, me.view == A, has_restarted, change)


def take_over(s, t):
    """Leader 2 reads the record, and a list that may be out of date."""
    known = t['known2']
    own = {'view': s['record'], 'known': known}
    own.update(unanswered=True, sent=True, bound=False)
    is_known = z3.And(known >= 1, known <= s['incarnation'])
    return z3.And(s['leads'] == 1, is_known, changes(s, t, 2, own, leads=2))


def safety(s) -> z3.BoolRef:
    """Return the safety property: the task runs on at most one worker."""
    return z3.Not(z3.And(s['run_a'] != 0, s['run_b']))


def may_begin(rules, leader, s) -> z3.BoolRef:
    """Return whether a leader's start in transit may still begin a run."""
    me = of(leader, s)
    if not rules.has_tickets:
        return me.start != 0
    is_accepted = token(rules, leader, me.start) >= s['token']
    is_new = me.run > s['ended']
    is_taken = me.ticket == s['incarnation']
    return z3.And(me.start != 0, is_accepted, is_new, is_taken)


def ticket_lemma(rules, leader, s) -> z3.BoolRef:
    """Return what holds of starts with tickets.

    If the leader's run is bound, only its own start may begin it, at the
    incarnation that it knows.
    """
    me = of(leader, s)
    incarnation = s['incarnation']
    is_current = me.known == incarnation
    is_bound = z3.And(me.leads, me.view == A, me.bound)
    parts = [
        z3.Implies(me.start != 0, me.ticket <= incarnation),
        me.grant <= incarnation,
        z3.Implies(is_bound, z3.And(me.adopted, me.grant <= me.known)),
        z3.Implies(z3.And(is_bound, s['run_a'] != 0), is_current),
    ]
    for other in LEADERS:
        is_own = z3.And(me.start == me.known, is_current)
        may_act = z3.And(is_bound, may_begin(rules, other, s))
        parts.append(z3.Implies(may_act, is_own if other == leader else False))
    return z3.And(parts)


def lemma(rules, s) -> z3.BoolRef:
    """Return the lemma: a run, now or to come, is only at ``record``.

    And a leader that has an answer of A since the start counts with a lease
    that is long enough.
    """
    implies, both = z3.Implies, z3.And
    incarnation, run_a, last = s['incarnation'], s['run_a'], s['last']
    no_start = both(
        [z3.Or(s[f'start{i}'] == 0, s[f'run{i}'] != last) for i in LEADERS]
    )
    is_last = both(s['record'] == A, run_a == last, no_start)
    idle2 = both(s['start2'] == 0, s['view2'] == 0, s['renewal2'] == 0)
    parts = [
        z3.Or(s['leads'] == 1, s['leads'] == 2),
        implies(s['leads'] == 1, both(idle2, z3.Not(s['adopted2']))),
        both(incarnation >= 1, incarnation <= MAX_INCARNATIONS),
        both(last >= 0, last <= MAX_RUNS, s['token'] >= 0),
        both(s['lease'] >= 0, s['lease'] <= LONGEST),
        both(s['ended'] >= 0, s['ended'] <= last),
        implies(s['run_b'], s['record'] == B),
        implies(run_a != 0, is_last),
        z3.Or(s['start1'] == 0, s['start2'] == 0, s['run1'] != s['run2']),
        both(s['recorded'] >= 0, s['recorded'] <= LONGEST),
        both(s['listed_by'] >= 0, s['listed_by'] <= incarnation),
    ]
    is_listed = both(s['record'] == A, s['recorded'] != 0)
    is_there = s['listed_by'] == incarnation
    parts += [
        implies(is_listed, both(no_start, s['listed_by'] >= 1)),
        implies(both(is_listed, z3.Not(is_there)), run_a == 0),
        implies(
            both(is_listed, is_there),
            both(
                s['lease'] <= s['recorded'],
                s['token'] >= token(rules, 1, incarnation),
            ),
        ),
    ]
    for leader in LEADERS:
        me = of(leader, s)
        is_current = me.known == incarnation
        at_a = both(me.leads, me.view == A)
        answered = both(at_a, z3.Not(me.unanswered))
        greatest = token(rules, leader, incarnation)
        may_start = both(s['record'] == A, me.run == last)
        late_calls_fenced = both(
            [
                implies(
                    both(called != 0, called < incarnation),
                    token(rules, leader, called) < s['token'],
                )
                for called in (me.renewal, me.start)
            ]
        )
        parts += [
            implies(is_listed, implies(at_a, me.sent)),
            implies(
                both(is_listed, is_there),
                both(
                    implies(both(me.leads, me.adopted), is_current),
                    late_calls_fenced,
                ),
            ),
            implies(me.adopted, me.belief <= LONGEST),
            both(me.known >= 0, me.known <= incarnation),
            both(me.start >= 0, me.start <= me.known),
            both(me.renewal >= 0, me.renewal <= me.known),
            implies(me.leads, both(me.known >= 1, me.view == s['record'])),
            implies(me.leads, s['token'] <= greatest),
            implies(me.adopted, me.belief >= USUAL),
            implies(may_begin(rules, leader, s), may_start),
            implies(me.start != 0, me.run <= last),
            implies(at_a, last >= 1),
            implies(answered, both(me.sent, no_start)),
            implies(both(at_a, z3.Not(me.sent)), both(run_a == 0, no_start)),
            implies(both(answered, z3.Not(is_current)), run_a == 0),
            implies(
                both(me.leads, me.adopted, is_current),
                both(s['token'] == greatest, s['lease'] <= me.belief),
            ),
        ]
        if rules.has_tickets:
            parts.append(ticket_lemma(rules, leader, s))
    return both(parts)


def model(rules: Rules = ALL_RULES) -> checking.Model:
    """Return the model under some rules."""
    late = send_start, carry_out_start, carry_out_renewal
    ruled = *late, renew, release, expire, end_with_incarnation
    transitions: list[checking.Formula] = [take_over, restart, end_run, age]
    for leader in LEADERS:
        transitions += [functools.partial(act, rules, leader) for act in ruled]
        for act in (send_renewal, end_at_b, read_list):
            transitions.append(functools.partial(act, leader))
        for worker in (A, B):
            transitions.append(functools.partial(place, rules, leader, worker))
        for name in (f'start{leader}', f'renewal{leader}'):
            transitions.append(functools.partial(lose, name))
    ruled_lemma = functools.partial(lemma, rules)
    return checking.Model(
        variables(), initial, transitions, safety, ruled_lemma
    )
