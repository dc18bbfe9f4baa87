"""Properties of plans, on drawn examples.

The layout keeps the meaning, shadowing and diff find what brute force finds, and no text raises anything but
faults.

The examples are drawn by the source of each test function (derandomize), so an edit in one draws others.
"""

import itertools
import re
from dataclasses import fields, is_dataclass

import hypothesis
from hypothesis import given, settings
from hypothesis import strategies as st

from quartzrouter.config import syntax_tree
from quartzrouter.config.diff import Diff
from quartzrouter.config.evaluator import Evaluation, Unreadable
from quartzrouter.config.formatter import layout
from quartzrouter.config.loader import load
from quartzrouter.config.matcher import Matcher
from quartzrouter.config.matcher import first_match as plain
from quartzrouter.config.parser import parse
from quartzrouter.config.patterns import InvalidPattern as Unusable
from quartzrouter.config.patterns import pattern, witness
from quartzrouter.config.problems import Faults, Source
from quartzrouter.config.problems import PlanError as Broken
from quartzrouter.config.request_sets import RouteQuery
from quartzrouter.config.request_sets import subtract as rest

# Imported as `plain`, `Unusable`, `Broken` and `rest`: the derandomized tests take their examples from their
# own source, so they keep these names.

settings.register_profile("same", derandomize=True, deadline=None, database=None, print_blob=False)
settings.load_profile("same")

NAMES = st.sampled_from(["a", "b", "care-sheet", "x_1", "then_", "zone"])
LEAVES = st.one_of(
    st.sampled_from(
        ["1", "2.50", "250ms", "64MiB", "120/s", "35%", "true", "null", '"t"', '"a${b}c"', "a", "zone"]
    ),
    st.just('include "part.plan"'),
)
GAPS = st.sampled_from(
    [" ", "\n", "\n\n\n", " // said\n", "\n# more\n", " /* in between */ ", "\n/* two\n lines */\n"]
)


def bracketed(items, gap, opening, closing):
    return opening + gap + f",{gap}".join(items) + ("," if items and "\n" in gap else "") + gap + closing


def composite_expressions(children):
    """Returns the strategy for expressions that contain others."""
    field = st.tuples(st.sampled_from(["{}: ", "{}+: ", "override {}: ", "[{}]: "]), NAMES, children).map(
        lambda t: t[0].format(t[1]) + t[2]
    )
    return st.one_of(
        st.tuples(st.lists(children, max_size=3), GAPS).map(lambda t: bracketed(t[0], t[1], "[", "]")),
        st.tuples(st.lists(field, max_size=4), GAPS).map(lambda t: bracketed(t[0], t[1], "{", "}")),
        st.tuples(field, GAPS, children).map(
            lambda t: "{" + t[1] + t[0] + t[1] + "for k in " + t[2] + t[1] + "}"
        ),
        st.tuples(children, children, children).map(lambda t: f"[{t[0]} for k in {t[1]} if {t[2]}]"),
        st.tuples(children, st.sampled_from(["+", "-", "*", "/", "==", "<", "&&", "||"]), GAPS, children).map(
            lambda t: f"({t[0]}) {t[1]}{t[2]}({t[3]})"
        ),
        st.tuples(children, children, children).map(lambda t: f"(if {t[0]} then {t[1]} else {t[2]})"),
        st.tuples(children, GAPS, children).map(
            lambda t: f"(local a = {t[0]};{t[1]}local f(x, y) = x; {t[2]})"
        ),
        st.tuples(children, children).map(lambda t: f"f({t[0]}, {t[1]})"),
        st.tuples(children, NAMES).map(lambda t: f"({t[0]}).{t[1]}"),
        children.map(lambda t: f"!({t})"),
    )


EXPRESSIONS = st.recursive(LEAVES, composite_expressions, max_leaves=14)


def meaning(node):
    """Returns a syntax tree without its places and its layout."""
    if is_dataclass(node) and isinstance(node, syntax_tree.Node):
        ignored = {"place", "depth", "end_line", "multiline", "name_place"}
        if isinstance(node, syntax_tree.Text):
            ignored.add("text")
        kept = [meaning(getattr(node, f.name)) for f in fields(node) if f.name not in ignored]
        return (type(node).__name__, *kept)
    return [meaning(item) for item in node] if isinstance(node, list) else node


