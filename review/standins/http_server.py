"""Serve and send HTTP/1.1 over asyncio, with control over each connection."""

from __future__ import annotations

import asyncio
import urllib.parse


class Request:
    """Hold one request and the connection that it came over."""

    def __init__(self, method, target, headers, body, reader, writer):
        self.method = method
        self.target = target
        self.path, _, query = target.partition('?')
        self.query = {
            name: values[0]
            for name, values in urllib.parse.parse_qs(query).items()
        }
        self.headers = headers
        self.body = body
        self.reader = reader
        self.writer = writer

    def header(self, name, default=''):
        return self.headers.get(name.lower(), default)


class Reply:
    """Hold an answer; `aborts` resets the connection instead."""

    def __init__(self, status, body=b'', headers=(), aborts=False):
        self.status = status
        self.body = body
        self.headers = list(headers)
        self.aborts = aborts


ABORT = Reply(0, aborts=True)
# The handler has written the whole answer itself.
WRITTEN = Reply(0)


class Server:
    """Accept connections and pass each request to a handler."""

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self, host, port):
        self._server = await asyncio.start_server(
            self._serve, host, port, backlog=256
        )
        return self._server.sockets[0].getsockname()[1]

    def crash(self):
        """Close the port and reset all connections, as a dead process."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self._tasks.add(asyncio.current_task())
        try:
            while True:
                request = await read_request(reader, writer)
                if request is None:
                    return
                reply = await self._handle(request)
                if reply.aborts:
                    writer.transport.abort()
                    return
                if reply is not WRITTEN:
                    writer.write(encode_reply(reply))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # Ends this connection's own task: the process has crashed, or
            # the case is over.
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(asyncio.current_task())
            writer.close()


async def read_head(reader):
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader, writer):
    found = await read_head(reader)
    if found is None:
        return None
    first, headers = found
    method, target, _ = first.split(' ')
    body = await _read_body(reader, headers)
    return Request(method, target, headers, body, reader, writer)


async def _read_body(reader, headers):
    if 'chunked' in headers.get('transfer-encoding', ''):
        parts = []
        async for part in read_chunks(reader):
            parts.append(part)
        return b''.join(parts)
    length = int(headers.get('content-length', 0))
    return await reader.readexactly(length) if length else b''


async def read_chunks(reader):
    """Yield the chunks; raise IncompleteReadError if the end is missing."""
    while True:
        line = await reader.readuntil(b'\r\n')
        size = int(line.split(b';')[0], 16)
        data = await reader.readexactly(size)
        await reader.readuntil(b'\r\n')
        if not size:
            return
        yield data


def encode_reply(reply):
    lines = [f'HTTP/1.1 {reply.status} X']
    lines += [f'{name}: {value}' for name, value in reply.headers]
    lines.append(f'Content-Length: {len(reply.body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + reply.body


class Answer:
    """Hold what a client got: `is_whole` tells whether the body ended."""

    def __init__(self, status, headers, body, is_whole, error=''):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_whole = is_whole
        self.error = error


async def call(address, method, target, headers=(), body=b'', seconds=10.0):
    """Send one request over a new connection; never raise for failures."""
    try:
        return await asyncio.wait_for(
            _call(address, method, target, headers, body), seconds
        )
    except asyncio.TimeoutError:
        return Answer(0, {}, b'', False, 'no answer in time')


async def _call(address, method, target, headers, body):
    host, _, port = address.rpartition(':')
    status, found, parts = 0, {}, []
    writer = None
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {value}' for name, value in headers]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        lines.append('Connection: close')
        head = '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n'
        writer.write(head + body)
        await writer.drain()
        answer = await read_head(reader)
        if answer is None:
            return Answer(0, {}, b'', False, 'closed without an answer')
        first, found = answer
        status = int(first.split(' ')[1])
        if 'chunked' in found.get('transfer-encoding', ''):
            async for part in read_chunks(reader):
                parts.append(part)
        elif 'content-length' in found:
            length = int(found['content-length'])
            parts.append(await reader.readexactly(length))
        else:
            parts.append(await reader.read())
        return Answer(status, found, b''.join(parts), True)
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return Answer(status, found, b''.join(parts), False, repr(error))
    finally:
        if writer is not None:
            writer.close()
