"""Convert and check settings from flags and environment variables."""

from __future__ import annotations

import difflib
import enum
import functools
from typing import Any
from typing import get_args
from typing import get_type_hints
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core import errors
from yuccarill.daemon import setting_types
from yuccarill.daemon import settings as settings_module

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

PREFIX = 'YUCCARILL_'
CHECK_SETTINGS = 'check_settings'
# Variables of the command-line client, which can share the environment.
_CLIENT_VARIABLES = (
    'ADDRESS',
    'ADDRESSES_',
    'APPLY_',
    'AUDIT_',
    'DIFF_',
    'EXPLAIN_',
    'SHOW_',
    'STATUS_',
)


class Setting(msgspec.Struct, frozen=True, kw_only=True):
    """The name, type and help of a setting."""

    name: str
    is_required: bool
    default: str
    # The valid values, for help and error messages.
    valid_values: str
    help: str
    kind: Any

    @property
    def flag(self) -> str:
        return '--' + self.name.replace('_', '-')

    @property
    def variable(self) -> str:
        return PREFIX + self.name.upper()

    @property
    def row(self) -> str:
        """Return the setting's row in docs/settings.md."""
        default = 'required' if self.is_required else self.default or 'none'
        return (
            f'| `{self.flag}` | `{self.variable}` | {default} '
            f'| {self.valid_values} | {self.help} |'
        )


@functools.cache
def all_settings() -> tuple[Setting, ...]:
    """Return all settings, in the order of docs/settings.md."""
    hints = get_type_hints(settings_module.Settings, include_extras=True)
    return tuple(
        _describe(field, hints[field.name])
        for field in msgspec.structs.fields(settings_module.Settings)
    )


def read(
    text_by_name: Mapping[str, str | None],
) -> settings_module.Settings:
    """Convert and check the text of each setting.

    Raises SettingsInvalid with all errors.
    """
    faults: list[str] = []
    values: dict[str, Any] = {}
    for setting in all_settings():
        text = text_by_name.get(setting.name)
        label = f'{setting.flag} ({setting.variable})'
        if text is not None:
            try:
                values[setting.name] = _convert(setting, text)
            except msgspec.ValidationError:
                faults.append(
                    f'{label}: {text!r} is wrong; write {setting.valid_values}'
                )
        elif setting.is_required:
            faults.append(f'{label}: is missing; write {setting.valid_values}')
    ports = [values.get(name) for name in ('http_port', 'peer_port')]
    if ports[0] is not None and ports[0] == ports[1]:
        faults.append(
            '--http-port and --peer-port: are the same; write two ports'
        )
    if faults:
        raise errors.SettingsInvalid('\n'.join(faults))
    return settings_module.Settings(**values)


def unknown_variables(names: Iterable[str]) -> Iterator[str]:
    """Yield a warning for each unknown variable with the prefix."""
    known = [setting.variable for setting in all_settings()]
    known.append(PREFIX + CHECK_SETTINGS.upper())
    client_variables = tuple(PREFIX + name for name in _CLIENT_VARIABLES)
    for name in sorted(names):
        if not name.startswith(PREFIX) or name in known:
            continue
        if name.startswith(client_variables):
            continue
        matches = difflib.get_close_matches(name, known, n=1)
        advice = f'did you mean {matches[0]}?' if matches else 'remove it'
        yield f'{name}: is not a setting and has no effect; {advice}'


def _convert(setting: Setting, text: str) -> Any:
    value = msgspec.convert(text, setting.kind, strict=False)
    for check in _metadata(setting.kind, setting_types.Check):
        if not check.is_valid(value):
            raise msgspec.ValidationError
    return value


def _describe(field: msgspec.structs.FieldInfo, hint: Any) -> Setting:
    (help_line,) = _metadata(hint, setting_types.Help)
    kind = get_args(hint)[0]
    if type(None) in get_args(kind):
        kind = get_args(kind)[0]
    else:
        kind = hint
    default = field.default
    if isinstance(default, enum.Enum):
        default = default.value
    default_text = '' if field.required or default is None else f'`{default}`'
    return Setting(
        name=field.name,
        is_required=field.required,
        default=default_text,
        valid_values=_valid_values(kind),
        help=help_line.text,
        kind=kind,
    )


def _valid_values(kind: Any) -> str:
    for meta in _metadata(kind, msgspec.Meta):
        return str(meta.description)
    members = get_args(kind)[0]
    return 'one of ' + ', '.join(member.value for member in members)


def _metadata(hint: Any, kind: type[Any]) -> list[Any]:
    metadata = getattr(hint, '__metadata__', ())
    return [entry for entry in metadata if isinstance(entry, kind)]
