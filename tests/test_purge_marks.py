"""Marks of purges: what takes a copy, against a plain list; bounds, expiry, hostile patterns."""

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

S = 1_000_000
PARTS = ["a", "b", "ab", "*", "a*", "*b", "a*b", "*a*"]
HOSTS = ["", "x", "y", "*", "x*"]


def plain(text, host, path):
    """The same question, as an expression over the whole."""
    told, _, rest = text.partition("/")
    expression = "[^/]*" if not told else "[^/]*".join(map(re.escape, told.split("*")))
    for part in ("/" + rest).split("/")[1:]:
        expression += "(/.*)" if part == "**" else "/" + "[^/]*".join(map(re.escape, part.split("*")))
    return bool(re.fullmatch(expression, f"{host}{path}", re.S))


patterns = st.builds(
    lambda host, parts, deep: host + "/" + "/".join(parts) + ("/**" if deep and parts else "**" * deep),
    st.sampled_from(HOSTS),
    st.lists(st.sampled_from(PARTS), max_size=3),
    st.booleans(),
)
paths = st.lists(st.sampled_from(["", "a", "b", "ab", "ba", "aab"]), min_size=1, max_size=4).map(
    lambda parts: "/" + "/".join(parts)
)
asked = st.tuples(st.sampled_from(["x", "y", "xy"]), paths)


@settings(max_examples=300, deadline=None)
@given(st.lists(patterns, max_size=12), st.lists(asked, min_size=1, max_size=5), st.integers(0, 12))
def test_a_trie_finds_what_a_list_finds_before_and_after_the_oldest_go(told, questions, gone):
    trie = PatternTrie()
    for when, text in enumerate(told, 1):
        trie.add(text, when)
    for when, text in list(enumerate(told, 1))[:gone]:
        trie.remove(text, when)
    for host, path in questions:
        found = [when for when, text in enumerate(told, 1) if when > gone and plain(text, host, path)]
        assert trie.newest(host, path) == max(found, default=0)
    for when, text in list(enumerate(told, 1))[gone:]:
        trie.remove(text, when)
    assert not trie.root.newest


@given(st.text("ab*", max_size=8).filter(lambda text: "*" in text), st.text("ab", max_size=8))
def test_a_glob_is_its_expression(pattern, text):
    expression = ".*".join(map(re.escape, pattern.split("*")))
    assert Glob(pattern).matches(text) == bool(re.fullmatch(expression, text))


def test_patterns_made_to_be_slow_are_not():
    trie, text = PatternTrie(), "/" + "a" * 2_000 + "/" + "a" * 2_000
    for n in range(60):
        trie.add("/" + "*a" * 15 + "b" + f"{n}/" + "*a" * 15, 1)
    for n in range(500):  # more than one node may hold: the node takes all below it
        trie.add(f"/x*{n}/**", 2)
    began = time.perf_counter()
    assert trie.newest("x", text, 0) == 2 and trie.widened == 500 - (MAX_GLOBS_PER_NODE - 60)
    assert time.perf_counter() - began < 0.1


def test_more_hosts_than_a_node_tries_purge_more_and_never_fewer():
    trie = PatternTrie()
    for n in range(100):
        trie.add(f"*.h{n}/a", n + 1)
    assert trie.widened == 100 - MAX_GLOBS_PER_NODE
    for n in range(100):
        assert trie.newest(f"www.h{n}", "/a") >= n + 1
    for n in range(100):
        trie.remove(f"*.h{n}/a", n + 1)
    assert not trie.newest("www.h99", "/a")


def test_a_walk_is_bounded_and_then_takes_too_much():
    trie = PatternTrie()
    for a in range(16):
        for b in range(16):
            for c in range(16):
                trie.add(f"/{'*' * 1}{chr(97 + a)}*/*{chr(97 + b)}*/*{chr(97 + c)}*/q", 7)
    word = "abcdefghijklmnop"
    assert trie.newest("x", f"/{word}/{word}/{word}/r") == 7  # none matches; the walk was given up
    assert trie.newest("x", "/zz/zz/zz/r") == 0


