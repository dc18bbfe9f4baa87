"""Looks at every response of a fleet under purges, and finds those with a copy that a purge makes stale."""

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from quartzrouter.purges.messages import Purge, PurgeAccepted, PurgeRequest
from quartzrouter.purges.purge_index import ANY_STORE, PurgeIndex, PurgeLookup

SECOND = 1_000_000  # us
GRACE = 300_000  # us within which a purge must hold
MAX_TRANSIT = 100_000  # us that a response may take from its router until its client has looked at it
FOR_EVER = 1 << 60  # us

TAGS = ("rose", "lily", "care", "hold")


def tags_of(path: str) -> str:
    """Returns the tags that the origin gives a page: of its plant, and on most pages `care` or `hold`.

    :param path: as /KIND/pPLANT/PAGE.
    """
    _, _, plant_part, page_part = path.split("/")
    plant, page = int(plant_part.removeprefix("p")), int(page_part)
    tags = [TAGS[plant % 2], f"plant{plant}"]
    if page % 3:
        tags.append(TAGS[2 + page % 2])
    return ", ".join(tags)


class Response(NamedTuple):
    """A response that brought a copy. Times are microseconds of the true clock.

    :param sent_at: when its request was sent.
    :param received_at: when it came to its client.
    :param made_at: when the origin made the copy.
    """

    sent_at: int
    received_at: int
    path: str
    made_at: int
    router: int


class CutOff(NamedTuple):
    """A time in which a router may have been cut off from the purge log; microseconds.

    :param router: None for all.
    """

    router: int | None
    since: int
    until: int


@dataclass
class PurgeChecker:
    """Responses and purges, and what both break.

    :param skew: microseconds by which the purge log's clock is ahead.
    """

    skew: int
    responses: list[Response] = field(default_factory=list)
    purges: dict[int, PurgeIndex] = field(default_factory=dict)  # each by itself, by sequence number
    outcomes: Counter = field(default_factory=Counter)  # of requests and purges
    cut_offs: list[CutOff] = field(default_factory=list)

    def purge_accepted(self, request: PurgeRequest, accepted: PurgeAccepted) -> None:
        """Records a purge that must hold one grace after it was accepted."""
        purged_at = accepted.purged_at - self.skew
        kind = "pattern" if request.kind == "object" else request.kind  # objects are named by paths here
        index = PurgeIndex(FOR_EVER, 1_000)
        index.add(Purge(accepted.sequence_number, purged_at, kind, request.values, request.vhost), purged_at)
        self.purges[accepted.sequence_number] = index

    def stale_copies(self, start: int = 0, stop: int | None = None) -> list[str]:
        """Returns a line for each response with a copy that a purge had made stale.

        :param start: the first response to look at, by its place in the list.
        :param stop: the one behind the last.
        """
        found = []
        for response in self.responses[start:stop]:
            found += self._stale_by(response)
        return found

    def _stale_by(self, response: Response) -> list[str]:
        lookup = PurgeLookup("photo" if "/photos/" in response.path else "page", "", "", response.path)
        tags = [tag.strip() for tag in tags_of(response.path).split(",")]
        must_hold_at = max(response.sent_at, self._decided_at(response))
        found = []
        for sequence_number, index in self.purges.items():
            purged_at = index.newest(lookup, tags, ANY_STORE)
            if response.made_at < purged_at and purged_at + GRACE <= must_hold_at:
                age = (purged_at - response.made_at) / SECOND
                delay = (response.sent_at - purged_at) / SECOND
                found.append(
                    f"router {response.router} answered {response.path} with a copy {age:.3f} s older than "
                    f"purge {sequence_number}, to a req sent {delay:.3f} s after it"
                )
        return found

    def _decided_at(self, response: Response) -> int:
        """When the router passed the copy on, at the earliest; 0 for a router that may have been cut off.

        Such a router can't know of purges that came while it waited for the copy.
        """
        for cut_off in self.cut_offs:
            is_of_router = cut_off.router in (None, response.router)
            if is_of_router and cut_off.since <= response.received_at <= cut_off.until:
                return 0
        return response.received_at - MAX_TRANSIT
