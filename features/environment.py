"""What each scenario starts from and leaves behind."""

import contextlib


def before_scenario(context, scenario):
    context.stack = contextlib.ExitStack()


def after_scenario(context, scenario):
    context.stack.close()
