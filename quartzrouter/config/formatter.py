"""Formats plans.  Formatting keeps the meaning and every comment, and leaves formatted text unchanged.

A record or list is split into several lines if it was written on several lines, doesn't fit on one line, or
contains a comment, or a record or list that is itself split.  Each comment stays before or after the entry
next to which it was written.
"""

from quartzrouter.config import syntax_tree
from quartzrouter.config.parser import parse
from quartzrouter.config.problems import Place, Source
from quartzrouter.config.values import format_key

MAX_COLUMNS = 100
INDENT_COLUMNS = 2
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
UNARY_PRECEDENCE, POSTFIX_PRECEDENCE, PRIMARY_PRECEDENCE = 6, 7, 8
Entry = syntax_tree.Field | syntax_tree.Local | syntax_tree.Node


def layout(source: Source) -> str:
    """Returns the formatted text of a file; raises PlanError if it can't be parsed."""
    parsed = parse(source)
    return Formatter(parsed.comments).file(parsed.root)


class Formatter:
    """Formats one file.

    :param comments: the comments of the file.
    """

    def __init__(self, comments: list) -> None:
        self.comments = sorted(comments, key=lambda token: token.start_pos)
        self.next_comment = 0  # the index of the first comment that isn't written yet
        # ids of the operands of expressions that are too long for one line
        self.forced_multiline: set[int] = set()

    def file(self, root: syntax_tree.Node) -> str:
        lines = self._entry_lines([root], 0, "")
        lines += self._comments_before_line(10**9, 0)
        return "\n".join(line.rstrip() for line in lines) + "\n"

    # -- comments --------------------------------------------------------------------------------------

    def _peek_comment(self):
        return self.comments[self.next_comment] if self.next_comment < len(self.comments) else None

    def _take_comment(self) -> str:
        self.next_comment += 1
        return self.comments[self.next_comment - 1].value.rstrip()

    def _comments_before_line(self, line: int, indent: int) -> list[str]:
        """Takes the comments that begin before a line, each on lines of its own."""
        lines: list[str] = []
        while (token := self._peek_comment()) and token.line < line:
            lines.append(" " * indent + self._take_comment())
        return lines

    def _comment_precedes(self, place: Place) -> bool:
        """Returns True if the next comment begins before a place."""
        token = self._peek_comment()
        return token is not None and (token.line, token.column) < (place.line, place.column)

    def _contains_comment(self, node: syntax_tree.Node) -> bool:
        """Returns True if a comment begins inside a node, on a line before its last."""
        start = (node.place.line, node.place.column)
        return any(
            start < (token.line, token.column) and token.line < node.end_line
            for token in self.comments[self.next_comment :]
        )

    # -- entries, each on lines of its own ----------------------------------------------------------------

    def _entry_lines(self, entries: list[Entry], indent: int, separator: str) -> list[str]:
        """Returns the lines of entries with their comments; blank lines between two entries become one.

        :param separator: the text after each entry; ";" stands only after locals.
        """
        lines: list[str] = []
        previous_end = None  # the source line on which the previous entry ended
        for entry in entries:
            comments_above: list[str] = []
            is_nested_let = separator == ";" and isinstance(entry, syntax_tree.Let)  # goes into parentheses
            first_line = entry.place.line
            while self._comment_precedes(entry.place):
                first_line = min(first_line, self._peek_comment().line)
                comments_above.append(" " * indent + self._take_comment())
            body = (
                self._concatenate([["("], self._inner_lines(entry, indent), [")"]])
                if is_nested_let
                else self._node_lines(entry, indent)
            )
            body[0] = " " * indent + body[0]
            body[-1] += (
                ";"
                if isinstance(entry, syntax_tree.Local) and separator == ";"
                else separator
                if separator != ";"
                else ""
            )
            while (token := self._peek_comment()) and token.line < entry.end_line:
                comments_above.append(" " * indent + self._take_comment())  # from within a node on one line
            comments_after, last_line = [], entry.end_line
            while (token := self._peek_comment()) and token.line == entry.end_line:
                if "\n" in token.value:
                    last_line = token.line + token.value.count("\n")
                    comments_above.append(" " * indent + self._take_comment())
                    break
                comments_after.append(self._take_comment())
                if not comments_after[-1].startswith("/*"):
                    break
            if previous_end is not None and first_line - previous_end > 1:
                lines.append("")
            lines += comments_above + body
            if comments_after:
                lines[-1] += "  " + " ".join(comments_after)
            previous_end = last_line
        return lines

    # -- nodes: lines, the first without its indent --------------------------------------------------------

    def _node_lines(self, node: Entry, indent: int, columns_before: int = 0) -> list[str]:
        """Returns the lines of a node.

        :param columns_before: the columns that the first line has before the node, beside the indent.
        """
        match node:
            case syntax_tree.Field():
                key = self._key_head(node)
                return self._concatenate([[key], self._node_lines(node.value, indent, len(key))])
            case syntax_tree.Local():
                name = self._local_head(node)
                return self._concatenate([[name], self._node_lines(local_body(node), indent, len(name))])
            case syntax_tree.Let():
                return self._let_lines(node, indent)
            case syntax_tree.Record():
                return self._container_lines(node, [*node.locals, *node.fields], "{}", indent, columns_before)
            case syntax_tree.List():
                return self._container_lines(node, node.items, "[]", indent, columns_before)
            case syntax_tree.RecordComprehension():
                return self._comprehension_lines(node, node.entry, "{}", indent, columns_before)
            case syntax_tree.ListComprehension():
                return self._comprehension_lines(node, node.item, "[]", indent, columns_before)
            case syntax_tree.Binary():
                precedence = syntax_tree.PRECEDENCE[node.operator]
                if (
                    id(node) in self.forced_multiline
                    or indent + columns_before + len(flat(node)) > MAX_COLUMNS
                ):
                    self.forced_multiline.update(id(part) for part in (node.left, node.right))
                right = self._operand_lines(node.right, precedence + 1, indent)
                left_precedence = (
                    precedence + 1 if precedence == syntax_tree.COMPARISON_PRECEDENCE else precedence
                )
                return self._concatenate(
                    [self._operand_lines(node.left, left_precedence, indent), [f" {node.operator} "], right]
                )
            case syntax_tree.Unary():
                return self._concatenate(
                    [[node.operator], self._operand_lines(node.operand, UNARY_PRECEDENCE, indent)]
                )
            case syntax_tree.If():
                return self._concatenate(
                    [
                        ["if "],
                        self._inner_lines(node.condition, indent),
                        [" then "],
                        self._inner_lines(node.then_value, indent),
                        [" else "],
                        self._inner_lines(node.else_value, indent),
                    ]
                )
            case syntax_tree.Member():
                return self._concatenate(
                    [self._operand_lines(node.operand, POSTFIX_PRECEDENCE, indent), [f".{node.name}"]]
                )
            case syntax_tree.Index():
                container = self._operand_lines(node.container, POSTFIX_PRECEDENCE, indent)
                return self._concatenate([container, ["["], self._inner_lines(node.index, indent), ["]"]])
            case syntax_tree.Call():
                pieces = [self._operand_lines(node.function, POSTFIX_PRECEDENCE, indent), ["("]]
                for n, argument in enumerate(node.arguments):
                    pieces += [[", "]] if n else []
                    pieces.append(self._inner_lines(argument, indent))
                return self._concatenate([*pieces, [")"]])
        return [flat(node)]

    def _concatenate(self, pieces: list[list[str]]) -> list[str]:
        """Returns pieces joined: the first line of each continues the last line of the one before it."""
        lines = [""]
        for piece in pieces:
            lines[-1] += piece[0]
            lines += piece[1:]
        return lines

    def _inner_lines(self, node: syntax_tree.Node, indent: int) -> list[str]:
        """Returns the lines of a node inside another; locals there stay on one line."""
        return [flat(node)] if isinstance(node, syntax_tree.Let) else self._node_lines(node, indent)

    def _operand_lines(self, node: syntax_tree.Node, precedence: int, indent: int) -> list[str]:
        """Returns the lines of an operand, in parentheses if it binds less strongly than `precedence`."""
        lines = self._inner_lines(node, indent)
        return self._concatenate([["("], lines, [")"]]) if precedence_of(node) < precedence else lines

    def _key_head(self, node: syntax_tree.Field) -> str:
        prefix = "override " if node.merge_mode == "override" else ""
        return f"{prefix}{key_text(node)}{'+: ' if node.merge_mode == '+:' else ': '}"

    def _local_head(self, node: syntax_tree.Local) -> str:
        head = f"local {node.name}"
        if isinstance(node.value, syntax_tree.Function):
            head += f"({', '.join(node.value.parameters)})"
        return f"{head} = "

    def _let_lines(self, node: syntax_tree.Let, indent: int) -> list[str]:
        lines = self._entry_lines([*node.locals, node.body], indent, ";")
        lines[0] = lines[0][indent:] if lines[0].startswith(" " * indent) else lines[0]
        return lines

    def _is_multiline(
        self, node: syntax_tree.Node, parts: list[Entry], indent: int, columns_before: int
    ) -> bool:
        """Returns True if a list or record takes several lines."""
        if not parts and not self._contains_comment(node):
            return False
        if id(node) in self.forced_multiline or getattr(node, "multiline", False):
            return True
        if self._contains_comment(node) or any(map(contains_multiline, parts)):
            return True
        return indent + columns_before + len(flat(node)) > MAX_COLUMNS

    def _container_lines(
        self, node, parts: list[Entry], brackets: str, indent: int, columns_before: int
    ) -> list[str]:
        if not self._is_multiline(node, parts, indent, columns_before):
            return [flat(node)]
        inner = indent + INDENT_COLUMNS
        lines = [brackets[0], *self._entry_lines(parts, inner, ",")]
        lines += self._comments_before_line(node.end_line, inner)
        return [*lines, " " * indent + brackets[1]]

    def _comprehension_lines(
        self, node, element: Entry, brackets: str, indent: int, columns_before: int
    ) -> list[str]:
        if not self._is_multiline(node, [element, node.loop.iterable], indent, columns_before):
            return [flat(node)]
        inner = indent + INDENT_COLUMNS
        lines = [brackets[0], *self._entry_lines([element], inner, "")]
        loop = node.loop
        iterable = self._concatenate([[f"for {loop.name} in "], self._node_lines(loop.iterable, inner)])
        iterable[0] = " " * inner + iterable[0]
        lines += self._comments_before_line(loop.iterable.place.line, inner) + iterable
        if loop.condition is not None:
            condition = self._concatenate([["if "], self._node_lines(loop.condition, inner)])
            condition[0] = " " * inner + condition[0]
            lines += condition
        lines += self._comments_before_line(node.end_line, inner)
        return [*lines, " " * indent + brackets[1]]


