"""Search for nodes that answer by a version that is no longer in force.

Nodes follow an operator's configuration on a virtual clock, while their
connections are cut, refused and silenced at random. A node that was left
alone for ``CONTACT_MS``, like the store, must answer by each version
``store_network.APPLY_MS`` after its acknowledgement::

    python -m bench.late_configuration FIRST_SEED COUNT
"""

import asyncio
import collections
import random
import sys
import typing

from carawaymast_core import clock as clock_mod
from standins import keyed_log
from standins import store_network
from standins import virtual

__all__ = ['LateAnswer', 'find_late_answers']

CONTACT_MS = 3_000
NODES = 5
TRIAL_MS = 30_000
WARM_UP_S = 3.0
CHECK_INTERVAL_S = 0.05
MS_PER_S = 1_000
BASE = '/base/'
# How many versions have their routes in the newest one.
KEPT_ROUTES = 4
# What each fault does to the nodes that it strikes.
EFFECTS_BY_FAULT: typing.Final = {
    'store cut': ('cut',),
    'cut off': ('cut', 'peers'),
    'peers cut': ('peers',),
    'refused': ('busy',),
    'ignored': ('mute',),
    'connections silent': (),
    'history dropped': (),
}
# Effects that show at the store, so that it counts as disturbed.
STORE_EFFECTS = ('busy', 'mute')


class LateAnswer(typing.NamedTuple):
    """A status that only an older version allows."""

    at_ms: int
    node_id: str
    path: str
    status: int
    version: int | None


class _Version(typing.NamedTuple):
    number: int
    path: str
    acknowledged_at_ms: int


