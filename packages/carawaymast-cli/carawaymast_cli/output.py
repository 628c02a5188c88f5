"""Output of results as text or as JSON."""

import json
import typing

import tabulate

__all__ = ['Output']


class Output:
    """Prints results to stdout, as JSON if ``as_json``, else as text."""

    def __init__(self, as_json: bool):
        self._as_json = as_json

    def rows(
        self,
        rows: typing.Iterable[typing.Mapping[str, typing.Any]],
        columns: typing.Sequence[str],
        body: typing.Any,
    ) -> None:
        """Print rows as a table, or ``body`` as JSON."""
        if self._as_json:
            print(json.dumps(body))
            return
        lines = [[row.get(column, '') for column in columns] for row in rows]
        print(tabulate.tabulate(lines, columns, disable_numparse=True))

    def line(self, text: str, body: typing.Any) -> None:
        """Print ``text``, or ``body`` as JSON."""
        print(json.dumps(body) if self._as_json else text)

    def tree(self, body: typing.Any) -> None:
        """Print ``body`` as JSON, indented unless ``as_json``."""
        print(json.dumps(body, indent=None if self._as_json else 2))
