"""Status queries to one or all acceptors, sent by operators' commands and by other acceptors."""

import anyio

from quartzrouter.lease_service.plan_terms import Addresses
from quartzrouter.leases import messages
from quartzrouter.leases.terms import AcceptorStatus
from quartzrouter.purge_log.line_connection import connect, describe_error, read_lines
from quartzrouter.purges.messages import MalformedMessageError, encode_line
from quartzrouter.server.attempt_failure import CONNECTION_LOST

ANSWER_TIMEOUT = 1.0  # seconds


async def ask(
    address: tuple[str, int],
    timeout: float = ANSWER_TIMEOUT,
    message: messages.ToAcceptor | None = None,
) -> AcceptorStatus | str:
    """Returns the status of an acceptor, or the reason why it is unknown.

    :param timeout: seconds for the whole exchange.
    :param message: the message to send; None: a status query.
    """
    try:
        with anyio.fail_after(timeout):
            async with await connect(address) as stream:
                await stream.send(encode_line(message or messages.StatusQuery()))
                async for line in read_lines(stream):
                    answer = messages.decode_from_acceptor(line)
                    if isinstance(answer, messages.StatusReply):
                        return answer.status
        return "it hung up"
    except (*CONNECTION_LOST, TimeoutError, MalformedMessageError, messages.MalformedMessageError) as error:
        return describe_error(error)


async def ask_all(
    addresses: Addresses, message: messages.ToAcceptor | None = None
) -> dict[str, AcceptorStatus | str]:
    """Queries all acceptors concurrently; returns their answers by name, in the order of the addresses."""
    answers: dict[str, AcceptorStatus | str] = {}

    async def ask_one(name: str) -> None:
        answers[name] = await ask(addresses[name], message=message)

    async with anyio.create_task_group() as tasks:
        for name in addresses:
            tasks.start_soon(ask_one, name)
    return {name: answers[name] for name in addresses}
