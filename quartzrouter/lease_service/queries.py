"""One question to a keeper, as operators and keepers ask it."""

import anyio

from quartzrouter.leases import messages
from quartzrouter.leases.terms import AcceptorStatus
from quartzrouter.purge_log.line_connection import connect, read_lines
from quartzrouter.purges.messages import MalformedMessage, encode_line
from quartzrouter.server.attempt_failure import CONNECTION_LOST

ANSWER_WITHIN = 1.0  # s


async def ask(
    address: tuple[str, int], within: float = ANSWER_WITHIN, said: messages.ToAcceptor | None = None
) -> AcceptorStatus | str:
    """How a keeper stands, or why that isn't known."""
    try:
        with anyio.fail_after(within):
            async with await connect(address) as stream:
                await stream.send(encode_line(said or messages.StatusQuery()))
                async for heard in read_lines(stream):
                    answer = messages.decode_from_acceptor(heard)
                    if isinstance(answer, messages.StatusReply):
                        return answer.keeps
        return "it hung up"
    except (*CONNECTION_LOST, TimeoutError, MalformedMessage, messages.MalformedMessage) as error:
        return str(error) or type(error).__name__


async def ask_all(
    addresses: dict[str, tuple[str, int]], said: messages.ToAcceptor | None = None
) -> dict[str, AcceptorStatus | str]:
    """All at once, by name."""
    found: dict[str, AcceptorStatus | str] = {}

    async def one(name: str) -> None:
        found[name] = await ask(addresses[name], said=said)

    async with anyio.create_task_group() as tasks:
        for name in addresses:
            tasks.start_soon(one, name)
    return {name: found[name] for name in addresses}
