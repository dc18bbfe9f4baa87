"""What is kept in the log and said on the wire: one JSON object a line, told apart by `say`.

Times are whole microseconds of the clock that is named with them.
"""

import re
from collections.abc import Sequence
from typing import Literal

import msgspec

from quartzrouter.fleet_health.messages import CacheLoad, CacheObservation, EjectionVerdict
from quartzrouter.quota.messages import BudgetState, QuotaGrant, QuotaRefusal, QuotaRequest
from quartzrouter.quota.slow_start_messages import SlowStartGrant, SlowStartRequest, SlowStartState

LINE_MOST = 1 << 18  # bytes of one line: a page of 512 purges, each of a few hundred; see page()
VALUES_MOST = 64  # of one purge: more are several purges
VALUE_MOST = 512  # characters: longer paths are purged by a pattern
TOGETHER_MOST = 4_096  # characters of one purge's values: caches take heads of 8 KB
PAGE = 512  # purges in one line
ASKS_MOST = 512  # for shares, in one line
KEY = re.compile(r"[\x21-\x7e]{1,64}")
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.:-]{0,62}")
WORD = re.compile(rf"[\x21-\x7e]{{1,{VALUE_MOST}}}")

Kind = Literal["object", "tag", "pattern", "all"]
MemberKind = Literal["router", "cache", "watcher"]


class Purge(msgspec.Struct, frozen=True, omit_defaults=True):
    """One purge: copies made before `when` are old, where one of the values names them and the scope holds.

    :param number: its place in the order, from 1.
    :param when: us, of the ledger's clock.
    :param values: objects, tags or patterns; none for all.
    :param vhost: that vhost only, where given.
    :param store: copies in caches at that store only, where given.
    :param key: by which the same purge sent twice is one.
    """

    number: int
    when: int
    kind: Kind
    values: tuple[str, ...] = ()
    vhost: str = ""
    store: str = ""
    key: str = ""

    def shown(self) -> str:
        scope = "".join(f" {word} {said}" for word, said in (("of", self.vhost), ("at", self.store)) if said)
        return f"{self.kind} {' '.join(self.values)}".strip() + scope


# -- to the ledger -----------------------------------------------------------------------------------------


class PurgeRequest(msgspec.Struct, tag_field="say", tag="send", omit_defaults=True):
    """Purge this."""

    kind: Kind
    values: tuple[str, ...] = ()
    vhost: str = ""
    store: str = ""
    key: str = ""


class MemberHello(msgspec.Struct, tag_field="say", tag="hello", omit_defaults=True):
    """A member begins: all after `held`, please.

    :param token: of the process: another one under the same name is another member.
    :param epoch: the highest that was heard of.
    :param life: us for which a purge still matters to it; 0: for ever.
    """

    name: str
    kind: MemberKind
    token: str
    held: int = 0
    epoch: int = 0
    life: int = 0


class MemberAck(msgspec.Struct, tag_field="say", tag="ack", omit_defaults=True):
    """Everything up to `held` is in force.

    :param mark: counts the acks of this connection; the ledger's beats echo it.
    :param away: a cache that can't be reached, so that nobody waits for it.
    """

    held: int
    mark: int
    away: bool = False


class MemberLeave(msgspec.Struct, tag_field="say", tag="leave"):
    """The member ends on purpose."""


class StatusQuery(msgspec.Struct, tag_field="say", tag="status", omit_defaults=True):
    """How far a purge has come; 0: the last."""

    number: int = 0


class MembersQuery(msgspec.Struct, tag_field="say", tag="members"):
    """Who is there, and how far."""


class QuotaRequests(msgspec.Struct, tag_field="say", tag="asks", omit_defaults=True):
    """A member asks for shares of budgets; said to a ledger only whose welcome says that it grants them.

    :param colds: for parts of what cold servers may be sent; an older ledger passes them over.
    """

    asks: tuple[QuotaRequest, ...]
    colds: tuple[SlowStartRequest, ...] = ()


class HealthReport(msgspec.Struct, tag_field="say", tag="sights", omit_defaults=True):
    """What a router has seen of its store's caches; said to a ledger whose welcome says that it judges.

    :param caches: how many it knows; those not told of have nothing out, and no news.
    :param loads: it wants to be told how many reqs all routers have out at each cache.
    """

    store: str
    sights: tuple[CacheObservation, ...]
    caches: int
    loads: bool = False