def comments(text):
    return sorted(token.value for token in parse(Source("x", text)).comments)


@settings(max_examples=400)
@given(EXPRESSIONS, GAPS)
def test_layout_keeps_the_meaning_and_every_comment_and_is_its_own_layout(text, gap):
    text = gap + text + gap
    laid = layout(Source("x", text))
    assert meaning(parse(Source("x", laid)).root) == meaning(parse(Source("x", text)).root)
    assert comments(laid) == comments(text)
    assert layout(Source("x", laid)) == laid


WORDS = [
    "{",
    "}",
    "[",
    "]",
    "(",
    ")",
    ":",
    "+:",
    ",",
    ";",
    "=",
    "local",
    "for",
    "in",
    "if",
    "then",
    "else",
    "include",
    "override",
    "a",
    "b",
    "1",
    "3s",
    "8sec",
    "35%",
    '"x"',
    '"${a}"',
    '"${',
    "'",
    "\\",
    "//",
    "/*",
    "+",
    "-",
    "*",
    "/",
    "==",
    "!",
    ".",
    "é",
    "\n",
    "\x00",
]


@settings(max_examples=600)
@given(st.one_of(st.text(max_size=60), st.lists(st.sampled_from(WORDS), max_size=25).map(" ".join)))
def test_any_text_ends_in_a_value_or_in_faults(text):
    def read(path):
        if path != "main":
            raise Unreadable("there is no such file")
        return text

    faults = Faults()
    try:
        Evaluation(read, faults).file("main")
    except Broken as error:
        faults.add(error.fault)
    loaded = load("main", read)
    assert loaded.plan is None and loaded.faults.errors
    for fault in loaded.faults.in_order():
        assert fault.shown()


PATTERNS = st.text(alphabet="ab/*{}", max_size=7)


@settings(max_examples=150)
@given(st.lists(PATTERNS, max_size=3), st.lists(PATTERNS, max_size=2))
def test_a_witness_is_one_and_none_means_none(yes, no):
    try:
        takes = [pattern("/" + text.replace("{}", "{x}"), "/") for text in yes]
        leaves = [pattern("/" + text.replace("{}", "{x}"), "/") for text in no]
    except Unusable:
        hypothesis.assume(False)

    def fits(text):
        return all(one.match(text) for one in takes) and not any(one.match(text) for one in leaves)

    found = witness(takes, leaves)
    if found is not None:
        assert fits(found)
        return
    for size in range(5):
        for text in itertools.product("ab/c", repeat=size):
            assert not fits("".join(text))


@settings(max_examples=400)
@given(PATTERNS, st.text(alphabet="ab/c", max_size=9))
def test_the_expression_and_the_automaton_take_the_same(text, asked):
    try:
        one = pattern(text, "/")
    except Unusable:
        hypothesis.assume(False)
    assert one.walk(asked) == one.match(asked) == bool(one.expression.fullmatch(asked))


# -- random plans, compared with brute force over all requests of a small universe -------------------------

STORES, METHODS, TAGS = ["north", "south"], ["GET", "POST"], [None, "1", "2"]
HOSTS = ["a", "b", "c.a"]
PATHS = ["/", "/a", "/b", "/a/a", "/a/b", "/b/a", "/a/a/b", "/c/c"]
UNIVERSE = [
    RouteQuery(store, host, path, method, {} if tag is None else {"x-tag": tag}, {})
    for store in STORES
    for host in HOSTS
    for path in PATHS
    for method in METHODS
    for tag in TAGS
]

MATCHES = st.fixed_dictionaries(
    {},
    optional={
        "store": st.sampled_from(['"north"', '["north", "south"]']),
        "host": st.sampled_from(['"a"', '"*"', '"**.a"', '["a", "b"]']),
        "path": st.sampled_from(
            ['"/a"', '"/{x}"', '"/*"', '"/a/**"', '"/**"', '"/{x}/b"', '"/a/{x}"', '"/{x}/{y**}"']
        ),
        "method": st.sampled_from(['"GET"', '["GET", "POST"]', '"POST"']),
        "header": st.sampled_from(
            ["{ x-tag: true }", "{ x-tag: false }", '{ x-tag: "1" }', '{ x-tag: "*" }']
        ),
    },
)
ROUTES = st.lists(st.tuples(MATCHES, st.sampled_from(["near", "far"])), min_size=1, max_size=6)
BASE = """{
  deployment: { name: "t", home: "north" },
  stores: { north: { hub: "h" }, south: { hub: "h" } }, hubs: { h: {} },
  caches: { n: { address: "127.0.0.1:1", at: "north" }, s: { address: "127.0.0.1:2", at: "south" } },
  vhosts: { page: { client_timeout: 3s } }, pools: { near: {}, far: { stores: "south" } }, routes: { %s },
}"""


