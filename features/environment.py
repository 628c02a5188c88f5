"""Hooks of behave that set up and clean up scenarios and features."""

import contextlib


def before_scenario(context, scenario):
    context.stack = contextlib.ExitStack()


def after_scenario(context, scenario):
    context.stack.close()


def after_feature(context, feature):
    cluster = getattr(feature, 'cluster', None)
    if cluster is not None:
        cluster.__exit__(None, None, None)
