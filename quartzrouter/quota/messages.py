"""Messages between routers and the quota allocator, and the records shown by operators' commands. No I/O.

The named tuples are encoded as arrays: the order and the types of their fields are the wire format, while the
names are not sent.  A refusal's ``place`` is sent as a value of ``RefusedField``, so these values must not
change.
"""

from enum import StrEnum
from typing import NamedTuple


class RefusedField(StrEnum):
    """The field of a ``QuotaRequest`` that caused a refusal; the values are sent to routers."""

    BUDGET = "budget"
    SEQUENCE_NUMBER = "number"
    WANTED_RATE = "want"
    TOKENS_LEFT = "left"
    SLOTS_KEPT = "keep"
    SLOTS_WANTED = "slots"
    TERMS_CHECKSUM = "figures"


class QuotaRequest(NamedTuple):
    """A router's request for a grant from one budget.

    :param budget: the budget's name, including the partition.
    :param name: the router's name.
    :param process_token: identifies the router's process; another process of that name is another holder.
    :param sequence_number: counts the requests of that process from 1.
    :param wanted_rate: tokens per second that the router would use, including requests that it had to deny.
    :param tokens_left: tokens that are granted and not used.
    :param slots_kept: the most slots that the router uses from this message on.
    :param slots_wanted: slots that the router would use.
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
    """The allocator's grant for one request.

    :param budget: the budget's name, including the partition.
    :param process_token: the request's process token.
    :param sequence_number: the request's sequence number.
    :param tokens: tokens in addition to what is left of earlier grants.
    :param slots: total slots, replacing those that the router kept.
    """

    budget: str
    process_token: str
    sequence_number: int
    tokens: float
    slots: int


class QuotaRefusal(NamedTuple):
    """The allocator's refusal of a request.

    :param place: the field that caused it, a value of ``RefusedField`` or ``RefusedSlowStartField``, or
        ``name`` for a request in another member's name.
    :param reason: why the request was refused.
    :param remedy: what an operator can do about it.
    """

    place: str
    reason: str
    remedy: str


class HolderState(NamedTuple):
    """The allocator's record of one router's share of a budget.

    :param router: the router's name.
    :param wanted_rate: tokens per second that it would use.
    :param slots: slots that it may have in use.
    :param last_request_age: microseconds since its last request.
    """

    router: str
    wanted_rate: float
    slots: int
    last_request_age: int


class BudgetState(NamedTuple):
    """The allocator's state of a budget.

    :param budget: the budget's name, including the partition.
    :param rate: limit in tokens per second.
    :param slots: limit of requests in flight at a time.
    :param tokens: tokens in the bucket.
    :param tokens_granted: tokens granted since the account was created.
    :param slots_wait: microseconds until slots are granted, as an earlier allocator's may be in use until
        then.
    :param holders: the routers that request quota.
    """

    budget: str
    rate: float
    slots: int
    tokens: float
    tokens_granted: float
    slots_wait: int
    holders: tuple[HolderState, ...]
