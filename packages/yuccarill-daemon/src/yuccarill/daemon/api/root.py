"""Mount the interfaces under one HTTP server."""

from __future__ import annotations

from typing import Any

from twisted.web import resource


def build(callers: Any, trainers: Any, operators: Any) -> resource.Resource:
    """Return the tree of all interfaces."""
    version = callers.app.resource()
    root = resource.Resource()
    root.putChild(b'v1', _Prefixed(version, trainers, operators))
    return root


class _Prefixed(resource.Resource):
    def __init__(self, callers: Any, trainers: Any, operators: Any) -> None:
        super().__init__()
        self._callers = callers
        self.putChild(b'trainers', trainers.app.resource())
        self.putChild(b'operators', operators.app.resource())

    def getChild(self, path: bytes, request: Any) -> Any:  # noqa: N802
        request.prepath.pop()
        request.postpath.insert(0, path)
        return self._callers
