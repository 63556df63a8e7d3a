"""Loads settings files; errors name the section, key and value."""

from __future__ import annotations

import configparser
from collections.abc import Mapping
from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError

from celerywharf.exceptions import SettingsError
from celerywharf.settings._models import HostSettings
from celerywharf.units import MEBIBYTE

SECRET_SECTION = 'keys'
MAX_FILE_BYTES = MEBIBYTE  # settings of the largest zone maps are a few KiB

Settings = TypeVar('Settings', bound=BaseModel)


def load(
    path: str | Path,
    model: type[Settings] = HostSettings,
) -> Settings:
    """Load a settings file.

    Args:
        path: an INI file.
        model: defines the allowed sections and keys.

    Raises:
        SettingsError: the file cannot be read or is invalid; the message has
            one line for each invalid key.
    """
    try:
        with Path(path).open('rb') as settings_file:
            encoded = settings_file.read(MAX_FILE_BYTES + 1)
        text = encoded.decode()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f'{path}: cannot be read: {error}') from None
    if len(encoded) > MAX_FILE_BYTES:
        raise SettingsError(f'{path}: larger than {MAX_FILE_BYTES} bytes')
    return loads(text, str(path), model)


def loads(
    text: str,
    source: str = 'settings',
    model: type[Settings] = HostSettings,
) -> Settings:
    """Load settings from INI text; see ``load``."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source=source)
    except configparser.Error as error:
        message = ' '.join(str(error).split())
        raise SettingsError(f'{source}: {message}') from None
    values = {name: dict(parser[name]) for name in parser.sections()}
    try:
        return model.model_validate(values)
    except ValidationError as error:
        lines = [
            _error_line(model, details, values) for details in error.errors()
        ]
        raise SettingsError(
            '\n'.join(f'{source}: {line}' for line in lines),
        ) from None


def _error_line(
    settings: type[BaseModel],
    details: Mapping[str, Any],
    values: Mapping[str, Any],
) -> str:
    section, *rest = map(str, details['loc'])
    if not rest:
        return f'[{section}]: {details["msg"]}'
    key = rest[0]
    shown = repr(values.get(section, {}).get(key, 'missing'))
    if section == SECRET_SECTION and shown != repr('missing'):
        shown = '[redacted]'
    allowed = _allowed_values(settings, section, key)
    return f'[{section}] {key} = {shown}: {details["msg"]}; {allowed}'


def _allowed_values(settings: type[BaseModel], section: str, key: str) -> str:
    field = settings.model_fields.get(section)
    model = field.annotation if field else None
    if not isinstance(model, type) or not issubclass(model, BaseModel):
        return 'unknown section'
    key_field = model.model_fields.get(key)
    if key_field is None:
        names = ', '.join(model.model_fields)
        return f'allowed keys: {names}'
    return f'allowed: {key_field.description}'
