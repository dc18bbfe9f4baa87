"""Checks every response of a fleet for a copy that a purge had made stale."""

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from quartzrouter.purges.messages import Purge, PurgeAccepted, PurgeRequest
from quartzrouter.purges.purge_index import ANY_STORE, PurgeIndex, PurgeLookup

SECOND = 1_000_000  # microseconds
GRACE = 300_000  # microseconds within which a purge must take effect
MAX_TRANSIT = 100_000  # microseconds from when a router sends a response until its client has read it
UNLIMITED_LIFETIME = 1 << 60  # microseconds

TAGS = ("rose", "lily", "care", "hold")


def tags_of(path: str) -> str:
    """Returns the tags that the origin gives a page: those of its plant, and on most pages `care` or `hold`.

    :param path: a path of the form /KIND/pPLANT/PAGE.
    """
    _, _, plant_part, page_part = path.split("/")
    plant, page = int(plant_part.removeprefix("p")), int(page_part)
    tags = [TAGS[plant % 2], f"plant{plant}"]
    if page % 3:
        tags.append(TAGS[2 + page % 2])
    return ", ".join(tags)


class Response(NamedTuple):
    """A response with a copy. Times are microseconds of the true clock.

    :param sent_at: when the client sent the request.
    :param received_at: when the client received the response.
    :param path: the path of the request.
    :param made_at: when the origin made the copy.
    :param router: the number of the router that answered.
    """

    sent_at: int
    received_at: int
    path: str
    made_at: int
    router: int


class CutOff(NamedTuple):
    """A time in which a router may have been cut off from the purge log, in microseconds.

    :param router: the router's number, or None for all routers.
    """

    router: int | None
    since: int
    until: int


@dataclass
class PurgeChecker:
    """Records responses and purges, and finds the responses that violate a purge.

    :param skew: microseconds by which the purge log's clock is ahead.
    :param responses: all responses with a copy.
    :param purges: an index for each purge, by sequence number.
    :param outcomes: counts the outcomes of requests and purges.
    :param cut_offs: times in which routers may have been cut off from the purge log.
    """

    skew: int
    responses: list[Response] = field(default_factory=list)
    purges: dict[int, PurgeIndex] = field(default_factory=dict)
    outcomes: Counter = field(default_factory=Counter)
    cut_offs: list[CutOff] = field(default_factory=list)

    def purge_accepted(self, request: PurgeRequest, accepted: PurgeAccepted) -> None:
        """Records a purge, which must take effect one grace after it was accepted."""
        purged_at = accepted.purged_at - self.skew
        # The scenario names objects by their paths.
        kind = "pattern" if request.kind == "object" else request.kind
        index = PurgeIndex(UNLIMITED_LIFETIME, 1_000)
        index.add(Purge(accepted.sequence_number, purged_at, kind, request.values, request.vhost), purged_at)
        self.purges[accepted.sequence_number] = index

    def stale_copies(self, start: int = 0, stop: int | None = None) -> list[str]:
        """Returns a line for each response with a copy that a purge had made stale.

        :param start: the index of the first response to check.
        :param stop: the index after the last one; None checks all that follow.
        """
        lines = []
        for response in self.responses[start:stop]:
            lines += self._violations_of(response)
        return lines

    def _violations_of(self, response: Response) -> list[str]:
        """Returns a line for each purge that makes the copy of a response stale."""
        lookup = PurgeLookup("photo" if "/photos/" in response.path else "page", "", "", response.path)
        tags = [tag.strip() for tag in tags_of(response.path).split(",")]
        must_apply_at = max(response.sent_at, self._earliest_forwarding(response))
        lines = []
        for sequence_number, index in self.purges.items():
            purged_at = index.newest(lookup, tags, ANY_STORE)
            if response.made_at < purged_at and purged_at + GRACE <= must_apply_at:
                age = (purged_at - response.made_at) / SECOND
                delay = (response.sent_at - purged_at) / SECOND
                lines.append(
                    f"router {response.router} answered {response.path} with a copy {age:.3f} s older than "
                    f"purge {sequence_number}, to a request sent {delay:.3f} s after it"
                )
        return lines

    def _earliest_forwarding(self, response: Response) -> int:
        """Returns the earliest time at which the router passed the copy on, in microseconds.

        For a router that may have been cut off that is 0, as it can not know of purges that were accepted
        while it waited for the copy.
        """
        for cut_off in self.cut_offs:
            is_of_router = cut_off.router in (None, response.router)
            if is_of_router and cut_off.since <= response.received_at <= cut_off.until:
                return 0
        return response.received_at - MAX_TRANSIT
