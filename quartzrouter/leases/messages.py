"""What is said between claimants and keepers: one JSON object a line, told apart by `say`."""

import msgspec

from quartzrouter.leases.terms import AcceptorStatus, VoteRefusal, VoteRelease, VoteReply, VoteRequest

VOTES_MOST = 256  # asks in one line: all tasks of a process
LINE_MOST = 1 << 17  # bytes: that many, and names of 64 characters


class MalformedMessage(ValueError):
    """A line that no claimant or keeper of this version writes."""


# -- to a keeper -------------------------------------------------------------------------------------------


class VoteRequests(msgspec.Struct, tag_field="say", tag="votes"):
    """Vote for these, please."""

    votes: tuple[VoteRequest, ...]


class VoteReleases(msgspec.Struct, tag_field="say", tag="frees"):
    """These are given up."""

    frees: tuple[VoteRelease, ...]


class StatusQuery(msgspec.Struct, tag_field="say", tag="keeps"):
    """For whom have you voted?"""


class RevokeHolder(msgspec.Struct, tag_field="say", tag="shun"):
    """An operator takes a task from its holder."""

    task: str


ToAcceptor = VoteRequests | VoteReleases | StatusQuery | RevokeHolder

# -- from a keeper -----------------------------------------------------------------------------------------


class VoteReplies(msgspec.Struct, tag_field="say", tag="answers", omit_defaults=True):
    """The answer to one line of asks.

    :param refused: those not obeyed, by their tasks.
    """

    answers: tuple[VoteReply, ...]
    refused: dict[str, VoteRefusal] = {}


class VoteAvailable(msgspec.Struct, tag_field="say", tag="free"):
    """The vote for a task, for which the hearer was turned away, is free."""

    task: str


class StatusReply(msgspec.Struct, tag_field="say", tag="kept"):
    """How a keeper stands."""

    keeps: AcceptorStatus


class MessageRejected(msgspec.Struct, tag_field="say", tag="unheard"):
    """A line that can't be read; the connection ends."""

    reason: str
    remedy: str


FromAcceptor = VoteReplies | VoteAvailable | StatusReply | MessageRejected

_to_keeper = msgspec.json.Decoder(ToAcceptor)
_from_keeper = msgspec.json.Decoder(FromAcceptor)


def decode_to_acceptor(data: bytes) -> ToAcceptor:
    return _read(_to_keeper, data)


def decode_from_acceptor(data: bytes) -> FromAcceptor:
    return _read(_from_keeper, data)


def _read(decoder: msgspec.json.Decoder, data: bytes):
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedMessage(str(error)) from None
