"""One question to a keeper, as operators and keepers ask it."""

import anyio

from quartzrouter.leases import words
from quartzrouter.leases.terms import Keeps
from quartzrouter.ledger.wire import connect, lines
from quartzrouter.net.progress import LOST
from quartzrouter.purges.words import Unreadable, line

ANSWER_WITHIN = 1.0  # s


async def ask(
    address: tuple[str, int], within: float = ANSWER_WITHIN, said: words.ToKeeper | None = None
) -> Keeps | str:
    """How a keeper stands, or why that isn't known."""
    try:
        with anyio.fail_after(within):
            async with await connect(address) as stream:
                await stream.send(line(said or words.AskKeeps()))
                async for heard in lines(stream):
                    answer = words.from_keeper(heard)
                    if isinstance(answer, words.Kept):
                        return answer.keeps
        return "it hung up"
    except (*LOST, TimeoutError, Unreadable, words.Unreadable) as error:
        return str(error) or type(error).__name__


async def ask_all(
    addresses: dict[str, tuple[str, int]], said: words.ToKeeper | None = None
) -> dict[str, Keeps | str]:
    """All at once, by name."""
    found: dict[str, Keeps | str] = {}

    async def one(name: str) -> None:
        found[name] = await ask(addresses[name], said=said)

    async with anyio.create_task_group() as tasks:
        for name in addresses:
            tasks.start_soon(one, name)
    return {name: found[name] for name in addresses}
