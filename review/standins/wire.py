"""Reads and writes HTTP/1.1 messages on asyncio streams."""

from __future__ import annotations

import asyncio


class Message:
    """A request or an answer.

    Attributes:
        start: Words of its first line.
        headers: Pairs of name and value, as they came.
        body: Its whole body.
    """

    def __init__(
        self, start: list[str], headers: list[tuple[str, str]], body: bytes
    ) -> None:
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name: str, default: str = "") -> str:
        """Return the value of a header."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message; ``None`` if the connection ends before one.

    Raises:
        ConnectionError: The connection ends within the message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("ended within a head") from error
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name, value.strip()))
    message = Message(first.split(" ", 2), headers, b"")
    try:
        if message.get("Transfer-Encoding").lower() == "chunked":
            message.body = await _read_chunks(reader)
        else:
            length = int(message.get("Content-Length", "0"))
            message.body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        raise ConnectionError("ended within a body") from error
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        parts.append(await reader.readexactly(size))
        await reader.readline()
        if not size:
            return b"".join(parts)


def build_head(first: str, headers: list[tuple[str, str]]) -> bytes:
    """Return the head of a message."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def build_answer(
    status: int, body: bytes = b"", *headers: tuple[str, str]
) -> bytes:
    """Return an answer with a length."""
    length = ("Content-Length", str(len(body)))
    return build_head(f"HTTP/1.1 {status} X", [*headers, length]) + body
