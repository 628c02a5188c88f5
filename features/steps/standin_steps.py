"""Steps on the stand-ins themselves."""

import contextlib
import socket
import sys

from behave import then
from behave import when

from standins import deployment


@when('{count:d} ports are drawn for processes')
def draw_ports(context, count):
    context.ports = [deployment.free_port() for _ in range(count)]


@then('all of them differ')
def ports_differ(context):
    assert len(set(context.ports)) == len(context.ports)


@then('each can be bound by the process that gets it')
def ports_bind(context):
    for port in context.ports:
        with contextlib.closing(socket.socket()) as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((deployment.HOST, port))
            listener.listen()


@when('a deployment waits for a process that ends with an error')
def wait_for_ended(context):
    cluster = deployment.Deployment()
    context.stack.push(cluster)
    cluster.spawn('log', 1, [sys.executable, '-c', 'raise OSError("taken")'])
    try:
        cluster.wait_until(lambda: False, 'log')
    except (RuntimeError, TimeoutError) as error:
        context.shown = str(error)


@then('the wait ends with the last line of its errors')
def wait_ended(context):
    assert 'OSError: taken' in context.shown, context.shown
