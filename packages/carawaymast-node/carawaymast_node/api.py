"""HTTP interface for callers and operators, on circuits.web.

A route is a plain function or a coroutine that returns status and body.
Requests to run work are answered later, by the entry role.
"""

import datetime
import functools
import typing
import urllib.parse
import uuid

import circuits
from circuits.web import events as web_events

from carawaymast_core import errors
from carawaymast_core import jobs
from carawaymast_core import table as table_mod
from carawaymast_node import account_writer
from carawaymast_node import background
from carawaymast_node import connection_limiter as connection_limiter_mod
from carawaymast_node import job_service
from carawaymast_node import keyed_requests
from carawaymast_node import messages
from carawaymast_node import roles as roles_mod

__all__ = ['Api']

KEY_HEADER = 'Idempotency-Key'

StatusAndBody = tuple[int, typing.Any]


class Api(circuits.BaseComponent):
    """Routes HTTP requests of callers to the roles of the node."""

    channel = 'web'

    def __init__(
        self,
        connection_limiter: connection_limiter_mod.ConnectionLimiter,
        roles: roles_mod.Roles,
        reports: typing.Mapping[str, typing.Callable[[], StatusAndBody]],
    ):
        super().__init__()
        self._connection_limiter = connection_limiter
        self._roles = roles
        self._entry = roles.entry
        self._tables = roles.tables
        self._log = roles.log
        self._keyed_requests = keyed_requests.KeyedRequests(
            roles.clock, roles.log, roles.entry
        )
        self._job_service = job_service.JobService(
            roles.clock, roles.log, roles.tables, roles.count_by_shape
        )
        self._reports = reports
        self._background = background.TaskSet()
        self._request_id_by_sock: dict[typing.Any, str] = {}
        self.is_draining = False

    @circuits.handler('request', priority=1)
    def _on_request(self, event, request, response) -> None:
        """Route a request; its response is sent once it is available."""
        event.stop()
        # After a success event circuits.web would send a response itself.
        event.success = False
        request_id = uuid.uuid4().hex
        try:
            self._route(request, response, request_id)
        except errors.SchedulerError as error:
            self._send_error(response, error, request_id)

    @circuits.handler('disconnect')
    def _on_disconnect(self, sock) -> None:
        """Abandon the request of a caller that disconnected."""
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
            self._answer_when_done(
                response, request_id, self._post_job(request)
            )
        elif path.startswith('/v1/jobs/'):
            job_id = path.removeprefix('/v1/jobs/')
            self._on_job(method, job_id, response, request_id)
        elif method == 'GET' and path == '/v1/table':
            self._send(response, *self._get_table())
        elif method == 'PUT' and path.startswith('/v1/table/rows/'):
            kind = path.removeprefix('/v1/table/rows/')
            self._answer_when_done(
                response, request_id, self._put_row(request, kind)
            )
        elif method == 'PUT' and path == '/v1/table':
            self._answer_when_done(
                response, request_id, self._put_table(request)
            )
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
        self._answer_when_done(
            response,
            request_id,
            self._keyed_requests.submit(key, raw, request_id, body, reply),
        )

    def _check_ready(self) -> None:
        if self._tables.table.version == 0:
            raise errors.SchedulerError(
                errors.ErrorKind.NOT_READY,
                'the node has not received a table yet',
            )
        if self._roles.is_isolated:
            raise errors.SchedulerError(
                errors.ErrorKind.NOT_READY,
                'the node can reach neither the log nor any peer',
            )

    def _reply(self, sock, response, status: int, body) -> None:
        self._request_id_by_sock.pop(sock, None)
        self._send(response, status, body)

    def _on_job(self, method, job_id: str, response, request_id) -> None:
        if method == 'GET':
            self._send(response, 200, self._job_service.show(job_id))
        elif method == 'DELETE':
            self._answer_when_done(
                response, request_id, self._cancel_job(job_id)
            )
        else:
            raise errors.SchedulerError(
                errors.ErrorKind.NOT_FOUND, f'no route {method} for a job'
            )

    async def _post_job(self, request) -> StatusAndBody:
        if self.is_draining:
            raise errors.SchedulerError(
                errors.ErrorKind.SHUTTING_DOWN, 'the node is shutting down'
            )
        self._check_ready()
        raw = request.body.getvalue()
        spec = messages.decode(raw, jobs.JobSpec)
        key = request.headers.get(KEY_HEADER)
        return 202, {'job_id': await self._job_service.accept(spec, raw, key)}

    async def _cancel_job(self, job_id: str) -> StatusAndBody:
        return 200, await self._job_service.cancel(job_id)

    def _get_table(self) -> StatusAndBody:
        table = self._tables.table
        rows = [
            table_mod.row_fields(table.by_kind[kind])
            for kind in sorted(table.by_kind)
        ]
        return 200, {'version': table.version, 'rows': rows}

    def _get_account(self, query: str) -> StatusAndBody:
        """Return the tallies that all nodes have written to the log."""
        values = urllib.parse.parse_qs(query)
        days = []
        for name in ('from', 'to'):
            text = values.get(name, [''])[0]
            try:
                days.append(datetime.date.fromisoformat(text).isoformat())
            except ValueError:
                raise errors.SchedulerError(
                    errors.ErrorKind.BAD_REQUEST,
                    f'{name} is {text!r}, allowed: a date such as 2026-12-31',
                ) from None
        return 200, account_writer.merged(self._log.replica, *days)

    async def _put_row(self, request, kind: str) -> StatusAndBody:
        fields = _decode_fields(request, dict[str, str])
        row = table_mod.parse_row({**fields, 'kind': kind})
        version = await self._tables.edit(_if_match(request), [row])
        return 200, {'version': version}

    async def _put_table(self, request) -> StatusAndBody:
        """Replace all rows of the table in one edit."""
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

    def _answer_when_done(self, response, request_id: str, coroutine) -> None:
        sending = self._send_result(response, request_id, coroutine)
        self._background.spawn(sending)

    async def _send_result(self, response, request_id, coroutine) -> None:
        try:
            result = await coroutine
        except errors.SchedulerError as error:
            self._send_error(response, error, request_id)
        except Exception as error:
            internal = errors.SchedulerError(
                errors.ErrorKind.INTERNAL, repr(error)
            )
            self._send_error(response, internal, request_id)
        else:
            if result is not None:
                self._send(response, *result)

    def _send_error(self, response, error, request_id: str) -> None:
        self._request_id_by_sock.pop(response.request.sock, None)
        body = errors.error_body(error, request_id)
        self._send(response, error.answer.status, body)

    def _send(self, response, status: int, body: typing.Any) -> None:
        if not self._connection_limiter.is_open(response.request.sock):
            return
        connection_limiter_mod.json_response(response, status, body)
        if self.is_draining:
            response.close = True
        self.fire(web_events.response(response))


def _if_match(request) -> int:
    text = request.headers.get('If-Match', '').strip('"')
    if not text.isdigit():
        raise errors.SchedulerError(
            errors.ErrorKind.BAD_REQUEST,
            f'If-Match is {text!r}, allowed: a version number of the table',
        )
    return int(text)


def _decode_fields(request, body_type) -> typing.Any:
    return messages.decode(request.body.getvalue(), body_type)
