"""Minimal HTTP/1.1 over asyncio streams, for the stand-ins of the cases 4 and later."""

import asyncio
import json
from urllib.parse import parse_qsl

MAX_BODY_BYTES = 4 * 1024 * 1024


async def _read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def serve(handle, host, port=0):
    """Serve ``await handle(method, path, query, body, headers)``; return the server.

    `handle` returns the status and a value that is sent as JSON.
    """

    async def serve_connection(reader, writer):
        try:
            while True:
                first, headers = await _read_head(reader)
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                n_bytes = min(MAX_BODY_BYTES, int(headers.get("content-length", 0)))
                body = await reader.readexactly(n_bytes)
                status, value = await handle(method, path, dict(parse_qsl(query)), body, headers)
                answer = json.dumps(value).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(answer)) + answer
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve_connection, host, port, backlog=512)


async def call(address, method, path, value=None, *, headers=None, timeout=3.0):
    """Make one call; return its status and the decoded body, or raise OSError or TimeoutError."""
    return await asyncio.wait_for(_call(address, method, path, value, headers or {}), timeout)


async def _call(address, method, path, value, headers):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        body = b"" if value is None else json.dumps(value).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}", "Connection: close"]
        lines += [f"{name}: {text}" for name, text in {"Host": address, **headers}.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()
        first, received = await _read_head(reader)
        answer = await reader.readexactly(int(received.get("content-length", 0)))
    except asyncio.IncompleteReadError as exc:
        raise ConnectionError("the answer was cut off") from exc
    finally:
        writer.close()
    return int(first.split(" ")[1]), json.loads(answer) if answer else None
