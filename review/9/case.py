"""Case 9: of tags in two field lines of an answer, a router knows the last line's only."""

import asyncio
import json
import time
from pathlib import Path

from review.common2.programs import Programs, Record, free_ports, is_listening, run_case, wait_until
from review.common2.standins import Cache, Front, Link, made_at

GRACE = 0.3  # seconds, the default of ledger and plan
PLAN = """{
  deployment: { name: "case", home: "shop", listen: "127.0.0.1:%(port)d" },
  stores: { shop: { hub: "hub" } }, hubs: { hub: {} },
  caches: {
    box-1: { address: "127.0.0.1:%(box)d", at: "shop", weight: 20 },
    origin: { address: "127.0.0.1:%(origin)d", at: "hub", tier: "origin", weight: 20 },
  },
  purges: { ledgers: ["127.0.0.1:%(ledger)d"] },
  vhosts: { pages: { effect: "replayable", client_timeout: 1s } },
  pools: { all: {} },
  routes: { pages: { match: {}, vhost: "pages", pool: "all" } },
}"""
TAGS = {"rose", "care-sheet"}


def tag_lines(path: str) -> list[str]:
    """Returns the lines that name the tags: two of one field, or one that lists both."""
    if path.endswith("/two-lines"):
        return ["Cache-Tag: rose", "Cache-Tag: care-sheet"]
    return ["Cache-Tag: rose, care-sheet"]


async def play(programs: Programs, record: Record) -> bool:
    """Plays the case; returns True if nobody got a copy that was made before the purge of its tag."""
    origin = await Cache("origin", record, is_origin=True, tag_lines=tag_lines).start()
    box = await Cache("box-1", record, {"origin": origin.port}, tag_lines=tag_lines).start()
    box.tags_of = lambda _path: TAGS
    link = await Link(box.port, record, "the link from the courier to box-1").start()
    port, ledger_port = free_ports(2)
    ledger_at = f"127.0.0.1:{ledger_port}"
    ports = {"port": port, "box": box.port, "origin": origin.port, "ledger": ledger_port}
    plan = programs.write("main.plan", PLAN % ports)
    courier_plan = programs.write("courier.plan", PLAN % (ports | {"box": link.port}))
    programs.start("ledger", "ledger", "run", str(programs.folder / "ledger"), "--listen", ledger_at)
    await wait_until("the ledger listens", lambda: is_listening(ledger_port), 20)
    programs.start("courier", "purge", "deliver", courier_plan)
    programs.start("router", "run", plan)
    await wait_until("the router listens", lambda: is_listening(port), 20)

    async def live_members() -> int:
        status, printed = await programs.ask("purge", "members", "--ledger", ledger_at, "--json")
        members = json.loads(printed)["members"] if status == 0 and printed.startswith("{") else []
        return sum(member["live"] for member in members)

    async def all_live() -> bool:
        return await live_members() == 2

    async def box_is_away() -> bool:
        return await live_members() == 1

    await wait_until("router and cache are live members", all_live, 20)
    front = Front(port, record)
    paths = ("/care/two-lines", "/care/one-line")
    for path in paths:
        await front.get(path)
    if programs.disturb:
        link.cut()
        await wait_until("box-1 is away", box_is_away, 20)
    await asyncio.sleep(0.5)
    began_at = time.time()  # the purge is taken later, so what was made before is older than it
    await programs.ask("purge", "send", "--ledger", ledger_at, "--tag", "rose", "--wait", "20s")
    await asyncio.sleep(GRACE + 0.2)
    old = []
    for path in paths:
        answer = await front.get(path)
        if answer.status == 200 and made_at(answer) < began_at:
            old.append(path)
            age = began_at - made_at(answer)
            record.say("check", f"{path}: the copy was made {age:.3f} s before the purge of its tag")
    record.say("check", f"older than the purge: {', '.join(old) or 'none'}")
    return not old


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
