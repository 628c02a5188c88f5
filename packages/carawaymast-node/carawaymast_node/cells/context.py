"""The parts of a node that a term of leadership uses."""

import typing

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import view as view_mod
from carawaymast_node.cells import election as election_mod
from carawaymast_node.cells import fabric
from carawaymast_node.cells import ports
from carawaymast_node.cells import telemetry
from carawaymast_node.cells import topic_reader as topic_reader_mod

__all__ = ['CellContext']


class CellContext(typing.NamedTuple):
    """The parts that a node passes to its leader."""

    clock: clock_mod.Clock
    log: telemetry.Telemetry
    metrics: telemetry.Metrics
    platform: ports.Platform
    store: ports.StorePort
    peers: fabric.Peers
    view: view_mod.JobView
    intake_reader: topic_reader_mod.TopicReader
    state_reader: topic_reader_mod.TopicReader
    election: election_mod.Election
