"""Steps on nodes that follow the store while another node leads."""

import asyncio
import os
import subprocess
import sys

from behave import given
from behave import then
from behave import when

from carawaymast_core.cell import cell as cell_mod
from carawaymast_core.cell import records
from carawaymast_core.cell import takeover
from carawaymast_core.cell import view as view_mod
from carawaymast_node.cells import telemetry
from features import cell_world
from standins import virtual

# Begins like a record but is none.
RECORD_LIKE_BYTES = b'\x95garbage'


def job_record(task_count):
    task = records.TaskRecord(False, 1, 0, '', ())
    return records.JobRecord(
        records.JobPhase.RUNNING, '', True, 0, (((task,) * task_count,),)
    )


@given('a view of {count:d} jobs with their states, as read from the store')
def make_view(context, count):
    context.unreadable = []
    context.view = view_mod.JobView(
        lambda key, error: context.unreadable.append(key)
    )
    for number in range(count):
        job_id = f'j{number}'
        job = cell_world.job(job_id, cell_world.step(4))
        key = job_id + records.SUBMISSION_SUFFIX
        context.view.apply_state(key, records.encode(job))
        context.view.apply_state(job_id, records.encode(job_record(4)))


@when('a caller asks for one of them')
def ask_for_one(context):
    decoded = []
    decode = records.decode

    def counted(kind, raw):
        decoded.append(kind)
        return decode(kind, raw)

    records.decode = counted
    try:
        assert context.view.phase('j7') is records.JobPhase.RUNNING
    finally:
        records.decode = decode
    context.decoded = decoded


@then('{count:d} record was decoded')
def decoded_count_is(context, count):
    assert len(context.decoded) == count, context.decoded


@when('a leader takes them over')
def leader_loads(context):
    context.cell = cell_mod.Cell(1, 4_500, lambda event_type, **fields: None)
    takeover.load(context.cell, context.view, 0, 0)


@then('it has {count:d} jobs')
def has_jobs(context, count):
    assert len(context.cell.job_by_id) == count, context.cell.job_by_id


@when('the state of the second is replaced by bytes that only begin like one')
def garble(context):
    context.view.apply_state('j1', RECORD_LIKE_BYTES)


@then('the log names the second job once')
def named_once(context):
    assert context.unreadable == ['j1'], context.unreadable


@when('the state of the second is replaced by bytes of another writer')
def apply_foreign_bytes(context):
    try:
        context.view.apply_state('j1', b'{"state":"completed"}')
    except ValueError:
        return
    raise AssertionError('the bytes were accepted as a record')


@then('the second job is still running')
def still_running(context):
    assert context.view.phase('j1') is records.JobPhase.RUNNING


@when('a process imports what a node on the platform needs')
def import_node(context):
    code = (
        'import sys, carawaymast_node.main, carawaymast_node.cells.process, '
        'carawaymast_platform; print(*sys.modules)'
    )
    found = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        text=True,
        check=True,
        env=dict(os.environ),
    )
    context.modules = found.stdout.split()


@then('it has not imported the standalone node')
def standalone_not_imported(context):
    assert 'carawaymast_node.cells.service' in context.modules
    assert 'carawaymast_node.node' not in context.modules
    assert 'carawaymast_node.api' not in context.modules


@given("a node's output without lines")
def quiet_output(context):
    context.loop = virtual.VirtualLoop()
    asyncio.set_event_loop(context.loop)
    context.stack.callback(context.loop.close)


@when('{seconds:d} s pass and then a line is written')
def pass_quietly(context, seconds):
    flushed = []
    flush = telemetry._Output.flush

    def counted(output):
        flushed.append(context.loop.time())
        return flush(output)

    async def write_after_pause():
        read, write = os.pipe()
        output = telemetry._Output(write)
        writing = asyncio.ensure_future(telemetry.keep_flushing(output))
        await asyncio.sleep(seconds)
        output.put(b'line\n')
        await asyncio.sleep(1)
        writing.cancel()
        assert os.read(read, 100) == b'line\n'
        os.close(read)
        os.close(write)

    telemetry._Output.flush = counted
    try:
        context.loop.run_until_complete(write_after_pause())
    finally:
        telemetry._Output.flush = flush
    context.flushed = flushed


@then('the output was flushed once')
def flushed_once(context):
    assert len(context.flushed) == 1, context.flushed


@when('a process gets SIGHUP as it imports what a node needs')
def hang_up_importing(context):
    code = (
        'import importlib, os, signal, sys\n'
        'from carawaymast_node import main\n'
        'def import_module(name):\n'
        '    os.kill(os.getpid(), signal.SIGHUP)\n'
        '    sys.exit(7)\n'
        'importlib.import_module = import_module\n'
        "sys.argv = ['carawaymastd', '--adapter=any']\n"
        'main.run()\n'
    )
    context.status = subprocess.run([sys.executable, '-c', code]).returncode


@then('it has gone on with its start')
def went_on(context):
    assert context.status == 7, context.status
