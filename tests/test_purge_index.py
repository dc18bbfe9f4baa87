"""Tests of the purge index: comparison with a plain list of purges, bounds, expiry, hostile patterns."""

import re
import time

from hypothesis import given, settings
from hypothesis import strategies as st

from quartzrouter.purges.freshness_lease import FreshnessLease, lease_length
from quartzrouter.purges.glob import Glob
from quartzrouter.purges.messages import Purge
from quartzrouter.purges.pattern_trie import MAX_GLOBS_PER_NODE, PatternTrie
from quartzrouter.purges.purge_index import PurgeIndex, PurgeLookup
from quartzrouter.purges.surrogate_tags import ObjectTags, parse_tags

SECOND = 1_000_000  # in microseconds
PARTS = ["a", "b", "ab", "*", "a*", "*b", "a*b", "*a*"]
HOSTS = ["", "x", "y", "*", "x*"]


def matches(pattern, host, path):
    """Returns True if a pattern matches, decided by a regular expression for the whole pattern."""
    host_pattern, _, path_pattern = pattern.partition("/")
    expression = "[^/]*".join(map(re.escape, host_pattern.split("*"))) if host_pattern else "[^/]*"
    for part in path_pattern.split("/"):
        expression += "(/.*)" if part == "**" else "/" + "[^/]*".join(map(re.escape, part.split("*")))
    return bool(re.fullmatch(expression, f"{host}{path}", re.S))


patterns = st.builds(
    lambda host, parts, is_subtree: (
        host + "/" + "/".join(parts) + ("/**" if is_subtree and parts else "**" * is_subtree)
    ),
    st.sampled_from(HOSTS),
    st.lists(st.sampled_from(PARTS), max_size=3),
    st.booleans(),
)
paths = st.lists(st.sampled_from(["", "a", "b", "ab", "ba", "aab"]), min_size=1, max_size=4).map(
    lambda parts: "/" + "/".join(parts)
)
hosts_and_paths = st.tuples(st.sampled_from(["x", "y", "xy"]), paths)


@settings(max_examples=300, deadline=None)
@given(
    st.lists(patterns, max_size=12),
    st.lists(hosts_and_paths, min_size=1, max_size=5),
    st.integers(0, 12),
)
def test_a_trie_finds_what_a_list_finds_before_and_after_the_oldest_expire(purged_patterns, lookups, removed):
    """Patterns are purged one after the other, and the oldest of them expire."""
    trie = PatternTrie()
    timed_patterns = list(enumerate(purged_patterns, 1))
    for purged_at, pattern in timed_patterns:
        trie.add(pattern, purged_at)
    for purged_at, pattern in timed_patterns[:removed]:
        trie.remove(pattern, purged_at)
    for host, path in lookups:
        times = [time for time, pattern in timed_patterns if time > removed and matches(pattern, host, path)]
        assert trie.newest(host, path) == max(times, default=0)
    for purged_at, pattern in timed_patterns[removed:]:
        trie.remove(pattern, purged_at)
    assert not trie.root.newest


@given(st.text("ab*", max_size=8).filter(lambda text: "*" in text), st.text("ab", max_size=8))
def test_a_glob_matches_what_its_regular_expression_matches(pattern, text):
    expression = ".*".join(map(re.escape, pattern.split("*")))
    assert Glob(pattern).matches(text) == bool(re.fullmatch(expression, text))


def test_hostile_patterns_are_not_slow():
    """A client purges patterns for which a backtracking regular expression would take extremely long."""
    trie = PatternTrie()
    path = "/" + "a" * 2_000 + "/" + "a" * 2_000
    for n in range(60):
        trie.add("/" + "*a" * 15 + "b" + f"{n}/" + "*a" * 15, 1)
    for n in range(500):  # more than a node can hold, so the rest become `**` of that node
        trie.add(f"/x*{n}/**", 2)
    started_at = time.perf_counter()
    assert trie.newest("x", path, 0) == 2 and trie.widened_patterns == 500 - (MAX_GLOBS_PER_NODE - 60)
    assert time.perf_counter() - started_at < 0.1


def test_too_many_globs_in_a_node_purge_more_and_never_less():
    trie = PatternTrie()
    for n in range(100):
        trie.add(f"*.h{n}/a", n + 1)
    assert trie.widened_patterns == 100 - MAX_GLOBS_PER_NODE
    for n in range(100):
        assert trie.newest(f"www.h{n}", "/a") >= n + 1
    for n in range(100):
        trie.remove(f"*.h{n}/a", n + 1)
    assert not trie.newest("www.h99", "/a")


def test_a_lookup_is_bounded_and_then_matches_too_much():
    """Four thousand patterns share their parts: a lookup would visit most nodes, and stops at its limit."""
    trie = PatternTrie()
    for a in range(16):
        for b in range(16):
            for c in range(16):
                trie.add(f"/*{chr(97 + a)}*/*{chr(97 + b)}*/*{chr(97 + c)}*/q", 7)
    word = "abcdefghijklmnop"
    assert trie.newest("x", f"/{word}/{word}/{word}/r") == 7  # no pattern matches
    assert trie.newest("x", "/zz/zz/zz/r") == 0


