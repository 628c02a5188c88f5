"""The owner's handlers for coordinators: reserve, release and start."""

import typing

from carawaymast_core import attempts
from carawaymast_core import jobs
from carawaymast_core import resources
from carawaymast_node import owner as owner_mod
from carawaymast_node import peer_pb2
from carawaymast_node import peers

__all__ = ['register']


def register(
    service: peers.PeerService, owner: owner_mod.OwnerService
) -> None:
    """Register the handlers for calls of coordinators on ``service``."""

    async def reserve(
        request: peer_pb2.ReserveTasksRequest,
    ) -> peer_pb2.ReserveTasksReply:
        claimant = attempts.Claimant(request.accepted_at_ms, request.job_id)
        places = []
        for task in request.wishes:
            place = _reserve_one(
                owner,
                task,
                claimant,
                request.may_hold,
                request.may_preempt,
            )
            if place is not None:
                places.append(place)
        return peer_pb2.ReserveTasksReply(places=places)

    async def release(request: peer_pb2.TaskRefs) -> peer_pb2.Empty:
        for ref in request.refs:
            owner.tracker.release(jobs.parse_ref(ref))
        return peer_pb2.Empty()

    async def start(
        request: peer_pb2.StartTasksRequest,
    ) -> peer_pb2.TaskStatuses:
        statuses = []
        for one in request.starts:
            if not owner.owns(one.worker_id):
                continue
            ref = jobs.parse_ref(one.ref)
            status = await owner.tasks.start_task(
                one.worker_id, ref, one.token, one.run_ms
            )
            statuses.append(peer_pb2.TaskStatus(ref=one.ref, status=status))
        return peer_pb2.TaskStatuses(statuses=statuses)

    service.handler_by_method['ReserveTasks'] = reserve
    service.handler_by_method['ReleaseTasks'] = release
    service.handler_by_method['StartTasks'] = start


def _reserve_one(
    owner: owner_mod.OwnerService,
    task: peer_pb2.TaskWish,
    claimant: attempts.Claimant,
    may_hold: bool,
    may_preempt: bool,
) -> typing.Any:
    size = resources.Resources(
        task.size.cpu_millis, task.size.memory_mb, task.size.accelerators
    )
    ref = jobs.parse_ref(task.ref)
    # With may_hold, the whole gang was checked against the limit when its job
    # was accepted. A renewal repeats a reservation that was checked.
    is_checked = may_hold or owner.tracker.is_reserved(ref)
    if not is_checked and not owner.tasks.is_within_limit(task.kind, size):
        return None
    reservation = owner.tracker.reserve(
        ref,
        task.kind,
        size,
        claimant,
        may_hold,
        is_allowed=owner.may_place,
    )
    if reservation is None and may_preempt:
        reservation = owner.tasks.preempt(
            ref, task.kind, size, claimant, owner.may_place
        )
    if reservation is None:
        return None
    return peer_pb2.TaskPlace(
        ref=task.ref,
        worker_id=reservation.worker_id,
        is_pending=reservation.is_pending,
        token=reservation.token,
    )
