"""Relay calls with plain klein and treq, as a baseline."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click
import klein
import treq

if TYPE_CHECKING:
    from twisted.web.iweb import IRequest


class Relay:
    """Forward each call to one target."""

    app = klein.Klein()

    def __init__(self, target: str) -> None:
        self._base = f'http://{target}/'

    @app.route('/<path:path>', methods=['POST'])
    async def call(self, request: IRequest, path: str) -> bytes:
        response = await treq.post(
            self._base + path,
            data=request.content.read(),
            headers={'Yuccarill-Request-Id': 'r'},
        )
        request.setResponseCode(response.code)
        content: bytes = await treq.content(response)
        return content


@click.command()
@click.argument('port', type=int)
@click.argument('target')
def main(port: int, target: str) -> None:
    """Serve on loopback PORT and forward calls to TARGET."""
    Relay(target).app.run('127.0.0.1', port, logFile=open('/dev/null', 'w'))


if __name__ == '__main__':
    main()
