"""The messages between proposers and acceptors: one JSON object a line, told apart by `say`."""

# Tags and field names on the wire are kept for compatibility. Where they differ from the names here:
#
#     tag        class
#     "votes"    VoteRequests
#     "frees"    VoteReleases
#     "keeps"    StatusQuery
#     "shun"     RevokeHolder
#     "answers"  VoteReplies
#     "free"     VoteAvailable
#     "kept"     StatusReply
#     "unheard"  MessageRejected
#
#     field      field here
#     votes      VoteRequests.requests
#     frees      VoteReleases.releases
#     answers    VoteReplies.replies
#     keeps      StatusReply.status

from typing import TypeVar

import msgspec

from quartzrouter.leases.terms import AcceptorStatus, VoteRefusal, VoteRelease, VoteReply, VoteRequest

MAX_VOTE_REQUESTS = 256  # in one line: all tasks of a process
MAX_LINE_BYTES = 1 << 17  # so many requests, and names of 64 characters


class MalformedMessageError(ValueError):
    """A line that no proposer or acceptor of this version writes."""


# -- to an acceptor ----------------------------------------------------------------------------------------


class VoteRequests(msgspec.Struct, tag_field="say", tag="votes"):
    """Requests for votes, one a task."""

    requests: tuple[VoteRequest, ...] = msgspec.field(name="votes")


class VoteReleases(msgspec.Struct, tag_field="say", tag="frees"):
    """Votes that are given back."""

    releases: tuple[VoteRelease, ...] = msgspec.field(name="frees")


class StatusQuery(msgspec.Struct, tag_field="say", tag="keeps"):
    """Asks for whom the acceptor has voted."""


class RevokeHolder(msgspec.Struct, tag_field="say", tag="shun"):
    """An operator takes a task from its holder."""

    task: str


ToAcceptor = VoteRequests | VoteReleases | StatusQuery | RevokeHolder

# -- from an acceptor --------------------------------------------------------------------------------------


class VoteReplies(msgspec.Struct, tag_field="say", tag="answers", omit_defaults=True):
    """The reply to one line of requests.

    :param refused: requests not obeyed, by their tasks.
    """

    replies: tuple[VoteReply, ...] = msgspec.field(name="answers")
    refused: dict[str, VoteRefusal] = {}


class VoteAvailable(msgspec.Struct, tag_field="say", tag="free"):
    """The vote for a task, for which the receiver was turned away, is free."""

    task: str


class StatusReply(msgspec.Struct, tag_field="say", tag="kept"):
    """How an acceptor stands."""

    status: AcceptorStatus = msgspec.field(name="keeps")


class MessageRejected(msgspec.Struct, tag_field="say", tag="unheard"):
    """A line that can't be read; the connection ends."""

    reason: str
    remedy: str


FromAcceptor = VoteReplies | VoteAvailable | StatusReply | MessageRejected

_to_acceptor: msgspec.json.Decoder[ToAcceptor] = msgspec.json.Decoder(ToAcceptor)
_from_acceptor: msgspec.json.Decoder[FromAcceptor] = msgspec.json.Decoder(FromAcceptor)


def decode_to_acceptor(line: bytes) -> ToAcceptor:
    """Decodes a line that a proposer sent.

    :raises MalformedMessageError: where it can't be read.
    """
    return _decode(_to_acceptor, line)


def decode_from_acceptor(line: bytes) -> FromAcceptor:
    """Decodes a line that an acceptor sent.

    :raises MalformedMessageError: where it can't be read.
    """
    return _decode(_from_acceptor, line)


Message = TypeVar("Message")


def _decode(decoder: msgspec.json.Decoder[Message], line: bytes) -> Message:
    try:
        return decoder.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedMessageError(str(error)) from None