purges = st.builds(
    lambda kind, value, vhost, store: (kind, () if kind == "all" else (value,), vhost, store),
    st.sampled_from(["object", "tag", "all", "pattern"]),
    st.sampled_from(["/a", "/b", "/**"]),
    st.sampled_from(["", "page", "clip"]),
    st.sampled_from(["", "north", "south"]),
)


def newest_of_list(all_purges, first_number, tags, store, vhost="page", path="/a"):
    """Returns the time of the newest purge from a sequence number on that makes a copy stale."""
    newest = 0
    for number, (kind, values, purged_vhost, purged_store) in enumerate(all_purges, 1):
        is_in_vhost = purged_vhost in ("", vhost)
        is_in_store = store == "*" or purged_store in ("", store)
        if number < first_number or not is_in_vhost or not is_in_store:
            continue
        names_copy = (
            kind == "all"
            or (kind == "object" and path in values)
            or (kind == "tag" and (tags is None or tags & set(values)))
            or (kind == "pattern" and values[0] in (path, "/**"))
        )
        newest = number * SECOND if names_copy else newest
    return newest


@settings(max_examples=200, deadline=None)
@given(
    st.lists(purges, max_size=30),
    st.integers(0, 40),
    st.sampled_from([None, frozenset(), frozenset(["/a"])]),
    st.sampled_from(["north", "south", "*"]),
)
def test_the_index_finds_what_a_list_of_all_purges_finds(all_purges, expired, tags, store):
    index = PurgeIndex(64 * SECOND, 1_000)  # one slot of the timer wheel is a second
    for n, (kind, values, vhost, purged_store) in enumerate(all_purges, 1):
        index.add(Purge(n, n * SECOND, kind, values, vhost, purged_store), n * SECOND)
    now = (expired + 64) * SECOND
    index.expire(now)
    newest = index.newest(PurgeLookup("page", "/a", "x", "/a"), tags, store)
    assert newest == newest_of_list(all_purges, expired, tags, store)
    assert index.expired_up_to == min(max(0, expired - 1), len(all_purges))
    index.expire(now + 1_000 * SECOND)
    assert not index.scopes and not len(index)


def test_a_full_index_purges_more_and_never_less():
    """Five times more objects are purged than the index holds: the oldest become purges of their vhost."""
    index = PurgeIndex(3_600 * SECOND, 1_000)
    for n in range(1, 5_001):
        index.add(Purge(n, n, "object", (f"o{n}",), "page"), n * SECOND // 2)
        assert len(index) <= 1_000
    assert index.merged_entries > 4_000
    for n in (1, 2_000, 4_999, 5_000):
        newest = index.newest(PurgeLookup("page", f"o{n}", "x", "/"), (), "north")
        assert newest >= n * SECOND // 2
    assert index.newest(PurgeLookup("page", "other", "x", "/"), (), "north") > 0
    assert index.newest(PurgeLookup("clip", "other", "x", "/"), (), "north") == 0


def test_a_purge_beyond_the_limit_of_scopes_applies_to_all():
    """Purges name more vhosts than the index has scopes for: the rest apply to every vhost."""
    index = PurgeIndex(3_600 * SECOND, 10_000)
    for n in range(1, 400):
        index.add(Purge(n, n, "all", (), f"v{n}"), n)
    assert len(index.scopes) <= 257
    assert index.newest(PurgeLookup("other", "o", "x", "/"), (), "*") == 399


def test_tags_are_parsed_as_caches_write_them():
    assert parse_tags(None, None, None) is None
    assert parse_tags("rose, care , rose", None, None) == ("care", "rose")
    assert parse_tags(None, "rose  care", None) == ("care", "rose")
    assert parse_tags(None, None, '"rose", "care";x') == ("care", "rose")
    assert parse_tags("", None, None) == ()
    assert parse_tags(",".join(f"t{n}" for n in range(40)), None, None) is None  # it may have any tag


def test_object_tags_are_bounded_and_the_least_recent_are_dropped():
    object_tags = ObjectTags(100)
    for n in range(1_000):
        object_tags.learn(f"o{n}", (f"t{n}",))
        object_tags.learn("kept", ("k",))
    assert len(object_tags.by_object) == 100 and len(object_tags.interned) <= 101
    assert object_tags.known("kept") == ("k",) and object_tags.known("o1") == ()
    object_tags.learn("bare", None)
    assert object_tags.known("bare") is None


def test_a_lease_starts_at_the_newest_echoed_acknowledgement():
    lease = FreshnessLease(lease_length(300_000))
    assert lease.max_age(0) == 150_000  # no acknowledgement has been echoed
    lease.renew(1_000_000)
    lease.renew(900_000)  # a late echo doesn't shorten the lease
    assert lease.max_age(1_150_000) == 0 and lease.max_age(1_150_001) == 150_000
    lease.revoke()
    assert not lease.is_held(1_000_001)