def local_body(local: syntax_tree.Local) -> syntax_tree.Node:
    """Returns the value of a local, or the body if it takes parameters."""
    return local.value.body if isinstance(local.value, syntax_tree.Function) else local.value


def key_text(node: syntax_tree.Field) -> str:
    """Returns the key of a field as a plan writes it."""
    if isinstance(node.key, str):
        return format_key(node.key)
    return node.key.text if isinstance(node.key, syntax_tree.Text) else f"[{flat(node.key)}]"


def precedence_of(node: syntax_tree.Node) -> int:
    """Returns how strongly a node binds; a greater number binds more strongly."""
    match node:
        case syntax_tree.Let() | syntax_tree.If():
            return 0
        case syntax_tree.Binary():
            return syntax_tree.PRECEDENCE[node.operator]
        case syntax_tree.Unary():
            return UNARY_PRECEDENCE
        case syntax_tree.Member() | syntax_tree.Index() | syntax_tree.Call():
            return POSTFIX_PRECEDENCE
    return PRIMARY_PRECEDENCE


def children_of(node: Entry) -> list[Entry]:
    """Returns the nodes of which a node directly consists."""
    match node:
        case syntax_tree.Field():
            return [node.value] if isinstance(node.key, str) else [node.key, node.value]
        case syntax_tree.Local():
            return [local_body(node)]
        case syntax_tree.Let():
            return [*node.locals, node.body]
        case syntax_tree.Record():
            return [*node.locals, *node.fields]
        case syntax_tree.List():
            return list(node.items)
        case syntax_tree.RecordComprehension() | syntax_tree.ListComprehension():
            element = node.entry if isinstance(node, syntax_tree.RecordComprehension) else node.item
            return [element, node.loop.iterable, *([node.loop.condition] if node.loop.condition else [])]
        case syntax_tree.Binary():
            return [node.left, node.right]
        case syntax_tree.Unary() | syntax_tree.Member():
            return [node.operand]
        case syntax_tree.If():
            return [node.condition, node.then_value, node.else_value]
        case syntax_tree.Index():
            return [node.container, node.index]
        case syntax_tree.Call():
            return [node.function, *node.arguments]
    return []


