"""The one layout of a plan.  It changes no meaning, keeps every comment, and lays out its own output alike.

A record or list goes over several lines where it was written so, holds comments or another such, or is too
long; each comment stays before or behind the entry that it was written at.
"""

from quartzrouter.config import syntax_tree
from quartzrouter.config.parser import parse
from quartzrouter.config.problems import Place, Source
from quartzrouter.config.values import format_key

WIDTH = 100  # columns
STEP = 2  # columns
LEVELS = {
    "||": 1,
    "&&": 2,
    "==": 3,
    "!=": 3,
    "<": 3,
    "<=": 3,
    ">": 3,
    ">=": 3,
    "+": 4,
    "-": 4,
    "*": 5,
    "/": 5,
}
UNARY, POSTFIX, PRIMARY = 6, 7, 8
Entry = syntax_tree.Field | syntax_tree.Local | syntax_tree.Node


def layout(source: Source) -> str:
    """The text of a file, laid out; raises PlanError where it can't be parsed."""
    parsed = parse(source)
    return Layout(parsed.comments).file(parsed.root)


class Layout:
    def __init__(self, comments: list) -> None:
        self.comments = sorted(comments, key=lambda token: token.start_pos)
        self.at = 0
        self.forced: set[int] = set()  # nodes that go over several lines as what they stand in is too long

    def file(self, root: syntax_tree.Node) -> str:
        lines = self._entries([root], 0, "")
        lines += self._rest(10**9, 0)
        return "\n".join(line.rstrip() for line in lines) + "\n"

    # -- comments --------------------------------------------------------------------------------------

    def _next(self):
        return self.comments[self.at] if self.at < len(self.comments) else None

    def _take(self) -> str:
        self.at += 1
        return self.comments[self.at - 1].value.rstrip()

    def _rest(self, line: int, indent: int) -> list[str]:
        """Comments that begin before a line, each on lines of its own."""
        lines: list[str] = []
        while (token := self._next()) and token.line < line:
            lines.append(" " * indent + self._take())
        return lines

    def _before(self, place: Place) -> bool:
        token = self._next()
        return token is not None and (token.line, token.column) < (place.line, place.column)

    def _holds(self, node: syntax_tree.Node) -> bool:
        """Whether a comment stands inside, on a line before its last."""
        start = (node.place.line, node.place.column)
        return any(
            start < (token.line, token.column) and token.line < node.end for token in self.comments[self.at :]
        )

    # -- entries, one a line or more -----------------------------------------------------------------------

    def _entries(self, entries: list[Entry], indent: int, end: str) -> list[str]:
        lines: list[str] = []
        last = None  # the source's line where the entry before this one ended
        for entry in entries:
            lead: list[str] = []
            nested = end == ";" and isinstance(entry, syntax_tree.Let)  # names behind names, in parentheses
            first = entry.place.line
            while self._before(entry.place):
                first = min(first, self._next().line)
                lead.append(" " * indent + self._take())
            body = (
                self._cat([["("], self._part(entry, indent), [")"]]) if nested else self._lay(entry, indent)
            )
            body[0] = " " * indent + body[0]
            body[-1] += (
                ";" if isinstance(entry, syntax_tree.Local) and end == ";" else end if end != ";" else ""
            )
            while (token := self._next()) and token.line < entry.end:
                lead.append(" " * indent + self._take())  # inside of what has no lines of its own
            behind, closing = [], entry.end
            while (token := self._next()) and token.line == entry.end:
                if "\n" in token.value:
                    closing = token.line + token.value.count("\n")
                    lead.append(" " * indent + self._take())
                    break
                behind.append(self._take())
                if not behind[-1].startswith("/*"):
                    break
            if last is not None and first - last > 1:
                lines.append("")
            lines += lead + body
            if behind:
                lines[-1] += "  " + " ".join(behind)
            last = closing
        return lines

    # -- nodes: lines, the first without its indent --------------------------------------------------------

    def _lay(self, node: Entry, indent: int, head: int = 0) -> list[str]:
        """The lines of a node, behind so many characters on its first."""
        match node:
            case syntax_tree.Field():
                key = self._key(node)
                return self._cat([[key], self._lay(node.value, indent, len(key))])
            case syntax_tree.Local():
                name = self._local(node)
                return self._cat([[name], self._lay(body_of(node), indent, len(name))])
            case syntax_tree.Let():
                return self._let(node, indent)
            case syntax_tree.Record():
                return self._container(node, [*node.locals, *node.fields], "{}", indent, head)
            case syntax_tree.Items():
                return self._container(node, node.items, "[]", indent, head)
            case syntax_tree.RecordFor():
                return self._loop(node, node.field_, "{}", indent, head)
            case syntax_tree.ItemsFor():
                return self._loop(node, node.item, "[]", indent, head)
            case syntax_tree.Binary():
                level = syntax_tree.BINDS[node.sign]
                if id(node) in self.forced or indent + head + len(flat(node)) > WIDTH:
                    self.forced.update(id(part) for part in (node.left, node.right))
                right = self._inside(node.right, level + 1, indent)
                left_level = level + 1 if level == syntax_tree.COMPARES else level
                return self._cat([self._inside(node.left, left_level, indent), [f" {node.sign} "], right])
            case syntax_tree.Unary():
                return self._cat([[node.sign], self._inside(node.of, UNARY, indent)])
            case syntax_tree.If():
                return self._cat(
                    [
                        ["if "],
                        self._part(node.test, indent),
                        [" then "],
                        self._part(node.yes, indent),
                        [" else "],
                        self._part(node.no, indent),
                    ]
                )
            case syntax_tree.Member():
                return self._cat([self._inside(node.of, POSTFIX, indent), [f".{node.name}"]])
            case syntax_tree.Index():
                of = self._inside(node.of, POSTFIX, indent)
                return self._cat([of, ["["], self._part(node.at, indent), ["]"]])
            case syntax_tree.CallOf():
                pieces = [self._inside(node.of, POSTFIX, indent), ["("]]
                for n, argument in enumerate(node.arguments):
                    pieces += [[", "]] if n else []
                    pieces.append(self._part(argument, indent))
                return self._cat([*pieces, [")"]])
        return [flat(node)]

    def _cat(self, pieces: list[list[str]]) -> list[str]:
        lines = [""]
        for piece in pieces:
            lines[-1] += piece[0]
            lines += piece[1:]
        return lines

    def _part(self, node: syntax_tree.Node, indent: int) -> list[str]:
        """What stands in the middle of a line: names given there stay on it."""
        return [flat(node)] if isinstance(node, syntax_tree.Let) else self._lay(node, indent)

    def _inside(self, node: syntax_tree.Node, level: int, indent: int) -> list[str]:
        lines = self._part(node, indent)
        return self._cat([["("], lines, [")"]]) if level_of(node) < level else lines

    def _key(self, node: syntax_tree.Field) -> str:
        how = "override " if node.merge_mode == "override" else ""
        return f"{how}{key_text(node)}{'+: ' if node.merge_mode == '+:' else ': '}"

    def _local(self, node: syntax_tree.Local) -> str:
        head = f"local {node.name}"
        if isinstance(node.value, syntax_tree.Function):
            head += f"({', '.join(node.value.parameters)})"
        return f"{head} = "

    def _let(self, node: syntax_tree.Let, indent: int) -> list[str]:
        lines = self._entries([*node.locals, node.body], indent, ";")
        lines[0] = lines[0][indent:] if lines[0].startswith(" " * indent) else lines[0]
        return lines

    def _spreads(self, node: syntax_tree.Node, parts: list[Entry], indent: int, head: int) -> bool:
        if not parts and not self._holds(node):
            return False
        if id(node) in self.forced or getattr(node, "spread", False):
            return True
        if self._holds(node) or any(map(spread_within, parts)):
            return True
        return indent + head + len(flat(node)) > WIDTH

    def _container(self, node, parts: list[Entry], marks: str, indent: int, head: int) -> list[str]:
        if not self._spreads(node, parts, indent, head):
            return [flat(node)]
        inner = indent + STEP
        lines = [marks[0], *self._entries(parts, inner, ",")]
        lines += self._rest(node.end, inner)
        return [*lines, " " * indent + marks[1]]

    def _loop(self, node, made: Entry, marks: str, indent: int, head: int) -> list[str]:
        if not self._spreads(node, [made, node.loop.among], indent, head):
            return [flat(node)]
        inner = indent + STEP
        lines = [marks[0], *self._entries([made], inner, "")]
        loop = node.loop
        among = self._cat([[f"for {loop.name} in "], self._lay(loop.among, inner)])
        among[0] = " " * inner + among[0]
        lines += self._rest(loop.among.place.line, inner) + among
        if loop.test is not None:
            test = self._cat([["if "], self._lay(loop.test, inner)])
            test[0] = " " * inner + test[0]
            lines += test
        lines += self._rest(node.end, inner)
        return [*lines, " " * indent + marks[1]]


