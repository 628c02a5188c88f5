"""Decodes bytes from outside the process, within bounds.

Everything that another process or another writer has produced goes through
``decode``, ``convert`` or ``decompress``, which raise nothing but
``ValueError``. The annotated types bound numbers and texts so that later
arithmetic, records and log lines can hold them.
"""

import ipaddress
import typing
import zlib

import msgspec

__all__ = [
    'Amount',
    'Count',
    'Name',
    'Number',
    'TimeMs',
    'convert',
    'decode',
    'decompress',
    'parse_address',
]

# Exact in JSON numbers of any writer, and far in the future as a time.
MAX_TIME_MS = 2**53 - 1
# A million cores, in thousandths.
MAX_AMOUNT = 10**9
MAX_COUNT = 10**9
MAX_NUMBER = 10**12
MAX_NAME_CHARACTERS = 256
MAX_PORT = 65_535

TimeMs = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_MS)]
Amount = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Number = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Name = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]

# What msgspec raises for bytes that it cannot read: invalid UTF-8 and deep
# nesting have errors that are not its own.
_UNREADABLE = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class _Decoder(typing.Protocol):
    def decode(self, raw: bytes) -> typing.Any: ...


def decode(decoder: _Decoder, raw: bytes) -> typing.Any:
    """Return what ``raw`` holds; raise ``ValueError`` if it is unreadable.

    ``decoder`` is one of msgspec's::

        decode(msgspec.json.Decoder(dict[str, Amount]), b'{"cpu": 500}')
    """
    try:
        return decoder.decode(raw)
    except _UNREADABLE as error:
        raise ValueError(_detail(error)) from None


def convert(value: typing.Any, kind: typing.Any) -> typing.Any:
    """Return a decoded value as type ``kind``; raise ``ValueError``."""
    try:
        return msgspec.convert(value, kind)
    except _UNREADABLE as error:
        raise ValueError(_detail(error)) from None


def decompress(raw: bytes, max_bytes: int) -> bytes:
    """Return what zlib data hold, ``max_bytes`` at most.

    Raises ``ValueError`` for data that are damaged, cut short or larger.
    """
    stream = zlib.decompressobj()
    try:
        found = stream.decompress(raw, max_bytes)
    except zlib.error as error:
        raise ValueError(_detail(error)) from None
    if not stream.eof:
        raise ValueError(
            f'{len(raw)} bytes of zlib data are cut short, or hold more than '
            f'{max_bytes} bytes'
        )
    return found


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of ``IP:PORT``, with an IPv4 address.

    Raises ``ValueError`` that names the text, shortened.
    """
    host, _, port = text.rpartition(':')
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        is_number = False
    if not is_number or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(
            f'address is {text[:80]!r}, allowed: IP:PORT with a port from 1 '
            f'to {MAX_PORT}'
        )
    return host, int(port)


def _detail(error: Exception) -> str:
    return f'{type(error).__name__}: {str(error)[:200]}'
