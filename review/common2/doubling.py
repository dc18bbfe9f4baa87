"""A cache whose answers may have a second copy behind them, as one of the platform's bad peers."""

import asyncio
import contextlib
import time

from review.common2.programs import Record
from review.common2.standins import LOST


class DoublingCache:
    """A cache that holds each object, made some time ago, and keeps to the age that is asked for.

    :param copy_age: seconds for which its copies exist when they are asked for first.
    :param usual: seconds that an answer takes.
    :param second_copy_after: seconds behind its answer.
    :param doubled: the objects whose next answer has a second copy behind it.
    :param slow: the seconds that the next answer for an object takes, where not the usual ones.
    """

    def __init__(self, record: Record, copy_age: float, usual: float, second_copy_after: float):
        self.record = record
        self.copy_age = copy_age
        self.usual = usual
        self.second_copy_after = second_copy_after
        self.port = 0
        self.made: dict[str, float] = {}
        self.doubled: set[str] = set()
        self.slow: dict[str, float] = {}

    async def start(self) -> "DoublingCache":
        """Listens at a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*LOST), contextlib.closing(writer):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                target = head.split(" ", 2)[1]
                if not target.startswith("/x/"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                await self._answer(writer, head, target)

    async def _answer(self, writer: asyncio.StreamWriter, head: str, target: str) -> None:
        came_at = time.time()
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        object_id = target.split("/")[3]
        made = self.made.setdefault(object_id, came_at - self.copy_age)
        oldest = int(fields.get("X-Fresh-Ms", "0")) / 1e3
        if oldest and came_at - made > oldest:
            made = self.made[object_id] = came_at  # fetched anew from the origin
        await asyncio.sleep(self.slow.pop(object_id, self.usual))
        body = f"{object_id} made at {made:.6f}"
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Tag: {int(object_id, 16) * 1_000_003 + int(made * 1e6) & 0xFFFFFFFFFFFFFFFF:016x}",
            f"X-Minted: {int(made * 1e3)}",
            "X-Tell: cached",
            f"Content-Length: {len(body)}",
        ]
        answer = "\r\n".join([*lines, "", body]).encode()
        writer.write(answer)
        oldest_text = fields.get("X-Fresh-Ms")
        self.record.say("box", f"answers {fields.get('X-Hop-Id')} (X-Fresh-Ms {oldest_text}) with {body}")
        if object_id in self.doubled:
            self.doubled.discard(object_id)
            loop = asyncio.get_running_loop()
            loop.call_later(self.second_copy_after, self._repeat, writer, answer, object_id)

    def _repeat(self, writer: asyncio.StreamWriter, answer: bytes, object_id: str) -> None:
        if not writer.is_closing():
            writer.write(answer)
            self.record.say("box", f"a second copy of the answer for {object_id}")