class HealthQuery(msgspec.Struct, tag_field="say", tag="views"):
    """How the caches stand, by all that routers have told."""


class QuotaQuery(msgspec.Struct, tag_field="say", tag="budgets"):
    """How the budgets stand."""


ToPurgeLog = (
    PurgeRequest
    | MemberHello
    | MemberAck
    | MemberLeave
    | StatusQuery
    | MembersQuery
    | QuotaRequests
    | QuotaQuery
    | HealthReport
    | HealthQuery
)


# -- from the ledger ---------------------------------------------------------------------------------------


class PurgeAccepted(msgspec.Struct, tag_field="say", tag="taken", omit_defaults=True):
    """The purge is durable.

    :param promise: us until every live member has it.
    :param again: it had been taken before, under its key.
    """

    number: int
    when: int
    promise: int
    again: bool = False


class RequestRejected(msgspec.Struct, tag_field="say", tag="refused", omit_defaults=True):
    """Nothing was done.

    :param come_back: us after which to try again; 0: never as it is.
    """

    place: str
    reason: str
    remedy: str
    come_back: int = 0


class Welcome(msgspec.Struct, tag_field="say", tag="welcome"):
    """The member is known.

    :param head: the number of the last purge that is durable.
    :param now: us, the ledger's clock.
    :param lease: us after the sending of an acknowledgement that has been echoed.
    :param grants: it grants shares of budgets; a ledger of before the word says nothing of it.
    :param judges: it puts together what routers have seen of caches; likewise.
    """

    epoch: int
    head: int
    now: int
    lease: int
    grants: bool = False
    judges: bool = False


class PurgeBatch(msgspec.Struct, tag_field="say", tag="purges"):
    """Purges in their order, none left out."""

    purges: tuple[Purge, ...]


class Snapshot(msgspec.Struct, tag_field="say", tag="snapshot"):
    """Part of what still matters up to `head`, in place of the whole order.

    :param floor: us; of what was purged before it, some is told no more.
    :param last: nothing of it follows.
    """

    head: int
    floor: int
    purges: tuple[Purge, ...]
    last: bool


class Heartbeat(msgspec.Struct, tag_field="say", tag="beat"):
    """The ledger is there.

    :param head: all up to it has been sent on this connection.
    :param echo: the mark of the last ack that was read before the head was looked at.
    """

    epoch: int
    head: int
    echo: int
    now: int


class CaughtUp(msgspec.Struct, tag_field="say", tag="caught"):
    """Up to which number each cache has purged; one that is away is not named."""

    caches: dict[str, int]


class PurgeStatus(msgspec.Struct, tag_field="say", tag="status"):
    """How far a purge has come; `missing` names who hasn't acknowledged it.

    :param took: us until the last acknowledgement; 0: not complete.
    :param head: the number of the last purge.
    """

    number: int
    what: str
    when: int
    complete: bool
    took: int
    promise: int
    missing: tuple[str, ...]
    head: int
    delays: dict[str, int]


class MemberStatus(msgspec.Struct):
    name: str
    kind: MemberKind
    held: int
    live: bool
    away: bool
    heard: int  # us since its last word


class MembersReply(msgspec.Struct, tag_field="say", tag="members"):
    epoch: int
    head: int
    members: tuple[MemberStatus, ...]


class QuotaGrants(msgspec.Struct, tag_field="say", tag="grants", omit_defaults=True):
    """The answer to asks for shares.

    :param refused: those not obeyed, by their budgets or cold servers.
    """

    grants: tuple[QuotaGrant, ...]
    refused: dict[str, QuotaRefusal] = {}
    colds: tuple[SlowStartGrant, ...] = ()


class QuotaStatus(msgspec.Struct, tag_field="say", tag="budgets"):
    """How the budgets stand; at most PAGE of them, those asked for last.

    :param refused: asks that were not obeyed since the ledger's start.
    :param colds: servers that have started lately, and what was granted of them; likewise.
    """

    epoch: int
    budgets: tuple[BudgetState, ...]
    refused: int
    colds: tuple[SlowStartState, ...] = ()


