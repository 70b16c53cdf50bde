"""Replace modules that libraries import but the process never uses."""

from __future__ import annotations

import collections.abc
import sys
import types
import typing
from typing import Any


class StubUsedError(Exception):
    """Raised on use of a module that was replaced by a stub."""


def stub_modules(*module_names: str) -> None:
    """Replace modules by stubs, so that importing them loads nothing."""
    for name in module_names:
        sys.modules[name] = _StubModule(name)


def stub_asyncio() -> None:
    """Replace asyncio by a stub with the one function that Twisted calls."""
    module = _StubModule('asyncio')
    module.iscoroutine = _is_coroutine
    sys.modules['asyncio'] = module


def stub_typing_extensions() -> None:
    """Replace typing_extensions by typing, enough for annotations."""
    module = _TypingProxy('typing_extensions')
    module.TypeVar = _type_var
    module.override = _override
    sys.modules['typing_extensions'] = module


class _TypingProxy(types.ModuleType):
    """Provide the attributes of typing."""

    def __getattr__(self, name: str) -> Any:
        return getattr(typing, name)


def _type_var(name: str, *bounds: Any, **options: Any) -> Any:
    # Only type checkers read `default`, which typing does not accept yet.
    options.pop('default', None)
    return typing.TypeVar(name, *bounds, **options)  # type: ignore[misc]


def _override(method: Any) -> Any:
    return method


class _StubModule(types.ModuleType):
    """Create an unusable class for each attribute that is read."""

    def __getattr__(self, name: str) -> Any:
        if name.startswith('__'):
            raise AttributeError(name)
        stub_class = type(name, (_StubClass,), {'__module__': self.__name__})
        setattr(self, name, stub_class)
        return stub_class


class _StubClass:
    """Raise StubUsedError when instantiated."""

    def __new__(cls, *_: Any, **__: Any) -> Any:
        raise StubUsedError(f'{cls.__module__}.{cls.__name__} is stubbed out.')


def _is_coroutine(value: object) -> bool:
    return isinstance(value, collections.abc.Coroutine)
