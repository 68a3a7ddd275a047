"""Settings of the command, read from an INI file; options override them."""

from configparser import ConfigParser, Error
from dataclasses import dataclass
from pathlib import Path

from pydantic import BaseModel, ConfigDict, ValidationError
from returns.result import Failure, Result, Success

ENVIRONMENT = 'TURMERICYARD_SETTINGS'


class PlatformSection(BaseModel):
    """`[platform]`: the address of the store, as `ip:port`."""

    model_config = ConfigDict(extra='forbid')

    store: str = ''


class OperatorSection(BaseModel):
    """`[operator]`: the token file and node addresses, comma separated.

    `nodes` are the nodes' operators' addresses, `callers` their callers'
    addresses.
    """

    model_config = ConfigDict(extra='forbid')

    token_file: str = ''
    nodes: str = ''
    callers: str = ''


class SettingsFile(BaseModel):
    """All sections of the file."""

    model_config = ConfigDict(extra='forbid')

    platform: PlatformSection = PlatformSection()
    operator: OperatorSection = OperatorSection()


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Settings of the commands; a value that was not given is empty."""

    store: str = ''
    token_file: str = ''
    nodes: tuple[str, ...] = ()
    callers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class InvalidSettings:
    """The settings file is missing or invalid."""

    detail: str

    @property
    def message(self) -> str:
        """Return what is wrong and what to do."""
        return (
            f'{self.detail}: correct the file or pass another with --settings'
        )


def read_settings(path: Path) -> Result[OperatorSettings, InvalidSettings]:
    """Return the settings of a file, or an error that lists every fault."""
    parser = ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding='utf-8'))
    except (OSError, Error, UnicodeError) as error:
        return Failure(
            InvalidSettings(
                f'cannot read {path} as INI ({type(error).__name__})'
            )
        )
    sections = {name: dict(parser[name]) for name in parser.sections()}
    try:
        checked = SettingsFile.model_validate(sections)
    except ValidationError as error:
        faults = '; '.join(
            f'[{".".join(map(str, fault["loc"]))}] {fault["msg"]}'
            for fault in error.errors(include_url=False, include_input=False)
        )
        return Failure(InvalidSettings(f'{path}: {faults}'))
    return Success(
        OperatorSettings(
            checked.platform.store,
            checked.operator.token_file,
            split_addresses(checked.operator.nodes),
            split_addresses(checked.operator.callers),
        )
    )


def split_addresses(text: str) -> tuple[str, ...]:
    """Return the comma-separated addresses of a text."""
    parts = (part.strip() for part in text.split(','))
    return tuple(part for part in parts if part)
