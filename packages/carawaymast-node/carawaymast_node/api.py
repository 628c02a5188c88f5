"""The interface for callers and operators, over circuits.web.

Each route is a coroutine or a plain function that returns status and body;
requests are answered later, by the entry role.
"""

import asyncio
import datetime
import functools
import typing
import urllib.parse
import uuid

import circuits
from circuits.web import events as web_events

from carawaymast_core import clock as clock_mod
from carawaymast_core import errors
from carawaymast_core import jobs
from carawaymast_core import keys
from carawaymast_core import table as table_mod
from carawaymast_node import account_writer
from carawaymast_node import guard as guard_mod
from carawaymast_node import log_service
from carawaymast_node import messages
from carawaymast_node import roles as roles_mod

__all__ = ['Api']

JOB_COMMIT_TIMEOUT_MS = 5_000
KEY_HEADER = 'Idempotency-Key'
NO_BODY: dict[str, typing.Any] = {}

Answered = tuple[int, typing.Any]


class Api(circuits.BaseComponent):
    """Routes requests of callers to the roles of the node."""

    channel = 'web'

    def __init__(
        self,
        guard: guard_mod.Guard,
        roles: roles_mod.Roles,
        reports: typing.Mapping[str, typing.Callable[[], Answered]],
    ):
        super().__init__()
        self._guard = guard
        self._roles = roles
        self._entry = roles.entry
        self._tables = roles.tables
        self._log = roles.log
        self._reports = reports
        self._background: set[asyncio.Task] = set()
        self._request_id_by_sock: dict[typing.Any, str] = {}
        self.is_draining = False

    @circuits.handler('request', priority=1)
    def _on_request(self, event, request, response) -> None:
        """Route a request; the answer is sent when it is there."""
        event.stop()
        event.success = False
        request_id = uuid.uuid4().hex
        try:
            self._route(request, response, request_id)
        except errors.SchedulerError as error:
            self._send_error(response, error, request_id)

    @circuits.handler('disconnect')
    def _on_disconnect(self, sock) -> None:
        """Tell the entry role that a caller went away."""
        request_id = self._request_id_by_sock.pop(sock, None)
        if request_id is not None:
            self._entry.abandon(request_id)

    def _route(self, request, response, request_id: str) -> None:
        method = request.method
        path = request.path
        report = self._reports.get(path)
        if method == 'POST' and path == '/v1/requests':
            self._on_post_request(request, response, request_id)
        elif method == 'GET' and path == '/v1/account' and request.qs:
            self._send(response, *self._get_account(request.qs))
        elif method in ('GET', 'HEAD') and report is not None:
            self._send(response, *report())
        elif method == 'POST' and path == '/v1/jobs':
            self._later(response, request_id, self._post_job(request))
        elif path.startswith('/v1/jobs/'):
            job_id = path.removeprefix('/v1/jobs/')
            self._on_job(method, job_id, response, request_id)
        elif method == 'GET' and path == '/v1/table':
            self._send(response, *self._get_table())
        elif method == 'PUT' and path.startswith('/v1/table/rows/'):
            kind = path.removeprefix('/v1/table/rows/')
            self._later(response, request_id, self._put_row(request, kind))
        elif method == 'PUT' and path == '/v1/table':
            self._later(response, request_id, self._put_table(request))
        else:
            raise errors.SchedulerError(
                errors.ErrorKind.NOT_FOUND, f'no route {method} {path}'
            )

    def _on_post_request(self, request, response, request_id: str) -> None:
        raw = request.body.getvalue()
        body = messages.decode(raw, messages.RequestBody)
        self._check_ready()
        key = request.headers.get(KEY_HEADER)
        sock = request.sock
        self._request_id_by_sock[sock] = request_id
        reply = functools.partial(self._reply, sock, response)
        if key is None or body['idempotent']:
            self._entry.submit(request_id, body, reply)
            return
        name = keys.entity(body['team'], key)
        self._later(
            response,
            request_id,
            self._keyed(name, keys.digest(raw), request_id, body, reply),
        )

    def _check_ready(self) -> None:
        if self._tables.table.version == 0:
            raise errors.SchedulerError(
                errors.ErrorKind.NOT_READY, 'the node has no table yet'
            )
        if self._roles.is_isolated:
            raise errors.SchedulerError(
                errors.ErrorKind.NOT_READY,
                'the node reaches neither the log nor any peer',
            )

    def _reply(self, sock, response, status: int, body) -> None:
        self._request_id_by_sock.pop(sock, None)
        self._send(response, status, body)

    async def _keyed(
        self, name, body_digest, request_id, body, reply
    ) -> Answered | None:
        """Claim the key in the log, run the request, keep its outcome."""
        replica = self._log.replica
        kept = keys.outcome(replica, name, body_digest)
        if kept is not None:
            return kept
        now_ms = clock_mod.wall_ms()
        writes = keys.claim(replica, name, body_digest, request_id, now_ms)
        request = self._entry.admit(
            request_id,
            body,
            functools.partial(self._reply_keyed, name, request_id, reply),
        )
        error = await self._claim_key(name, request_id, writes, body)
        if error is not None:
            self._entry.refuse(request, error)
        else:
            self._entry.enqueue(request)
        return None

    async def _claim_key(
        self, name, request_id, writes, body
    ) -> errors.SchedulerError | None:
        """Return why a key could not be claimed, None if it was."""
        try:
            if await self._log.commit(writes, body['deadline_ms']):
                return None
        except log_service.CommitError as error:
            if error.was_sent:
                # The claim may still apply; this node then releases it.
                self._spawn(self._release_key(name, request_id))
            return errors.SchedulerError(
                errors.ErrorKind.LOG_UNAVAILABLE, str(error)
            )
        return errors.SchedulerError(
            errors.ErrorKind.KEY_IN_PROGRESS,
            f'another request with key {name!r} came first',
        )

    def _reply_keyed(self, name, request_id, reply, status, body) -> None:
        reply(status, body)
        if body.get('ran') == 'no':
            self._spawn(self._release_key(name, request_id))
            return
        if body.get('ran') == 'unknown':
            return
        kept = body
        if len(messages.encode(body)) > keys.KEPT_RESULT_BYTES:
            kept = dict(body, result=None, detail='the result was not kept')
        self._spawn(self._settle_key(name, request_id, status, kept))

    async def _settle_key(self, name, request_id, status, body) -> None:
        writes = keys.settle(
            self._log.replica,
            name,
            request_id,
            status,
            body,
            clock_mod.wall_ms(),
        )
        await self._commit_quietly(writes)

    async def _release_key(self, name, request_id) -> None:
        for _ in range(60):
            writes = keys.release(
                self._log.replica, name, request_id, clock_mod.wall_ms()
            )
            if writes is not None and await self._commit_quietly(writes):
                return
            await asyncio.sleep(1)

    async def _commit_quietly(self, writes: jobs.Writes | None) -> bool:
        if writes is None:
            return False
        try:
            return await self._log.commit(writes, JOB_COMMIT_TIMEOUT_MS)
        except log_service.CommitError:
            return False

    def _on_job(self, method, job_id: str, response, request_id) -> None:
        if method == 'GET':
            self._send(response, 200, self._show_job(job_id))
        elif method == 'DELETE':
            self._later(response, request_id, self._cancel_job(job_id))
        else:
            raise errors.SchedulerError(
                errors.ErrorKind.NOT_FOUND, f'no route {method} for a job'
            )

    async def _post_job(self, request) -> Answered:
        raw = request.body.getvalue()
        spec = messages.decode(raw, jobs.JobSpec)
        self._check_job(spec)
        job_id = uuid.uuid4().hex
        now_ms = clock_mod.wall_ms()
        writes = jobs.accept(job_id, spec, now_ms)
        key = request.headers.get(KEY_HEADER)
        if key is not None:
            name = 'job-' + keys.entity(spec['team'], key)
            body_digest = keys.digest(raw)
            kept = keys.outcome(self._log.replica, name, body_digest)
            if kept is not None:
                return kept
            claim = keys.claim(
                self._log.replica, name, body_digest, job_id, now_ms
            )
            claim.puts[name].update(
                state=keys.KeyState.DONE.value,
                status=202,
                body={'job_id': job_id},
            )
            writes.expects.update(claim.expects)
            writes.puts.update(claim.puts)
        if not await self._commit(writes):
            raise errors.SchedulerError(
                errors.ErrorKind.KEY_IN_PROGRESS,
                'another job with the same key came first',
            )
        return 202, {'job_id': job_id}

    def _check_job(self, spec: jobs.JobSpec) -> None:
        if self.is_draining:
            raise errors.SchedulerError(
                errors.ErrorKind.SHUTTING_DOWN, 'the node is shutting down'
            )
        row = self._tables.table.by_kind.get(spec['kind'])
        if row is None:
            raise errors.SchedulerError(
                errors.ErrorKind.UNKNOWN_KIND,
                f'kind is {spec["kind"]!r}, the table has no such row',
            )
        if row.team != spec['team']:
            raise errors.SchedulerError(
                errors.ErrorKind.BAD_REQUEST,
                f'team is {spec["team"]!r}, kind {row.kind} is of {row.team}',
            )
        jobs.check_spec(spec)
        shapes = self._roles.fleet_shapes()
        if not shapes:
            raise errors.SchedulerError(
                errors.ErrorKind.NOT_READY, 'no worker is known yet'
            )
        for task in spec['tasks']:
            size = jobs.size_of(task)
            if not any(size.fits_in(shape) for shape in shapes):
                raise errors.SchedulerError(
                    errors.ErrorKind.IMPOSSIBLE_JOB,
                    f'task {task["name"]!r} needs {tuple(size)}, '
                    'more than any worker has',
                )

    def _show_job(self, job_id: str) -> typing.Any:
        replica = self._log.replica
        value = replica.get(jobs.job_entity(job_id)).value
        if value is None:
            raise errors.SchedulerError(
                errors.ErrorKind.NOT_FOUND, f'no job {job_id!r}'
            )
        tasks = []
        for task in value['spec']['tasks']:
            entity = jobs.task_entity(job_id, task['name'])
            known = replica.get(entity).value or {}
            state = known.get('state', jobs.TaskState.PENDING.value)
            tasks.append(
                {
                    'name': task['name'],
                    'state': state,
                    'attempt': known.get('attempt', 0),
                    'worker': known.get('worker'),
                }
            )
        return {
            'job_id': job_id,
            'kind': value['spec']['kind'],
            'team': value['spec']['team'],
            'gang': value['spec']['gang'],
            'state': value['state'],
            'tasks': tasks,
        }

    async def _cancel_job(self, job_id: str) -> Answered:
        self._show_job(job_id)
        now_ms = clock_mod.wall_ms()
        writes = jobs.cancel(self._log.replica, job_id, now_ms)
        if writes is not None and not await self._commit(writes):
            writes = None
        if writes is None:
            shown = self._show_job(job_id)
            raise errors.SchedulerError(
                errors.ErrorKind.CONFLICT,
                f'job {job_id} is {shown["state"]}',
            )
        return 200, {'job_id': job_id, 'state': 'cancelled'}

    def _get_table(self) -> Answered:
        table = self._tables.table
        rows = [
            table_mod.row_fields(table.by_kind[kind])
            for kind in sorted(table.by_kind)
        ]
        return 200, {'version': table.version, 'rows': rows}

    def _get_account(self, query: str) -> Answered:
        """Return what the log holds of all nodes' tallies."""
        values = urllib.parse.parse_qs(query)
        days = []
        for name in ('from', 'to'):
            text = values.get(name, [''])[0]
            try:
                days.append(datetime.date.fromisoformat(text).isoformat())
            except ValueError:
                raise errors.SchedulerError(
                    errors.ErrorKind.BAD_REQUEST,
                    f'{name} is {text!r}, allowed: a day as 2026-12-31',
                ) from None
        return 200, account_writer.merged(self._log.replica, *days)

    async def _put_row(self, request, kind: str) -> Answered:
        fields = _decode_fields(request, dict[str, str])
        row = table_mod.parse_row({**fields, 'kind': kind})
        version = await self._tables.edit(_if_match(request), [row])
        return 200, {'version': version}

    async def _put_table(self, request) -> Answered:
        """Replace the whole table in one edit."""
        rows = [
            table_mod.parse_row(fields)
            for fields in _decode_fields(request, list[dict[str, str]])
        ]
        version = _if_match(request)
        kept = {row.kind for row in rows}
        removed = set(self._tables.table.by_kind) - kept
        return 200, {
            'version': await self._tables.edit(version, rows, removed)
        }

    async def _commit(self, writes: jobs.Writes) -> bool:
        try:
            return await self._log.commit(writes, JOB_COMMIT_TIMEOUT_MS)
        except log_service.CommitError as error:
            kind = errors.ErrorKind.LOG_UNAVAILABLE
            if error.was_sent:
                kind = errors.ErrorKind.OUTCOME_UNKNOWN
            raise errors.SchedulerError(kind, str(error)) from None

    def _later(self, response, request_id: str, coroutine) -> None:
        self._spawn(self._answer_later(response, request_id, coroutine))

    async def _answer_later(self, response, request_id, coroutine) -> None:
        try:
            answered = await coroutine
        except errors.SchedulerError as error:
            self._send_error(response, error, request_id)
        except Exception as error:
            internal = errors.SchedulerError(
                errors.ErrorKind.INTERNAL, repr(error)
            )
            self._send_error(response, internal, request_id)
        else:
            if answered is not None:
                self._send(response, *answered)

    def _send_error(self, response, error, request_id: str) -> None:
        self._request_id_by_sock.pop(response.request.sock, None)
        body = errors.error_body(error, request_id)
        self._send(response, error.answer.status, body)

    def _send(self, response, status: int, body: typing.Any) -> None:
        if not self._guard.is_open(response.request.sock):
            return
        guard_mod.json_response(response, status, body)
        if self.is_draining:
            response.close = True
        self.fire(web_events.response(response))

    def _spawn(self, coroutine: typing.Coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)


def _if_match(request) -> int:
    text = request.headers.get('If-Match', '').strip('"')
    if not text.isdigit():
        raise errors.SchedulerError(
            errors.ErrorKind.BAD_REQUEST,
            f'If-Match is {text!r}, allowed: the version of the table',
        )
    return int(text)


def _decode_fields(request, body_type) -> typing.Any:
    return messages.decode(request.body.getvalue(), body_type)
