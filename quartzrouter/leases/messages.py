"""The messages between proposers and acceptors: one JSON object a line, tagged by the field `say`."""

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

MAX_VOTE_REQUESTS = 256  # in one line; a process may request all tasks at once
MAX_LINE_BYTES = 1 << 17  # enough for MAX_VOTE_REQUESTS requests with names of 64 characters


class MalformedMessageError(ValueError):
    """A line that is no valid message of this version."""


# -- to an acceptor ----------------------------------------------------------------------------------------


class VoteRequests(msgspec.Struct, tag_field="say", tag="votes"):
    """Requests for votes, one for each task."""

    requests: tuple[VoteRequest, ...] = msgspec.field(name="votes")


class VoteReleases(msgspec.Struct, tag_field="say", tag="frees"):
    """Releases of votes."""

    releases: tuple[VoteRelease, ...] = msgspec.field(name="frees")


class StatusQuery(msgspec.Struct, tag_field="say", tag="keeps"):
    """Requests the acceptor's status, with its votes."""


class RevokeHolder(msgspec.Struct, tag_field="say", tag="shun"):
    """An operator's request to revoke the lease of a task."""

    task: str


ToAcceptor = VoteRequests | VoteReleases | StatusQuery | RevokeHolder

# -- from an acceptor --------------------------------------------------------------------------------------


class VoteReplies(msgspec.Struct, tag_field="say", tag="answers", omit_defaults=True):
    """The reply to one line of requests.

    :param refused: the refusals of invalid requests, by task.
    """

    replies: tuple[VoteReply, ...] = msgspec.field(name="answers")
    refused: dict[str, VoteRefusal] = {}


class VoteAvailable(msgspec.Struct, tag_field="say", tag="free"):
    """Notifies a proposer whose request was denied that the vote for the task is available."""

    task: str


class StatusReply(msgspec.Struct, tag_field="say", tag="kept"):
    """The status of an acceptor."""

    status: AcceptorStatus = msgspec.field(name="keeps")


class MessageRejected(msgspec.Struct, tag_field="say", tag="unheard"):
    """The reply to a line that can't be decoded; the connection is then closed."""

    reason: str
    remedy: str


FromAcceptor = VoteReplies | VoteAvailable | StatusReply | MessageRejected

_to_acceptor: msgspec.json.Decoder[ToAcceptor] = msgspec.json.Decoder(ToAcceptor)
_from_acceptor: msgspec.json.Decoder[FromAcceptor] = msgspec.json.Decoder(FromAcceptor)


def decode_to_acceptor(line: bytes) -> ToAcceptor:
    """Decodes a line that a proposer sent.

    :raises MalformedMessageError: if it is not a valid message.
    """
    return _decode(_to_acceptor, line)


def decode_from_acceptor(line: bytes) -> FromAcceptor:
    """Decodes a line that an acceptor sent.

    :raises MalformedMessageError: if it is not a valid message.
    """
    return _decode(_from_acceptor, line)


Message = TypeVar("Message")


def _decode(decoder: msgspec.json.Decoder[Message], line: bytes) -> Message:
    try:
        return decoder.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedMessageError(str(error)) from None