def body_of(local: syntax_tree.Local) -> syntax_tree.Node:
    return local.value.body if isinstance(local.value, syntax_tree.Function) else local.value


def key_text(node: syntax_tree.Field) -> str:
    if isinstance(node.key, str):
        return format_key(node.key)
    return node.key.text if isinstance(node.key, syntax_tree.Text) else f"[{flat(node.key)}]"


def level_of(node: syntax_tree.Node) -> int:
    match node:
        case syntax_tree.Let() | syntax_tree.If():
            return 0
        case syntax_tree.Binary():
            return syntax_tree.BINDS[node.sign]
        case syntax_tree.Unary():
            return UNARY
        case syntax_tree.Member() | syntax_tree.Index() | syntax_tree.CallOf():
            return POSTFIX
    return PRIMARY


def below(node: Entry) -> list[Entry]:
    """What a node is made of."""
    match node:
        case syntax_tree.Field():
            return [node.value] if isinstance(node.key, str) else [node.key, node.value]
        case syntax_tree.Local():
            return [body_of(node)]
        case syntax_tree.Let():
            return [*node.locals, node.body]
        case syntax_tree.Record():
            return [*node.locals, *node.fields]
        case syntax_tree.Items():
            return list(node.items)
        case syntax_tree.RecordFor() | syntax_tree.ItemsFor():
            made = node.field_ if isinstance(node, syntax_tree.RecordFor) else node.item
            return [made, node.loop.among, *([node.loop.test] if node.loop.test else [])]
        case syntax_tree.Binary():
            return [node.left, node.right]
        case syntax_tree.Unary() | syntax_tree.Member():
            return [node.of]
        case syntax_tree.If():
            return [node.test, node.yes, node.no]
        case syntax_tree.Index():
            return [node.of, node.at]
        case syntax_tree.CallOf():
            return [node.of, *node.arguments]
    return []