def plan_of(routes):
    """Loads a plan with routes r0, r1 and so on, each given by its conditions and its pool."""
    lines = []
    for n, (match, pool) in enumerate(routes):
        conditions = ", ".join(f"{key}: {value}" for key, value in match.items())
        lines.append(f'r{n}: {{ match: {{ {conditions} }}, vhost: "page", pool: "{pool}" }}')
    text = BASE % ", ".join(lines)
    return load("main", lambda path: text)


def matches(conditions, asked):
    """Returns whether a route matches a request, independently of the code under test."""

    def glob(text, value, sep):
        if text.startswith("**"):
            return value.endswith(text[2:])
        out = re.sub(r"\\\{\w+\\\*\\\*\\\}|\\\*\\\*", ".*", re.escape(text))
        out = re.sub(r"\\\{\w+\\\}", f"[^{sep}]+" if sep else ".+", out)
        return re.fullmatch(out.replace(r"\*", f"[^{sep}]*" if sep else ".*"), value) is not None

    listed = {key: re.findall(r'"([^"]*)"', value) for key, value in conditions.items()}
    if "store" in listed and asked.store not in listed["store"]:
        return False
    if "method" in listed and asked.method not in listed["method"]:
        return False
    if "host" in listed and not any(glob(host, asked.host, ".") for host in listed["host"]):
        return False
    if "path" in listed and not glob(listed["path"][0], asked.path, "/"):
        return False
    if "header" in conditions:
        header, tag = conditions["header"], asked.headers.get("x-tag")
        if "true" in header or "*" in header:
            return tag is not None
        return tag is None if "false" in header else tag == "1"
    return True


def first(routes, asked):
    """Returns the index of the first route that matches a request, or None."""
    return next((n for n, (match, _) in enumerate(routes) if matches(match, asked)), None)


@settings(max_examples=120)
@given(ROUTES)
def test_shadowing_is_as_brute_force_finds_it(routes):
    loaded = plan_of(routes)
    said = {fault.reason.split("'")[1] for fault in loaded.faults.errors if fault.code == "shadow"}
    assert len(said) == len(loaded.faults.errors)
    reached = {f"r{first(routes, asked)}" for asked in UNIVERSE}
    assert not said & reached
    if loaded.plan is not None:
        matcher = Matcher(loaded.plan.routes)
        for asked in UNIVERSE:
            found, slow, n = matcher.find(asked), plain(loaded.plan.routes, asked), first(routes, asked)
            assert (found.route.name if found else None) == (None if n is None else f"r{n}")
            assert (slow.name if slow else None) == (found.route.name if found else None)
        for route in loaded.plan.routes:
            earlier = [box for other in loaded.plan.routes[: route.order] for box in other.boxes]
            own = rest(list(route.boxes), earlier)[0].witness()
            assert matcher.find(own).route is route


@settings(max_examples=80)
@given(ROUTES, ROUTES)
def test_the_sets_of_a_diff_are_as_brute_force_finds_them(old, new):
    plans = plan_of(old).plan, plan_of(new).plan
    hypothesis.assume(all(plans))
    diff = Diff(*plans)
    sets = {change.pair for change in diff.changes}
    assert len(sets) == len(diff.changes)
    for asked in UNIVERSE:
        was, now = first(old, asked), first(new, asked)
        differs = (None if was is None else old[was][1]) != (None if now is None else new[now][1])
        pair = (None if was is None else f"r{was}", None if now is None else f"r{now}")
        assert (pair in sets) == differs
    for change in diff.changes:
        names = [m.find(change.witness) for m in (Matcher(plan.routes) for plan in plans)]
        assert tuple(found.route.name if found else None for found in names) == change.pair
    counts, stray = diff.replay(UNIVERSE)
    assert not stray and sum(counts.values()) == len(UNIVERSE)
    assert not Diff(plans[0], plans[0]).changes
