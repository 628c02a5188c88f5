"""What each scenario starts from and leaves behind."""

import contextlib


def before_scenario(context, scenario):
    context.stack = contextlib.ExitStack()


def after_scenario(context, scenario):
    context.stack.close()


def after_feature(context, feature):
    running = getattr(feature, 'running', None)
    if running is not None:
        running.__exit__(None, None, None)
