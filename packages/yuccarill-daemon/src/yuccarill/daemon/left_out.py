"""Stand in for modules that libraries import and a process never uses."""

from __future__ import annotations

import collections.abc
import sys
import types
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
