"""The members of a purge log: what each has applied, and whether its lease may still be valid."""

from collections import deque
from typing import NamedTuple

from quartzrouter.purges.messages import MemberHello, MemberKind, MemberStatus, RequestRejected
from quartzrouter.purges.validation import NAME

MAX_MEMBERS = 4_096  # names; if there are more, members that left or are silent longest are dropped first
MAX_ECHOABLE_ACKS = 64  # per member; an echo of an older one would start a lease that has already expired


class Acknowledgement(NamedTuple):
    """An acknowledgement that may still be echoed.

    :param received_at: microseconds of the purge log's clock.
    """

    ack_id: int
    received_at: int


class Member:
    """The state of one member.

    :param token: identifies the member's process.
    :param now: microseconds of the purge log's clock.
    """

    def __init__(self, name: str, kind: MemberKind, token: str, now: int):
        self.name = name
        self.kind = kind
        self.token = token
        self.applied_up_to = 0
        self.settled_up_to = 0  # of a cache: it neither holds nor gets copies that these purges make stale
        self.acks: deque[Acknowledgement] = deque(maxlen=MAX_ECHOABLE_ACKS)
        self.last_heard_at = now
        self.has_acknowledged = False
        self.is_unreachable = False
        self.has_left = False

    def record_ack(self, ack_id: int, now: int) -> None:
        """Stores an acknowledgement, so that a heartbeat can echo it."""
        self.acks.append(Acknowledgement(ack_id, now))

    def is_live(self, now: int, lease_length: int) -> bool:
        """Returns True if the member's lease may still be valid, so that purges wait for it.

        The lease started when the member sent an acknowledgement, before it was received here. So it expires
        at the latest one lease length after the member's last message was received.
        """
        if not self.has_acknowledged or self.is_unreachable or self.has_left:
            return False
        return now - self.last_heard_at <= lease_length


class MemberDirectory:
    """All members by name.

    :param epoch: the epoch of this writer of the purge log.
    :param lease_length: microseconds.
    """

    def __init__(self, epoch: int, lease_length: int):
        self.epoch = epoch
        self.lease_length = lease_length
        self.by_name: dict[str, Member] = {}

    def join(self, hello: MemberHello, now: int) -> Member | RequestRejected:
        """Adds a member, or records that it has reconnected."""
        rejection = self._check_hello(hello, now)
        if rejection:
            return rejection
        member = self.by_name.get(hello.name)
        if member is None or member.token != hello.token:
            member = Member(hello.name, hello.kind, hello.token, now)
            self.by_name[hello.name] = member
        member.kind = hello.kind
        member.has_left = False
        member.last_heard_at = now
        member.acks.clear()  # ids start from one on each connection
        return member

    def _check_hello(self, hello: MemberHello, now: int) -> RequestRejected | None:
        """Returns the reason why a member can't join, if there is one."""
        if not NAME.fullmatch(hello.name) or not NAME.fullmatch(hello.token):
            return RequestRejected(
                "name",
                f"{hello.name!r:.60} or its token is not a valid name",
                "use letters, digits, '_', '-', ':' and '.'",
            )
        if hello.epoch > self.epoch:
            # Guards against a writer that another has replaced without its knowledge: it lacks purges.
            return RequestRejected(
                "epoch",
                f"{hello.name} knows epoch {hello.epoch}, but this ledger writes epoch {self.epoch}",
                "connect to the ledger that took over",
            )
        member = self.by_name.get(hello.name)
        if member is None:
            if len(self.by_name) >= MAX_MEMBERS and not self._drop_silent_member(now):
                return RequestRejected(
                    "members",
                    f"there are {MAX_MEMBERS} members, which is the maximum",
                    "let some of them leave",
                    self.lease_length,
                )
            return None
        is_other_process = member.token != hello.token and not member.has_left
        if is_other_process and now - member.last_heard_at <= self.lease_length:
            # Guards against two processes with one name: each would acknowledge purges that the other lacks.
            return RequestRejected(
                "name",
                f"another process uses the member name {hello.name!r}",
                "give each process its own name, or wait until the other's lease has expired",
                self.lease_length,
            )
        return None

    def _drop_silent_member(self, now: int) -> bool:
        """Removes the member that is not live and has been silent longest.

        :returns: False if all members are live.
        """
        silent = [member for member in self.by_name.values() if not member.is_live(now, self.lease_length)]
        if not silent:
            return False
        del self.by_name[min(silent, key=lambda member: member.last_heard_at).name]
        return True

    def live(self, now: int) -> list[Member]:
        """Returns the members that purges wait for: live routers and caches, but not watchers."""
        return [
            member
            for member in self.by_name.values()
            if member.kind != "watcher" and member.is_live(now, self.lease_length)
        ]

    def statuses(self, now: int) -> tuple[MemberStatus, ...]:
        """Returns the status of each member that has not left, sorted by name."""
        statuses = [
            MemberStatus(
                member.name,
                member.kind,
                member.applied_up_to,
                member.is_live(now, self.lease_length),
                member.is_unreachable,
                now - member.last_heard_at,
            )
            for member in self.by_name.values()
            if not member.has_left
        ]
        return tuple(sorted(statuses, key=lambda status: status.name))
