"""Steps that compare the operators' page with the program."""

import json
import os
import pathlib
import re
import shutil
import subprocess
import tempfile

from behave import then
from behave import when

from carawaymast_core import table
from carawaymast_node import settings
from features.steps import path_steps
from standins import deployment

PAGE = deployment.ROOT / 'docs' / 'OPERATIONS.md'
COMMAND = re.compile(r'^    carawaymast (.+)$', re.MULTILINE)
ROW = re.compile(r'^    ([a-z-]+,.+)$', re.MULTILINE)
# The third failure on the page, as logged by nodes in a bench run.
EXPLAINED_JOB_ID = '69fefad8ae7952c3'
LOG_LINES = [
    {'message_type': 'job_accepted', 'job': EXPLAINED_JOB_ID, 'tasks': 9},
    *(
        {
            'message_type': 'run_ended',
            'task': f'{EXPLAINED_JOB_ID}.0.0.0',
            'run_id': run_id,
            'worker': worker,
            'how': 'failed',
            'ran_ms': ran_ms,
            'why': '',
        }
        for run_id, worker, ran_ms in (
            (1, 'i-4c2afe2916', 576),
            (2, 'i-65a9ddb128', 538),
        )
    ),
    {
        'message_type': 'job_ended',
        'job': EXPLAINED_JOB_ID,
        'phase': 'failed',
        'cause': f'task {EXPLAINED_JOB_ID}.0.0.0 failed 2 times',
        'took_ms': 2014,
        'objective_ms': 4440,
    },
]
COUNTER = re.compile(r'`([a-z]+\.[a-z_]+|refusals)`')


@when('each command of docs/OPERATIONS.md is run in its order')
def run_page(context):
    directory = pathlib.Path(
        context.stack.enter_context(tempfile.TemporaryDirectory())
    )
    shutil.copy(deployment.ROOT / 'standins' / 'table.csv', directory)
    lines = [
        {**line, 'message_type': f'carawaymast:{line["message_type"]}'}
        for line in LOG_LINES
    ]
    text = '\n'.join(json.dumps(line) for line in lines)
    (directory / 'node.log').write_text(text)
    raw = path_steps.job_raw(False, 1, 100, 10, 0, 60_000)
    (directory / 'job.json').write_text(raw)
    urls = context.cluster.url_by_name
    nodes = ','.join(urls[name] for name in context.cluster.node_names)
    context.results = {}
    job_id = ''
    for words in COMMAND.findall(PAGE.read_text()):
        completed = subprocess.run(
            [str(path_steps.COMMAND), *words.replace('$JOB', job_id).split()],
            cwd=directory,
            env=os.environ | {'CARAWAYMAST_NODES': nodes},
            capture_output=True,
            text=True,
            timeout=60,
        )
        context.results[words] = completed
        if words.startswith('job submit'):
            job_id = completed.stdout.strip()


@then('each ended as the page describes')
def commands_worked(context):
    assert len(context.results) >= 10, list(context.results)
    for words, completed in context.results.items():
        assert completed.returncode == 0, (words, completed)
    words = f'explain {EXPLAINED_JOB_ID} node.log'
    cause = context.results[words].stdout.splitlines()[-1]
    assert cause in ' '.join(PAGE.read_text().split()), cause


@then('docs/OPERATIONS.md has the generated table of settings')
def settings_listed(context):
    assert settings.describe() in PAGE.read_text()


@then('every counter that docs/OPERATIONS.md names is in the metrics')
def counters_exist(context):
    url = context.cluster.url_by_name['node-0']
    metrics = deployment.call('GET', f'{url}/v1/metrics')[1]
    # The pattern also finds a file and a field of /v1/state.
    names = [n for n in COUNTER.findall(PAGE.read_text()) if n != 'job.json']
    names = [n for n in names if n != 'owner.quarantined']
    assert len(names) >= 10, names
    for name in names:
        group, _, counter = name.partition('.')
        assert group in metrics, name
        assert not counter or counter in metrics[group], name


@then('every example row of docs/OPERATIONS.md can be parsed')
def rows_parse(context):
    rows = ROW.findall(PAGE.read_text())
    assert len(rows) == 2, rows
    text = ','.join(table.COLUMNS) + '\n' + '\n'.join(rows)
    assert len(table.parse(text)) == 2
