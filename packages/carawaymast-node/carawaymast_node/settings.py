"""Settings from flags and environment variables, checked at startup.

Each setting is a flag of absl. Where the flag is not given, the environment
variable of the same name in capitals, with the prefix ``CARAWAYMAST_``, is
used. ``load`` returns a ``Settings`` or raises ``SettingError``.
"""

import ipaddress
import os
import typing

from absl import flags

__all__ = ['SETTINGS', 'SettingError', 'Settings', 'describe', 'load']

ENV_PREFIX = 'CARAWAYMAST_'
MAX_PORT = 65_535


class SettingError(Exception):
    """A setting is missing, unknown or has a value that is not allowed."""


class Setting(typing.NamedTuple):
    """One setting: its name, default, parser, allowed values and help."""

    name: str
    default: str | None
    parse: typing.Callable[[str], typing.Any]
    allowed: str
    help: str


class Settings(typing.NamedTuple):
    """The checked settings of a node."""

    node_id: str
    host: str
    http_port: int
    peer_port: int
    domain: str
    region: str
    log_url: str
    vms_url: str
    owner_lease_ms: int
    log_retention_ms: int
    max_body_bytes: int
    max_connections: int
    client_timeout_ms: int
    drain_ms: int
    log_file: str


def _name(text: str) -> str:
    if not text or len(text) > 64:
        raise ValueError(text)
    if not text.replace('-', '').replace('_', '').isalnum():
        raise ValueError(text)
    return text


def _host(text: str) -> str:
    return str(ipaddress.ip_address(text))


def _url(text: str) -> str:
    scheme, _, rest = text.partition('://')
    host, _, port = rest.rpartition(':')
    _host(host.strip('[]'))
    _integer_between(1, MAX_PORT)(port)
    if scheme != 'http':
        raise ValueError(text)
    return text


def _integer_between(low: int, high: int) -> typing.Callable[[str], int]:
    def parse(text: str) -> int:
        value = int(text)
        if not low <= value <= high:
            raise ValueError(text)
        return value

    return parse


def _integer_setting(
    name: str, default: int | None, low: int, high: int, meaning: str
) -> Setting:
    text = None if default is None else str(default)
    allowed = f'a whole number from {low} to {high}'
    return Setting(name, text, _integer_between(low, high), allowed, meaning)


NAME_ALLOWED = 'letters, digits, - and _, 1 to 64'
URL_ALLOWED = 'http://IP:PORT'

SETTINGS: typing.Final[list[Setting]] = [
    Setting('node_id', None, _name, NAME_ALLOWED, 'Unique id of the node.'),
    Setting(
        'host',
        '127.0.0.1',
        _host,
        'an IP address',
        'Address to listen on and to advertise to other nodes.',
    ),
    _integer_setting('http_port', None, 1, MAX_PORT, 'Port for callers.'),
    _integer_setting('peer_port', None, 1, MAX_PORT, 'Port for other nodes.'),
    Setting(
        'domain', None, _name, NAME_ALLOWED, 'Failure domain of the node.'
    ),
    Setting('region', 'local', _name, NAME_ALLOWED, 'Region of the node.'),
    Setting('log_url', None, _url, URL_ALLOWED, "The platform's log."),
    Setting('vms_url', None, _url, URL_ALLOWED, "The platform's VM list."),
    _integer_setting(
        'owner_lease_ms',
        6_000,
        5_000,
        120_000,
        'Length of the lease on a worker, in ms.',
    ),
    _integer_setting(
        'log_retention_ms',
        3_600_000,
        5_000,
        30 * 24 * 3_600_000,
        'How long the log keeps records, in ms.',
    ),
    _integer_setting(
        'max_body_bytes',
        262_144,
        1_024,
        16_777_216,
        'Largest body of a request, in bytes.',
    ),
    _integer_setting(
        'max_connections',
        2_000,
        1,
        50_000,
        'Maximum number of concurrent connections from callers.',
    ),
    _integer_setting(
        'client_timeout_ms',
        10_000,
        100,
        600_000,
        'Time a caller has to send a whole request, in ms.',
    ),
    _integer_setting(
        'drain_ms',
        30_000,
        100,
        600_000,
        'Longest graceful shutdown, in ms.',
    ),
    Setting('log_file', '-', str, 'a path or - for stderr', 'Where logs go.'),
]


def define(flag_values: flags.FlagValues) -> None:
    """Define a flag for each setting."""
    for setting in SETTINGS:
        meaning = f'{setting.help} Allowed: {setting.allowed}.'
        flags.DEFINE_string(
            setting.name,
            None,
            f'{meaning} Default: {setting.default}.',
            flag_values=flag_values,
        )


def load(
    arguments: typing.Sequence[str],
    environment: typing.Mapping[str, str] = os.environ,
) -> Settings:
    """Return the settings from a command line and an environment.

    ``arguments`` begins with the name of the program. Raises a
    ``SettingError`` that names the setting, its value and what is allowed.
    """
    flag_values = flags.FlagValues()
    define(flag_values)
    try:
        rest = flag_values(arguments)
    except flags.Error as error:
        raise SettingError(str(error)) from None
    if len(rest) > 1:
        raise SettingError(
            f'argument {rest[1]!r} is not a setting, allowed: --NAME=VALUE'
        )
    values = {
        setting.name: _value(setting, flag_values, environment)
        for setting in SETTINGS
    }
    return Settings(**values)


def describe() -> str:
    """Return all settings as the rows of a Markdown table."""
    lines = [
        f'| `{s.name}` | {s.default or "required"} | {s.allowed} | {s.help} |'
        for s in SETTINGS
    ]
    return '\n'.join(lines)


def _value(setting, flag_values, environment) -> typing.Any:
    text = flag_values[setting.name].value
    if text is None:
        text = environment.get(ENV_PREFIX + setting.name.upper())
    if text is None:
        text = setting.default
    if text is None:
        raise SettingError(
            f'setting {setting.name} is missing, allowed: {setting.allowed}'
        )
    try:
        return setting.parse(text)
    except ValueError:
        raise SettingError(
            f'setting {setting.name} is {text!r}, allowed: {setting.allowed}'
        ) from None
