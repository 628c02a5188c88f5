"""Output for people as tables, or for programs as JSON."""

import json
import typing

import tabulate

__all__ = ['Output']


class Output:
    """Prints results in the form that was asked for."""

    def __init__(self, as_json: bool):
        self._as_json = as_json

    def rows(
        self,
        rows: typing.Iterable[typing.Mapping[str, typing.Any]],
        columns: typing.Sequence[str],
        body: typing.Any,
    ) -> None:
        """Print rows under a header, or ``body`` as JSON."""
        if self._as_json:
            print(json.dumps(body))
            return
        lines = [[row.get(column, '') for column in columns] for row in rows]
        print(tabulate.tabulate(lines, columns, disable_numparse=True))

    def line(self, text: str, body: typing.Any) -> None:
        """Print a line, or ``body`` as JSON."""
        print(json.dumps(body) if self._as_json else text)

    def tree(self, body: typing.Any) -> None:
        """Print a nested body, indented for people."""
        print(json.dumps(body, indent=None if self._as_json else 2))
