"""The resource tree of the HTTP interfaces."""

from __future__ import annotations

from typing import Any
import urllib.parse

from twisted.web import resource

from yuccarill.core import errors
from yuccarill.daemon.api import replies

_VERSION = b'v1'


def build(callers: Any, trainers: Any, operators: Any) -> resource.Resource:
    """Return the root resource of all interfaces."""
    return _Root(_VersionResource(callers.app.resource(), trainers, operators))


class _ErrorResource(resource.Resource):
    """Answer any method with a fixed error."""

    isLeaf = True

    def __init__(self, error: errors.YuccarillError) -> None:
        super().__init__()
        self._error = error

    def render(self, request: Any) -> bytes:
        return replies.as_error(request, self._error)


class _Root(resource.Resource):
    def __init__(self, version: resource.Resource) -> None:
        super().__init__()
        self._version = version

    def getChild(self, path: bytes, request: Any) -> Any:  # noqa: N802
        try:
            urllib.parse.unquote_to_bytes(request.path).decode()
        except UnicodeDecodeError:
            return _ErrorResource(
                errors.RequestError('The path is not UTF-8; correct it.')
            )
        if path == _VERSION and request.postpath:
            return self._version
        return _ErrorResource(replies.unknown_path())


class _VersionResource(resource.Resource):
    def __init__(self, callers: Any, trainers: Any, operators: Any) -> None:
        super().__init__()
        self._callers = callers
        self.putChild(b'trainers', trainers.app.resource())
        self.putChild(b'operators', operators.app.resource())

    def getChild(self, path: bytes, request: Any) -> Any:  # noqa: N802
        request.prepath.pop()
        request.postpath.insert(0, path)
        return self._callers
