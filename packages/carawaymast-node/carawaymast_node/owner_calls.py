"""The coordinator's calls to owners: reserve, release and start."""

import typing

from carawaymast_core import attempts
from carawaymast_core import jobs
from carawaymast_core import membership
from carawaymast_node import channels
from carawaymast_node import peer_pb2

__all__ = ['OwnerCalls', 'Place', 'by_member']


class Place(typing.NamedTuple):
    """A reservation for an attempt, made by the owner ``member``.

    A pending reservation waits for running tasks to end.
    """

    member: membership.Member
    worker_id: str
    is_pending: bool
    token: int


def by_member(places) -> dict[membership.Member, list[jobs.TaskRef]]:
    """Return the attempts grouped by the owner of their reservation."""
    by_member: dict[membership.Member, list[jobs.TaskRef]] = {}
    for ref, place in places.items():
        by_member.setdefault(place.member, []).append(ref)
    return by_member


class OwnerCalls:
    """Makes reservations at owners and starts claimed attempts."""

    def __init__(
        self, call: typing.Callable[..., typing.Awaitable[typing.Any]]
    ):
        self._call = call

    async def reserve(
        self, job_id, value, due, owners, may_hold
    ) -> dict[jobs.TaskRef, 'Place']:
        """Reserve at one owner after another.

        With ``may_hold``, a second round makes pending reservations for the
        attempts without one.
        """
        places: dict[jobs.TaskRef, Place] = {}
        rounds = [False, True] if may_hold else [False]
        for may_be_pending in rounds:
            for member in owners:
                remaining = {r: t for r, t in due.items() if r not in places}
                if not remaining:
                    return places
                places.update(
                    await self.reserve_at(
                        member, job_id, value, remaining, may_be_pending
                    )
                )
        return places

    async def reserve_at(
        self, member, job_id, value, remaining, may_hold, may_preempt=False
    ) -> dict[jobs.TaskRef, Place]:
        """Reserve at one owner; return the reservations that it made."""
        request = peer_pb2.ReserveTasksRequest(
            wishes=[
                peer_pb2.TaskWish(
                    ref=str(ref),
                    kind=value['spec']['kind'],
                    size=peer_pb2.Resources(**jobs.size_of(task)._asdict()),
                )
                for ref, task in remaining.items()
            ],
            accepted_at_ms=value['accepted_at_ms'],
            job_id=job_id,
            may_hold=may_hold,
            may_preempt=may_preempt,
        )
        try:
            reply = await self._call(member, 'ReserveTasks', request)
        except channels.PeerError:
            return {}
        return {
            jobs.parse_ref(place.ref): Place(
                member, place.worker_id, place.is_pending, place.token
            )
            for place in reply.places
        }

    async def reserve_with_preemption(self, job_id, value, due, owners):
        """Reserve at the first owner that can preempt tasks for it."""
        for member in owners:
            places = await self.reserve_at(
                member, job_id, value, due, False, may_preempt=True
            )
            if places:
                return places
        return {}

    async def start(self, member, refs, due, places) -> list[jobs.TaskRef]:
        """Start claimed attempts; return those that will never start.

        If the owner does not answer, none are returned: the owner compares
        the log with its tracker and ends the claims that do not run.
        """
        request = peer_pb2.StartTasksRequest(
            starts=[
                peer_pb2.TaskStart(
                    ref=str(ref),
                    worker_id=places[ref].worker_id,
                    token=places[ref].token,
                    run_ms=due[ref]['run_ms'],
                )
                for ref in refs
            ]
        )
        try:
            reply = await self._call(member, 'StartTasks', request)
        except channels.PeerError:
            return []
        return [
            jobs.parse_ref(status.ref)
            for status in reply.statuses
            if status.status == attempts.AttemptStatus.NEVER
        ]

    async def release(self, places) -> None:
        """Release reservations."""
        for member, refs in by_member(places).items():
            message = peer_pb2.TaskRefs(refs=[str(ref) for ref in refs])
            try:
                await self._call(member, 'ReleaseTasks', message)
            except channels.PeerError:
                continue
