"""Removal of old entities, so that the state of the log stays bounded.

Ended jobs and idempotency keys are kept for a day. The tallies of the node
processes are merged into one entity per day after the day has ended, so that
a year of accounts takes as many entities as it has days.

An entity with tallies is named ``account/DAY/HOLDER``. Its holder is the node
process that wrote it, or ``MERGED_HOLDER`` if it was merged.
"""

import datetime
import typing

from carawaymast_core import account
from carawaymast_core import jobs
from carawaymast_core import keys
from carawaymast_core import records

__all__ = [
    'MERGED_HOLDER',
    'account_merge_writes',
    'day_of',
    'deletion_writes',
]

RETENTION_MS = 24 * 3600 * 1000
DELETIONS_PER_RECORD = 200
MS_PER_S = 1_000
ACCOUNT_PREFIX = 'account/'
MERGED_HOLDER = 'all'


def day_of(wall_ms: int) -> str:
    """Return the day (UTC) of a wall time, as ``2026-12-31``."""
    seconds = wall_ms / MS_PER_S
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.date().isoformat()


def deletion_writes(
    by_entity: typing.Mapping[str, records.Versioned], now_ms: int
) -> list[jobs.Writes]:
    """Return the writes that delete the entities past their retention time.

    A key whose outcome is unknown is kept as long as one whose outcome is
    known.
    """
    old = [
        (entity, versioned.version)
        for entity, versioned in by_entity.items()
        if _retained_since_ms(entity, versioned.value, now_ms) + RETENTION_MS
        <= now_ms
    ]
    return [
        _deletion(dict(old[start : start + DELETIONS_PER_RECORD]))
        for start in range(0, len(old), DELETIONS_PER_RECORD)
    ]


def account_merge_writes(
    by_entity: typing.Mapping[str, records.Versioned], today: str
) -> list[jobs.Writes]:
    """Return the writes that merge the tallies of each day that has ended.

    The day before ``today`` is skipped, since a node may still write to it
    just after midnight.
    """
    yesterday = datetime.date.fromisoformat(today) - datetime.timedelta(1)
    holders_by_day: dict[str, dict[str, records.Versioned]] = {}
    for entity, versioned in by_entity.items():
        if entity.startswith(ACCOUNT_PREFIX):
            day = entity.split('/')[1]
            if day < yesterday.isoformat():
                holders_by_day.setdefault(day, {})[entity] = versioned
    return [
        _merge_day(day, by_holder)
        for day, by_holder in holders_by_day.items()
        if len(by_holder) > 1
    ]


def _deletion(version_by_entity: dict[str, int]) -> jobs.Writes:
    return jobs.Writes(version_by_entity, dict.fromkeys(version_by_entity))


def _merge_day(
    day: str, by_holder: typing.Mapping[str, records.Versioned]
) -> jobs.Writes:
    target = f'{ACCOUNT_PREFIX}{day}/{MERGED_HOLDER}'
    expects = {entity: v.version for entity, v in by_holder.items()}
    expects.setdefault(target, 0)
    puts: dict[str, typing.Any] = dict.fromkeys(by_holder)
    puts[target] = account.merge(v.value for v in by_holder.values())
    return jobs.Writes(expects, puts)


def _retained_since_ms(entity: str, value: typing.Any, now_ms: int) -> int:
    """Return when the retention time of an entity began.

    Returns ``now_ms`` for an entity that is still in use.
    """
    if entity.startswith('job/'):
        return value.get('ended_at_ms', now_ms)
    if entity.startswith(keys.PREFIXES):
        return value['at_ms']
    return now_ms
