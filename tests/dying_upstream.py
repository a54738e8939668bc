"""An upstream in a process of its own, which a test can kill.

When a process is killed, the kernel ends its connections as the process itself
would: by a FIN, if nothing that was received is unread.
"""

import argparse
import asyncio
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
from typing import Final

HOST: Final = "127.0.0.1"
PART_SECONDS: Final = 0.05
FRAMINGS: Final = ("close", "chunked", "length")
HEAD_END: Final = b"\r\n\r\n"
# Calls that name no request; others without a name ask what the upstream is.
CALL_PATHS: Final = ("/bookings", "/pages")


class Child:
    """An upstream that runs in a process of its own.

    Attributes:
        framing: how it tells the ends of its answers.
        born: time of its start that it reports.
        count: number of the parts of an answer.
        port: its port.
        pid: id of the process; 0 if there is none.
    """

    def __init__(self, framing: str, born: int, count: int) -> None:
        self.framing = framing
        self.born = born
        self.count = count
        self.port = self.pid = 0

    @property
    def address(self) -> str:
        """Its `host:port`."""
        return f"{HOST}:{self.port}"

    def start(self) -> None:
        """Start the process and wait until it accepts connections."""
        # pylint: disable-next=consider-using-with
        child = subprocess.Popen(
            [
                sys.executable,
                str(pathlib.Path(__file__)),
                f"--framing={self.framing}",
                f"--born={self.born}",
                f"--count={self.count}",
                f"--port={self.port}",
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        assert child.stdout is not None, "no output"
        self.port, self.pid = map(int, child.stdout.readline().split())

    def kill(self) -> None:
        """Kill the process; the kernel ends its connections."""
        if self.pid:
            os.kill(self.pid, signal.SIGKILL)
            os.waitpid(self.pid, 0)
            self.pid = 0


def create_parts(count: int) -> list[bytes]:
    """Return the parts of an answer, each of which is an event."""
    return [
        f"id: {number}\ndata: piece {number}\n\n".encode()
        for number in range(1, count + 1)
    ]


async def serve(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    framing: str,
    born: int,
    count: int,
) -> None:
    """Answer the calls on one connection."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while await answer(reader, writer, framing, born, count):
            pass
    writer.close()


async def answer(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    framing: str,
    born: int,
    count: int,
) -> bool:
    """Answer one call; return whether the connection is kept."""
    request = (await reader.readuntil(HEAD_END)).decode()
    path = request.split(" ", 2)[1]
    headers = dict(
        line.lower().split(": ", 1)
        for line in request.split("\r\n")[1:]
        if line
    )
    await reader.readexactly(int(headers.get("content-length", "0")))
    if "x-request-id" not in headers and path not in CALL_PATHS:
        report = {"models": [], "busy": False, "sequence_number": 0}
        body = json.dumps({**report, "born": born}).encode()
        status = b"409 Conflict" if path == "/order" else b"200 OK"
        writer.write(
            b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s"
            % (status, len(body), body)
        )
        await writer.drain()
        return True
    parts = create_parts(count)
    name = headers.get("x-request-id", "")
    kind = "text/event-stream" if "x-model" in headers else "text/plain"
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Request-Id: {name}",
        f"X-Response-Signature: sig-{name}",
        f"Content-Type: {kind}",
    ]
    if framing == "chunked":
        lines.append("Transfer-Encoding: chunked")
    if framing == "length":
        lines.append(f"Content-Length: {sum(map(len, parts))}")
    writer.write("\r\n".join((*lines, "", "")).encode())
    for part in parts:
        is_chunk = framing == "chunked"
        writer.write(b"%x\r\n%s\r\n" % (len(part), part) if is_chunk else part)
        await writer.drain()
        await asyncio.sleep(PART_SECONDS)
    if framing == "chunked":
        writer.write(b"0\r\n\r\n")
    await writer.drain()
    return framing != "close"


async def run(framing: str, born: int, count: int, port: int) -> None:
    """Serve until the process is killed; print the port first."""
    server = await asyncio.start_server(
        lambda reader, writer: serve(reader, writer, framing, born, count),
        HOST,
        port,
    )
    print(server.sockets[0].getsockname()[1], os.getpid(), flush=True)
    await server.serve_forever()


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--framing", choices=FRAMINGS, required=True)
    parser.add_argument("--born", type=int, required=True)
    parser.add_argument("--count", type=int, required=True)
    parser.add_argument("--port", type=int, default=0)
    flags = parser.parse_args()
    asyncio.run(run(flags.framing, flags.born, flags.count, flags.port))


if __name__ == "__main__":
    main()
