"""A new cache at the address of one that has gone: a real router process, told by its discovery service."""

import random
import struct
import time

import anyio
from conftest import frame
from measured_process import measured_process, wait_until_listening
from standins import RouterHarness, free_port

from quartzrouter.fakes.loopback import request_heads, with_tag_of_request
from quartzrouter.server import process

SEED = 57
RECORD = struct.Struct(">I4sHBBBHIQ")  # id, address, port, state, zone, kind, cell, weight, start
CHANGES = 2  # kind of a frame
SECONDS = 3.0  # of requests after the new cache has come up
PAUSE = 0.01  # seconds between two requests
# What a cache may get at the end, of what a warm one gets: 0.25 at its start, all of it 16 s later (SETUP).
COLD_SHARE = 0.25 + 0.75 * SECONDS / 16
OK = (
    b"HTTP/1.1 200 OK\r\nX-Tag: 4be0c1927d55a6f3\r\nX-Minted: 1764576000123\r\nContent-Length: 5\r\n\r\nabcde"
)


class Replacement(RouterHarness):
    """Two caches, one of which is replaced by a new one at its address while it is not told as gone."""

    def __init__(self, tmp_path):
        super().__init__(tmp_path)
        self.folder = tmp_path
        self.served = {"kept": 0, "replaced": 0, "hub": 0}
        self.replaced_port = 0
        self.is_replaced = anyio.Event()

    def serve_as(self, name):
        async def serve(stream):
            async with stream:
                async for head in request_heads(stream):
                    if head.startswith(b"GET /x/"):
                        self.served[name] += 1
                    await stream.send(with_tag_of_request(OK, head))

        return serve

    async def serve_discovery(self, stream):
        """Tells of a new cache at the address, and nothing of the one before it."""
        async with stream:
            await stream.receive(8)
            await self.is_replaced.wait()
            started_ms = int(time.time() * 1e3)
            record = RECORD.pack(9, bytes((127, 0, 0, 1)), self.replaced_port, 0, 1, 0, 0, 6_000, started_ms)
            await stream.send(frame(2, CHANGES, record))
            await anyio.sleep_forever()

    async def start(self, tasks):
        addresses = [await self.start_server(tasks, self.serve_as(name)) for name in ("kept", "replaced")]
        addresses += [await self.start_server(tasks, self.serve_as("hub")) for _ in range(2)]
        self.replaced_port = int(addresses[1].rpartition(":")[2])
        discovery = await self.start_server(tasks, self.serve_discovery)
        members = [
            {
                "id": f"s-0000000{number}",
                "host_port": address,
                "locality": "hub" if number > 1 else "north",
                "flavor": flavor,
                "cell": 0,
                "phase": "SERVING",
                "size": 6,
                "up_since_ms": 0,
            }
            for number, (flavor, address) in enumerate(
                zip(["box", "box", "parent", "origin"], addresses, strict=True)
            )
        ]
        known = {"pos": 1, "entries": [{"pos": 1, "hosts": {"complete": True, "members": members}}]}
        self.write_configuration(addresses[0], discovery, known=known)

    async def play(self):
        """Returns how many requests each cache got after the replacement."""
        chance = random.Random(SEED)
        async with anyio.create_task_group() as tasks:
            await self.start(tasks)
            port = await free_port()
            environ = {"NODE_CONFIG": str(self.config_path), "NODE_LISTEN": f"127.0.0.1:{port}"}
            with measured_process(["-m", "quartzrouter"], self.folder / "stderr", environ):
                await wait_until_listening(port)
                client = await self.connect(port)
                await self.send_requests(client, chance, 1.0)
                before = dict(self.served)
                self.is_replaced.set()
                await anyio.sleep(0.1)
                after_replacement = dict(self.served)
                await self.send_requests(client, chance, SECONDS)
                tasks.cancel_scope.cancel()
        print(f"before the replacement {before}")
        return {name: self.served[name] - after_replacement[name] for name in self.served}

    async def send_requests(self, client, chance, seconds):
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            id = chance.getrandbits(60)
            await client.send_request(1, HTTP_X_CORRELATION_ID=f"{id:016x}", HTTP_X_SUBJECT=f"{id:016x}")
            assert "closed" not in await client.receive_response()
            await anyio.sleep(PAUSE)


# Guards against a new, cold cache that gets the share of the one before it at its address.
def test_a_new_cache_does_not_get_the_share_of_the_one_before_it(tmp_path):
    served = anyio.run(Replacement(tmp_path).play, backend_options=process.BACKEND_OPTIONS)
    print(f"after it {served}")
    assert served["kept"] > 10
    assert served["replaced"] <= COLD_SHARE * served["kept"]
