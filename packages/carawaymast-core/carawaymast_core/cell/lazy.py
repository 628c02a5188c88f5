"""Records that are decoded when they are first read.

Every node follows all records of a cell, but only its leader needs them all;
the others need a few of them.
"""

import collections.abc
import typing

from carawaymast_core.cell import records

__all__ = ['LazyRecords']

Record = typing.TypeVar('Record')


class LazyRecords(collections.abc.MutableMapping[str, Record]):
    """Records of one type by key, as read from the store::

        job_records.put_encoded('5c0e7a21d94b36f8', raw)
        job_records['5c0e7a21d94b36f8'].phase

    A record that cannot be decoded is removed when it is first read, and
    ``on_unreadable`` is called with its key and the error.
    """

    def __init__(
        self,
        kind: type[Record],
        on_unreadable: typing.Callable[[str, str], None],
    ):
        self._kind = kind
        self._on_unreadable = on_unreadable
        self._value_by_key: dict[str, bytes | Record] = {}

    def put_encoded(self, key: str, raw: bytes) -> None:
        """Store the bytes of a record.

        Raises ``ValueError`` if no record begins like them.
        """
        records.check_encoded(raw)
        self._value_by_key[key] = raw

    def __getitem__(self, key: str) -> Record:
        """Return a record.

        Raises ``KeyError`` if it is missing or cannot be decoded.
        """
        value = self._value_by_key[key]
        if not isinstance(value, bytes):
            return value
        try:
            record = records.decode(self._kind, value)
        except ValueError as error:
            del self._value_by_key[key]
            self._on_unreadable(key, str(error))
            raise KeyError(key) from None
        self._value_by_key[key] = record
        return record

    def __setitem__(self, key: str, record: Record) -> None:
        self._value_by_key[key] = record

    def __delitem__(self, key: str) -> None:
        del self._value_by_key[key]

    def __contains__(self, key: object) -> bool:
        """Whether there is a record, though it may not be decodable."""
        return key in self._value_by_key

    def __iter__(self) -> typing.Iterator[str]:
        return iter(list(self._value_by_key))

    def __len__(self) -> int:
        return len(self._value_by_key)
