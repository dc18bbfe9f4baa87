"""What is said between claimants and keepers: one JSON object a line, told apart by `say`."""

import msgspec

from quartzrouter.leases.terms import Answer, Free, Keeps, Refusal, Vote

VOTES_MOST = 256  # asks in one line: all tasks of a process
LINE_MOST = 1 << 17  # bytes: that many, and names of 64 characters


class Unreadable(ValueError):
    """A line that no claimant or keeper of this version writes."""


# -- to a keeper -------------------------------------------------------------------------------------------


class Votes(msgspec.Struct, tag_field="say", tag="votes"):
    """Vote for these, please."""

    votes: tuple[Vote, ...]


class Frees(msgspec.Struct, tag_field="say", tag="frees"):
    """These are given up."""

    frees: tuple[Free, ...]


class AskKeeps(msgspec.Struct, tag_field="say", tag="keeps"):
    """For whom have you voted?"""


class Shun(msgspec.Struct, tag_field="say", tag="shun"):
    """An operator takes a task from its holder."""

    task: str


ToKeeper = Votes | Frees | AskKeeps | Shun

# -- from a keeper -----------------------------------------------------------------------------------------


class Answers(msgspec.Struct, tag_field="say", tag="answers", omit_defaults=True):
    """The answer to one line of asks.

    :param refused: those not obeyed, by their tasks.
    """

    answers: tuple[Answer, ...]
    refused: dict[str, Refusal] = {}


class FreeAgain(msgspec.Struct, tag_field="say", tag="free"):
    """The vote for a task, for which the hearer was turned away, is free."""

    task: str


class Kept(msgspec.Struct, tag_field="say", tag="kept"):
    """How a keeper stands."""

    keeps: Keeps


class Unheard(msgspec.Struct, tag_field="say", tag="unheard"):
    """A line that can't be read; the connection ends."""

    reason: str
    remedy: str


FromKeeper = Answers | FreeAgain | Kept | Unheard

_to_keeper = msgspec.json.Decoder(ToKeeper)
_from_keeper = msgspec.json.Decoder(FromKeeper)


def to_keeper(data: bytes) -> ToKeeper:
    return _read(_to_keeper, data)


def from_keeper(data: bytes) -> FromKeeper:
    return _read(_from_keeper, data)


def _read(decoder: msgspec.json.Decoder, data: bytes):
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise Unreadable(str(error)) from None