def spread_within(node: Entry) -> bool:
    """Whether a part of it goes over several lines."""
    return (
        isinstance(node, syntax_tree.Let)
        or getattr(node, "spread", False)
        or any(map(spread_within, below(node)))
    )


def flat(node: Entry, level: int = 0) -> str:
    """A node on one line, in parentheses where it binds less than the level asks for."""
    text = _flat(node)
    return f"({text})" if level_of(node) < level else text


def _flat(node: Entry) -> str:
    match node:
        case syntax_tree.Literal() | syntax_tree.Text():
            return node.text
        case syntax_tree.Name():
            return node.name
        case syntax_tree.Include():
            return f"include {quoted(node.path)}"
        case syntax_tree.Field():
            how = "override " if node.merge_mode == "override" else ""
            return f"{how}{key_text(node)}{'+: ' if node.merge_mode == '+:' else ': '}{flat(node.value)}"
        case syntax_tree.Local():
            parameters = node.value.parameters if isinstance(node.value, syntax_tree.Function) else None
            head = f"local {node.name}" + (f"({', '.join(parameters)})" if parameters is not None else "")
            return f"{head} = {flat(body_of(node))}"
        case syntax_tree.Let():
            body = f"({flat(node.body)})" if isinstance(node.body, syntax_tree.Let) else flat(node.body)
            return " ".join([*(flat(local) + ";" for local in node.locals), body])
        case syntax_tree.Record():
            inner = ", ".join(flat(part) for part in below(node))
            return f"{{ {inner} }}" if inner else "{}"
        case syntax_tree.Items():
            return "[" + ", ".join(flat(item) for item in node.items) + "]"
        case syntax_tree.ItemsFor():
            return f"[{flat(node.item)} {loop_text(node.loop)}]"
        case syntax_tree.RecordFor():
            return f"{{ {flat(node.field_)} {loop_text(node.loop)} }}"
        case syntax_tree.Binary():
            level = syntax_tree.BINDS[node.sign]
            left = flat(node.left, level + 1 if level == syntax_tree.COMPARES else level)
            return f"{left} {node.sign} {flat(node.right, level + 1)}"
        case syntax_tree.Unary():
            return f"{node.sign}{flat(node.of, UNARY)}"
        case syntax_tree.If():
            return f"if {flat(node.test)} then {flat(node.yes)} else {flat(node.no)}"
        case syntax_tree.Member():
            return f"{flat(node.of, POSTFIX)}.{node.name}"
        case syntax_tree.Index():
            return f"{flat(node.of, POSTFIX)}[{flat(node.at)}]"
        case syntax_tree.CallOf():
            return f"{flat(node.of, POSTFIX)}({', '.join(flat(argument) for argument in node.arguments)})"
    raise TypeError(type(node).__name__)


def loop_text(loop: syntax_tree.For) -> str:
    test = f" if {flat(loop.test)}" if loop.test is not None else ""
    return f"for {loop.name} in {flat(loop.among)}{test}"


def quoted(path: str) -> str:
    return '"' + path.replace("\\", "\\\\").replace('"', '\\"').replace("$", "\\$") + '"'