purges = st.builds(
    lambda kind, value, vhost, store: (kind, () if kind == "all" else (value,), vhost, store),
    st.sampled_from(["object", "tag", "all", "pattern"]),
    st.sampled_from(["/a", "/b", "/**"]),
    st.sampled_from(["", "page", "clip"]),
    st.sampled_from(["", "north", "south"]),
)


def newest(told, number, tags, store, vhost="page", path="/a"):
    """Of a list of all purges, what takes the copy."""
    best = 0
    for n, (kind, values, of, at) in enumerate(told, 1):
        if n < number or of not in ("", vhost) or (store != "*" and at not in ("", store)):
            continue
        hit = (
            kind == "all"
            or (kind == "object" and path in values)
            or (kind == "tag" and (tags is None or tags & set(values)))
            or (kind == "pattern" and values[0] in (path, "/**"))
        )
        best = n * S if hit else best
    return best


@settings(max_examples=200, deadline=None)
@given(
    st.lists(purges, max_size=30),
    st.integers(0, 40),
    st.sampled_from([None, frozenset(), frozenset(["/a"])]),
    st.sampled_from(["north", "south", "*"]),
)
def test_marks_find_what_a_list_of_all_purges_finds(told, age, tags, store):
    marks = PurgeIndex(64 * S, 1_000)
    for n, (kind, values, vhost, at) in enumerate(told, 1):
        marks.add(Purge(n, n * S, kind, values, vhost, at), n * S)
    now = (age + 64) * S
    marks.expire(now)
    found = marks.newest(PurgeLookup("page", "/a", "x", "/a"), tags, store)
    assert found == newest(told, age, tags, store)  # one slot of the wheel is a second
    assert marks.expired_up_to == min(max(0, age - 1), len(told))
    marks.expire(now + 1_000 * S)
    assert not marks.scopes and not len(marks)


def test_more_marks_than_may_be_held_take_more_and_never_fewer():
    marks = PurgeIndex(3_600 * S, 1_000)
    for n in range(1, 5_001):
        marks.add(Purge(n, n, "object", (f"o{n}",), "page"), n * S // 2)
        assert len(marks) <= 1_000
    assert marks.merged > 4_000
    for n in (1, 2_000, 4_999, 5_000):
        assert marks.newest(PurgeLookup("page", f"o{n}", "x", "/"), (), "north") >= n * S // 2
    assert marks.newest(PurgeLookup("page", "other", "x", "/"), (), "north") > 0  # by the coarse mark
    assert marks.newest(PurgeLookup("clip", "other", "x", "/"), (), "north") == 0


def test_a_purge_without_end_of_scopes_holds_for_all():
    marks = PurgeIndex(3_600 * S, 10_000)
    for n in range(1, 400):
        marks.add(Purge(n, n, "all", (), f"v{n}"), n)
    assert len(marks.scopes) <= 257 and marks.newest(PurgeLookup("other", "o", "x", "/"), (), "*") == 399


def test_tags_are_read_as_caches_write_them():
    assert parse_tags(None, None, None) is None
    assert parse_tags("rose, care , rose", None, None) == ("care", "rose")
    assert parse_tags(None, "rose  care", None) == ("care", "rose")
    assert parse_tags(None, None, '"rose", "care";x') == ("care", "rose")
    assert parse_tags("", None, None) == ()
    assert parse_tags(",".join(f"t{n}" for n in range(40)), None, None) is None  # may carry any


def test_tags_of_objects_are_bounded_and_the_least_lately_answered_go():
    tags = ObjectTags(100)
    for n in range(1_000):
        tags.learn(f"o{n}", (f"t{n}",))
        tags.learn("kept", ("k",))
    assert len(tags.by_object) == 100 and len(tags.interned) <= 101
    assert tags.known("kept") == ("k",) and tags.known("o1") == ()
    tags.learn("bare", None)
    assert tags.known("bare") is None


def test_a_lease_holds_from_what_was_echoed():
    held = FreshnessLease(lease_length(300_000))
    assert held.max_age(0) == 150_000  # nothing heard yet
    held.renew(1_000_000)
    held.renew(900_000)  # a late echo takes nothing back
    assert held.max_age(1_150_000) == 0 and held.max_age(1_150_001) == 150_000
    held.revoke()
    assert not held.is_held(1_000_001)