def contains_multiline(node: Entry) -> bool:
    """Returns True if a node, or one inside it, takes several lines."""
    return (
        isinstance(node, syntax_tree.Let)
        or getattr(node, "multiline", False)
        or any(map(contains_multiline, children_of(node)))
    )


def flat(node: Entry, precedence: int = 0) -> str:
    """Returns a node on one line, in parentheses if it binds less strongly than `precedence`."""
    text = _flat(node)
    return f"({text})" if precedence_of(node) < precedence else text


def _flat(node: Entry) -> str:
    match node:
        case syntax_tree.Literal() | syntax_tree.Text():
            return node.text
        case syntax_tree.Name():
            return node.name
        case syntax_tree.Include():
            return f"include {quoted(node.path)}"
        case syntax_tree.Field():
            prefix = "override " if node.merge_mode == "override" else ""
            return f"{prefix}{key_text(node)}{'+: ' if node.merge_mode == '+:' else ': '}{flat(node.value)}"
        case syntax_tree.Local():
            parameters = node.value.parameters if isinstance(node.value, syntax_tree.Function) else None
            head = f"local {node.name}" + (f"({', '.join(parameters)})" if parameters is not None else "")
            return f"{head} = {flat(local_body(node))}"
        case syntax_tree.Let():
            body = f"({flat(node.body)})" if isinstance(node.body, syntax_tree.Let) else flat(node.body)
            return " ".join([*(flat(local) + ";" for local in node.locals), body])
        case syntax_tree.Record():
            entries = ", ".join(flat(part) for part in children_of(node))
            return f"{{ {entries} }}" if entries else "{}"
        case syntax_tree.List():
            return "[" + ", ".join(flat(item) for item in node.items) + "]"
        case syntax_tree.ListComprehension():
            return f"[{flat(node.item)} {loop_text(node.loop)}]"
        case syntax_tree.RecordComprehension():
            return f"{{ {flat(node.entry)} {loop_text(node.loop)} }}"
        case syntax_tree.Binary():
            precedence = syntax_tree.PRECEDENCE[node.operator]
            left = flat(
                node.left, precedence + 1 if precedence == syntax_tree.COMPARISON_PRECEDENCE else precedence
            )
            return f"{left} {node.operator} {flat(node.right, precedence + 1)}"
        case syntax_tree.Unary():
            return f"{node.operator}{flat(node.operand, UNARY_PRECEDENCE)}"
        case syntax_tree.If():
            return f"if {flat(node.condition)} then {flat(node.then_value)} else {flat(node.else_value)}"
        case syntax_tree.Member():
            return f"{flat(node.operand, POSTFIX_PRECEDENCE)}.{node.name}"
        case syntax_tree.Index():
            return f"{flat(node.container, POSTFIX_PRECEDENCE)}[{flat(node.index)}]"
        case syntax_tree.Call():
            return (
                f"{flat(node.function, POSTFIX_PRECEDENCE)}"
                f"({', '.join(flat(argument) for argument in node.arguments)})"
            )
    raise TypeError(type(node).__name__)


def loop_text(loop: syntax_tree.ForClause) -> str:
    condition = f" if {flat(loop.condition)}" if loop.condition is not None else ""
    return f"for {loop.name} in {flat(loop.iterable)}{condition}"


def quoted(path: str) -> str:
    """Returns a path as a text of a plan, in quotes and with its escapes."""
    return '"' + path.replace("\\", "\\\\").replace('"', '\\"').replace("$", "\\$") + '"'