class _Trial:
    """One run of nodes, faults and versions."""

    def __init__(self, seed: int):
        self._random = random.Random(seed)
        # Peers are tried in random order.
        random.seed(seed)
        self.loop = virtual.VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self._clock = clock_mod.Clock(lambda: int(self.loop.time() * MS_PER_S))
        self._log = keyed_log.KeyedLog()
        self.node_by_id: dict[str, store_network.ConfiguredNode] = {}
        for number in range(NODES):
            node_id = f'n{number}'
            self.node_by_id[node_id] = store_network.ConfiguredNode(
                node_id, self._log, self._clock, self.node_by_id
            )
        store_network.add_members(self._log, self.node_by_id)
        self._versions: list[_Version] = []
        self._effects: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._disturbed_at_ms_by_id = dict.fromkeys(self.node_by_id, 0)
        self._store_disturbed_at_ms = 0
        self._faults: set[asyncio.Task] = set()
        self.notes: list[tuple[int, str, list[str]]] = []
        self.late_answers: list[LateAnswer] = []

    async def run(self) -> None:
        """Run the trial and collect the late answers."""
        self._declare(1)
        for node in self.node_by_id.values():
            node.start()
        await asyncio.sleep(WARM_UP_S)
        until_ms = self._clock.now() + TRIAL_MS
        disturbing = asyncio.ensure_future(self._keep_disturbing())
        declaring = asyncio.ensure_future(self._keep_declaring())
        while self._clock.now() < until_ms:
            await self._check()
            await asyncio.sleep(CHECK_INTERVAL_S)
        for task in (disturbing, declaring, *self._faults):
            task.cancel()
        for node in self.node_by_id.values():
            node.stop()
        await asyncio.sleep(1)

    async def _keep_declaring(self) -> typing.NoReturn:
        number = 1
        while True:
            number += self._random.randint(1, 3)
            self._declare(number)
            await asyncio.sleep(self._random.choice((0.2, 0.4, 1.5, 3.0)))

    def _declare(self, number: int) -> None:
        """Acknowledge a version, with one new route and some older ones."""
        path = f'/r{number}/'
        self._versions.append(_Version(number, path, self._clock.now()))
        kept = [version.path for version in self._versions[-KEPT_ROUTES:]]
        store_network.declare(self._log, number, [BASE, *kept])

    async def _keep_disturbing(self) -> typing.NoReturn:
        while True:
            await asyncio.sleep(self._random.uniform(0.2, 2.0))
            task = asyncio.ensure_future(self._disturb())
            self._faults.add(task)
            task.add_done_callback(self._faults.discard)

    async def _disturb(self) -> None:
        fault = self._random.choice(list(EFFECTS_BY_FAULT))
        struck = self._random.sample(
            list(self.node_by_id), self._random.randint(1, 3)
        )
        if fault == 'connections silent':
            struck = list(self.node_by_id)
            for node in self.node_by_id.values():
                node.path.silence_connections()
        if fault == 'history dropped':
            self._log.drop_history()
            self._store_disturbed_at_ms = self._clock.now()
            struck = []
        self.notes.append((self._clock.now(), fault, struck))
        keys = [(n, e) for n in struck for e in EFFECTS_BY_FAULT[fault]]
        self._effects.update(keys)
        self._apply_effects(struck)
        await asyncio.sleep(self._random.uniform(0.3, 7.0) if keys else 0)
        self._effects.subtract(keys)
        self._apply_effects(struck)
        self.notes.append((self._clock.now(), f'{fault} ended', struck))

    def _apply_effects(self, node_ids: typing.Iterable[str]) -> None:
        now_ms = self._clock.now()
        for node_id in node_ids:
            self._disturbed_at_ms_by_id[node_id] = now_ms
            node = self.node_by_id[node_id]
            node.path.is_cut = self._effects[node_id, 'cut'] > 0
            node.is_cut_off = self._effects[node_id, 'peers'] > 0
            node.path.refusal = next(
                (e for e in STORE_EFFECTS if self._effects[node_id, e] > 0),
                '',
            )
            if node.path.refusal:
                self._store_disturbed_at_ms = now_ms

    def _is_in_touch(self, node_id: str) -> bool:
        """Return whether node and store were left alone long enough."""
        calm_since_ms = max(
            self._disturbed_at_ms_by_id[node_id], self._store_disturbed_at_ms
        )
        now_ms = self._clock.now()
        return now_ms - calm_since_ms > CONTACT_MS and not any(
            count > 0 and (struck == node_id or effect in STORE_EFFECTS)
            for (struck, effect), count in self._effects.items()
        )

    async def _check(self) -> None:
        """Ask each node that is in touch for routes old and new."""
        due_ms = self._clock.now() - store_network.APPLY_MS
        old = [v for v in self._versions if v.acknowledged_at_ms < due_ms]
        in_touch = [n for n in self.node_by_id if self._is_in_touch(n)]
        if not old or not in_touch:
            return
        kept = self._versions[-KEPT_ROUTES:]
        expected = [(v.path, 404) for v in old if v in kept]
        expected += [
            (v.path, 200) for v in old[-2 * KEPT_ROUTES : -KEPT_ROUTES]
        ]
        for node_id in in_touch:
            for path, wrong_status in expected:
                await self._ask(node_id, path, wrong_status)

    async def _ask(self, node_id: str, path: str, wrong_status: int) -> None:
        at_ms = self._clock.now()
        node = self.node_by_id[node_id]
        status = await node.status(path)
        if status == wrong_status:
            version = node.replica.configuration.routes.version
            self.late_answers.append(
                LateAnswer(at_ms, node_id, path, status, version)
            )


def find_late_answers(seed: int) -> list[LateAnswer]:
    """Return the late answers of one trial."""
    trial = _Trial(seed)
    try:
        trial.loop.run_until_complete(trial.run())
    finally:
        trial.loop.close()
    return trial.late_answers


def main(first_seed: int, count: int) -> int:
    """Run trials, print one line each, return 1 if an answer was late."""
    failed = 0
    for seed in range(first_seed, first_seed + count):
        found = find_late_answers(seed)
        failed += bool(found)
        print(seed, len(found), *found[:1], flush=True)
    print(f'{failed} of {count} trials with late answers')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
