"""Stand in for modules that libraries import and a process never uses."""

from __future__ import annotations

import collections.abc
import sys
import types
import typing
from typing import Any


class LeftOut(Exception):
    """Report the use of a module that was left out."""


def leave_out(*names: str) -> None:
    """Let imports of modules succeed without loading them."""
    for name in names:
        sys.modules[name] = _StandIn(name)


def leave_out_asyncio() -> None:
    """Leave asyncio out, apart from what Twisted asks it of coroutines."""
    module = _StandIn('asyncio')
    module.iscoroutine = _is_coroutine
    sys.modules['asyncio'] = module


def leave_out_typing_extensions() -> None:
    """Let typing stand for its extensions, which annotations alone need."""
    module = _Typing('typing_extensions')
    module.TypeVar = _type_var
    module.override = _override
    sys.modules['typing_extensions'] = module


class _Typing(types.ModuleType):
    """Hand out the names of typing."""

    def __getattr__(self, name: str) -> Any:
        return getattr(typing, name)


def _type_var(name: str, *bounds: Any, **rest: Any) -> Any:
    # Only type checkers read the default, which typing does not take yet.
    rest.pop('default', None)
    return typing.TypeVar(name, *bounds, **rest)  # type: ignore[misc]


def _override(method: Any) -> Any:
    return method


class _StandIn(types.ModuleType):
    """Hold a class for each name that is asked for."""

    def __getattr__(self, name: str) -> Any:
        if name.startswith('__'):
            raise AttributeError(name)
        made = type(name, (_Unusable,), {'__module__': self.__name__})
        setattr(self, name, made)
        return made


class _Unusable:
    """Refuse to be made."""

    def __new__(cls, *_: Any, **__: Any) -> Any:
        raise LeftOut(f'{cls.__module__}.{cls.__name__} was left out.')


def _is_coroutine(value: object) -> bool:
    return isinstance(value, collections.abc.Coroutine)