class EjectionVerdicts(msgspec.Struct, tag_field="say", tag="judged", omit_defaults=True):
    """The caches that are to be left out for now; those not named are not.

    :param loads: reqs that all routers have out at each cache, -1: not known; those not named have none.
        None: it was not asked for.
    """

    judgements: tuple[EjectionVerdict, ...]
    loads: dict[str, int] | None = None


class StoreHealth(msgspec.Struct):
    """How the caches of a store stand."""

    store: str
    judgements: tuple[EjectionVerdict, ...]
    counts: tuple[CacheLoad, ...]


class HealthReply(msgspec.Struct, tag_field="say", tag="views"):
    epoch: int
    views: tuple[StoreHealth, ...]


FromPurgeLog = (
    PurgeAccepted
    | RequestRejected
    | Welcome
    | PurgeBatch
    | Snapshot
    | Heartbeat
    | CaughtUp
    | PurgeStatus
    | MembersReply
    | QuotaGrants
    | QuotaStatus
    | EjectionVerdicts
    | HealthReply
)

_encoder = msgspec.json.Encoder()
_to_ledger = msgspec.json.Decoder(ToPurgeLog)
_from_ledger = msgspec.json.Decoder(FromPurgeLog)


def page(purges: Sequence[Purge]) -> Sequence[Purge]:
    """As many of the first as go into one line: a character may take two bytes, the rest 400 a purge."""
    size = 0
    for at, purge in enumerate(purges[:PAGE]):
        size += 2 * sum(len(value) + 2 for value in purge.values) + 400
        if size > LINE_MOST and at:
            return purges[:at]
    return purges[:PAGE]


class MalformedMessage(ValueError):
    """A line that no member or ledger of this version writes."""


def encode_line(said: msgspec.Struct) -> bytes:
    return _encoder.encode(said) + b"\n"


def decode_to_purge_log(data: bytes) -> ToPurgeLog:
    return _read(_to_ledger, data)


def decode_from_purge_log(data: bytes) -> FromPurgeLog:
    return _read(_from_ledger, data)


def _read(decoder: msgspec.json.Decoder, data: bytes):
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedMessage(str(error)) from None


def faulty(send: PurgeRequest) -> RequestRejected | None:
    """What is wrong with a purge that somebody sends."""

    def no(place: str, reason: str, remedy: str) -> RequestRejected:
        return RequestRejected(place, reason, remedy)

    if send.kind == "all":
        if send.values:
            return no("values", "a purge of all names no values", "leave them out, or name the kind")
    elif not send.values:
        return no("values", f"no {send.kind} is named", f"name one {send.kind} or more")
    if len(send.values) > VALUES_MOST:
        return no("values", f"{len(send.values)} values in one purge", f"send at most {VALUES_MOST} at once")
    if sum(map(len, send.values)) > TOGETHER_MOST:
        return no("values", f"more than {TOGETHER_MOST} characters in one purge", "send several purges")
    for value in send.values:
        if not WORD.fullmatch(value):
            return no(
                "values",
                f"{value!r:.60} is no {send.kind}",
                f"use 1 to {VALUE_MOST} characters without blanks",
            )
        if send.kind == "pattern" and (why := bad_pattern(value)):
            return no("values", f"{value!r:.60}: {why}", "see 'Patterns' in docs/purges.md")
    for place, word in (("vhost", send.vhost), ("store", send.store)):
        if word and not NAME.fullmatch(word):
            return no(place, f"{word!r:.60} is no name", "use letters, digits, '_', '-', ':' and '.'")
    if send.key and not KEY.fullmatch(send.key):
        return no("key", f"{send.key!r:.60} is no key", "use 1 to 64 characters without blanks")
    return None


def bad_pattern(text: str) -> str:
    """Why a text is no pattern of a host and a path; nothing where it is one."""
    if "/" not in text:
        return "a pattern has a path, which begins with '/'"
    body = text[:-2] if text.endswith("/**") else text
    if "**" in body:
        return "'**' stands only at the end, behind a '/'"
    if text.count("*") > 16:
        return "more than 16 wildcards"
    if text.count("/") > 32:
        return "more than 32 parts"
    return ""
