"""A small HTTP/1.1 server and client for the stand-ins, on asyncio."""

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit


async def _read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_body(reader, headers):
    length = int(headers.get("content-length", 0))
    return await reader.readexactly(length) if length else b""


async def serve(handle, host, port):
    """Serve `handle(method, path, query, body, headers)`, which returns status and value."""

    async def on_connection(reader, writer):
        try:
            while True:
                first, headers = await _read_head(reader)
                method, target, _ = first.split(" ")
                body = await _read_body(reader, headers)
                parts = urlsplit(target)
                status, value = await handle(
                    method, parts.path, dict(parse_qsl(parts.query)), body, headers
                )
                payload = json.dumps(value, separators=(",", ":")).encode()
                head = (
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n"
                )
                writer.write(head.encode() + payload)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port, limit=2**22, backlog=512)


async def call(address, method, path, value=None, *, host=None, timeout=3.0):
    """Make one call over a new connection; return the status and the decoded body."""

    async def exchange():
        name, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(name, int(port), limit=2**22)
        try:
            body = b"" if value is None else json.dumps(value).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host or address}"]
            if body or method != "GET":
                lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
            writer.write("\r\n".join([*lines, "Connection: close", "", ""]).encode() + body)
            await writer.drain()
            first, headers = await _read_head(reader)
            answer = await _read_body(reader, headers)
            return int(first.split(" ")[1]), json.loads(answer) if answer else None
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)
