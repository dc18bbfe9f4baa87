"""Messages on quota between routers and the allocator, and the records that operators' commands show. No I/O.

These named tuples travel as arrays: the order and the types of the fields are the format on the wire, the
names are not.  A refusal's ``place`` travels and keeps the values of ``RefusedField``.
"""

from enum import StrEnum
from typing import NamedTuple


class RefusedField(StrEnum):
    """The field of a ``QuotaRequest`` on account of which it is refused; the values travel."""

    BUDGET = "budget"
    SEQUENCE_NUMBER = "number"
    WANTED_RATE = "want"
    TOKENS_LEFT = "left"
    SLOTS_KEPT = "keep"
    SLOTS_WANTED = "slots"
    TERMS_CHECKSUM = "figures"


class QuotaRequest(NamedTuple):
    """A router asks for a grant out of one budget.

    :param budget: its name, with the partition.
    :param name: of the router.
    :param process_token: of the router's process: another one under the same name is another holder.
    :param sequence_number: counts the requests of that process from 1.
    :param wanted_rate: tokens per second that it would use, those that it had to deny included.
    :param tokens_left: granted and not used.
    :param slots_kept: to which the router has confined itself, from this message on.
    :param slots_wanted: that it would use.
    :param terms_checksum: checksum of the budget's terms in the router's plan.
    """

    budget: str
    name: str
    process_token: str
    sequence_number: int
    wanted_rate: float = 0.0
    tokens_left: float = 0.0
    slots_kept: int = 0
    slots_wanted: int = 0
    terms_checksum: int = 0


class QuotaGrant(NamedTuple):
    """The allocator's answer to one request.

    :param budget: its name, with the partition.
    :param process_token: of the request.
    :param sequence_number: of the request.
    :param tokens: on top of what is left of earlier grants.
    :param slots: in all, in place of those that the router kept.
    """

    budget: str
    process_token: str
    sequence_number: int
    tokens: float
    slots: int


class QuotaRefusal(NamedTuple):
    """A request that was not granted: which field is wrong, why, and what to do.

    :param place: which field, a value of ``RefusedField`` or ``RefusedSlowStartField``.
    """

    place: str
    reason: str
    remedy: str


class HolderState(NamedTuple):
    """One router's part in a budget, as the allocator knows it.

    :param router: its name.
    :param wanted_rate: tokens per second.
    :param slots: that it may have in use.
    :param last_request_age: microseconds since its last request.
    """

    router: str
    wanted_rate: float
    slots: int
    last_request_age: int


class BudgetState(NamedTuple):
    """A budget as its allocator sees it.

    :param budget: its name, with the partition.
    :param rate: tokens per second.
    :param slots: requests in flight at a time.
    :param tokens: in the bucket.
    :param tokens_granted: since the allocator began.
    :param slots_wait: microseconds until slots are granted; an earlier allocator's may be in use until then.
    :param holders: the routers that ask for it.
    """

    budget: str
    rate: float
    slots: int
    tokens: float
    tokens_granted: float
    slots_wait: int
    holders: tuple[HolderState, ...]
