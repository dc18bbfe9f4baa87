"""Text to nodes, by the grammar beside this file: any text ends in nodes or in one PlanError."""

from dataclasses import dataclass
from functools import cache
from importlib import resources

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedToken

from quartzrouter.config import quantity, syntax_tree
from quartzrouter.config.problems import Fault, Place, PlanError, Source

DEPTH_MOST = 120  # nested nodes: past what anyone reads, well inside the interpreter's stack
TEXT_MOST = 1 << 20  # bytes of one file
DIGITS_MOST = 18  # of a number
ESCAPES = {"n": "\n", "t": "\t", '"': '"', "\\": "\\", "$": "$", "/": "/"}
SAID = {
    "NAME": "a name",
    "STRING": "a text",
    "NUMBER": "a number",
    "QUANTITY": "a quantity",
    "LBRACE": "'{'",
    "RBRACE": "'}'",
    "LSQB": "'['",
    "RSQB": "']'",
    "LPAR": "'('",
    "RPAR": "')'",
    "COMMA": "','",
    "COLON": "':'",
    "SEMICOLON": "';'",
    "EQUAL": "'='",
    "MERGES": "'+:'",
    "DOT": "'.'",
    "$END": "the end",
}
VALUES = {"STRING", "NUMBER", "LBRACE"}  # where these may stand, a value may


@dataclass
class Parsed:
    source: Source
    root: syntax_tree.Node
    comments: list[Token]


class Builder(Transformer):
    """Makes nodes as the parser goes; children are nodes and all tokens, so that each place is known."""

    def __init__(self) -> None:
        super().__init__(visit_tokens=False)
        self.source = Source("", "")
        self.shift = (0, 0)  # lines and columns before a text that stands inside another
        self.comments: list[Token] = []

    # -- places ------------------------------------------------------------------------------------

    def place(self, token: Token) -> Place:
        lines, columns = self.shift
        return Place(self.source, token.line + lines, token.column + (columns if token.line == 1 else 0))

    def first(self, children: list) -> Place:
        first = children[0]
        return first.place if isinstance(first, syntax_tree.Node) else self.place(first)

    def node(self, kind: type, children: list, *values: object, place: Place | None = None, **named: object):
        below = [child for child in children if isinstance(child, syntax_tree.Node)]
        depth = 1 + max((child.depth for child in below), default=0)
        place = place or self.first(children)
        if depth > DEPTH_MOST:
            raise PlanError(
                Fault(place, f"nested more than {DEPTH_MOST} deep", "give parts of it names", code="depth")
            )
        last = children[-1]
        end = last.end if isinstance(last, syntax_tree.Node) else last.line + self.shift[0]
        return kind(place, *values, **named, depth=depth, end=end)

    def wrong(self, token: Token, reason: str, remedy: str = "", code: str = "syntax") -> PlanError:
        return PlanError(Fault(self.place(token), reason, remedy, code=code))

    # -- values ------------------------------------------------------------------------------------

    def quantity(self, children):
        (token,) = children
        self._short(token)
        try:
            return self.node(syntax_tree.Literal, children, quantity.parse_quantity(token.value), token.value)
        except quantity.QuantityError as error:
            raise self.wrong(token, str(error), code="unit") from None

    def number(self, children):
        (token,) = children
        self._short(token)
        value = quantity.figure(quantity.Fraction(token.value))
        return self.node(syntax_tree.Literal, children, value, token.value)

    def _short(self, token: Token) -> None:
        if sum(map(str.isdigit, token.value)) > DIGITS_MOST:
            raise self.wrong(token, f"a figure of more than {DIGITS_MOST} digits", code="range")

    def true(self, children):
        return self.node(syntax_tree.Literal, children, True, "true")

    def false(self, children):
        return self.node(syntax_tree.Literal, children, False, "false")

    def null(self, children):
        return self.node(syntax_tree.Literal, children, None, "null")

    def name(self, children):
        return self.node(syntax_tree.Name, children, children[0].value)

    def string(self, children):
        token = children[0]
        parts = self._parts(token)
        node = self.node(syntax_tree.Text, children, parts, token.value)
        node.depth += max((part.depth for part in parts if isinstance(part, syntax_tree.Node)), default=0)
        return node

    def _parts(self, token: Token) -> list[str | syntax_tree.Node]:
        body, parts, text, at = token.value[1:-1], [], "", 0
        while at < len(body):
            if body[at] == "\\":
                if body[at + 1] not in ESCAPES:
                    raise self.wrong(
                        token, f"'\\{body[at + 1]}' is no escape", f"those are {' '.join(ESCAPES)}"
                    )
                text, at = text + ESCAPES[body[at + 1]], at + 2
            elif body.startswith("${", at):
                end = body.index("}", at) if "}" in body[at:] else -1
                if end < 0:
                    raise self.wrong(token, "'${' without '}'", "write \\$ for a dollar sign")
                parts += [text] if text else []
                parts.append(self._inside(token, body[at + 2 : end], at + 3))
                text, at = "", end + 1
            else:
                text, at = text + body[at], at + 1
        return parts + ([text] if text else [])

    def _inside(self, token: Token, text: str, column: int) -> syntax_tree.Node:
        """What stands in `${...}`, parsed where it stands."""
        place = self.place(token)
        before = self.shift
        self.shift = (place.line - 1, place.column - 1 + column)
        try:
            return parser().parse(text)
        except (UnexpectedCharacters, UnexpectedToken, UnexpectedEOF):
            raise self.wrong(token, f"'${{{text}}}' holds no expression") from None
        finally:
            self.shift = before

    # -- expressions ---------------------------------------------------------------------------------

    def start(self, children):
        return children[0]

    def chain(self, children):
        """Operands with signs between them, by what binds before what; from the left among equals."""
        operands, signs = [children[0]], []
        for sign, operand in zip(children[1::2], children[2::2], strict=True):
            while signs and syntax_tree.BINDS[signs[-1].value] >= syntax_tree.BINDS[sign.value]:
                if (
                    syntax_tree.BINDS[sign.value]
                    == syntax_tree.COMPARES
                    == syntax_tree.BINDS[signs[-1].value]
                ):
                    raise self.wrong(sign, "comparisons one after the other", "join them with &&")
                self._join(operands, signs)
            operands.append(operand)
            signs.append(sign)
        while signs:
            self._join(operands, signs)
        return operands[0]

    def _join(self, operands: list[syntax_tree.Node], signs: list[Token]) -> None:
        right, left = operands.pop(), operands.pop()
        operands.append(self.node(syntax_tree.Binary, [left, right], signs.pop().value, left, right))

    def unary(self, children):
        sign, of = children
        return self.node(syntax_tree.Unary, children, sign.value, of)

    def conditional(self, children):
        _, test, _, yes, _, no = children
        return self.node(syntax_tree.If, children, test, yes, no)

    def let(self, children):
        return self.node(syntax_tree.Let, children, children[:-1], children[-1])

    def local_value(self, children):
        _, name, _, value, _ = children
        return self.node(syntax_tree.Local, children, name.value, value)

    def local_function(self, children):
        node = self._function(children[:-1])
        node.end = children[-1].line + self.shift[0]
        return node

    def entry_local(self, children):
        _, name, _, value = children
        return self.node(syntax_tree.Local, children, name.value, value)

    def entry_function(self, children):
        return self._function(children)

    def _function(self, children):
        parameters = [child.value for child in children[2:-1] if getattr(child, "type", "") == "NAME"]
        if len(set(parameters)) < len(parameters):
            raise self.wrong(children[1], "a parameter is named twice", code="duplicate")
        function = self.node(syntax_tree.Function, children, parameters, children[-1])
        return self.node(syntax_tree.Local, children, children[1].value, function)

    def member(self, children):
        of, _, name = children
        return self.node(syntax_tree.Member, children, of, name.value, self.place(name))

    def index(self, children):
        return self.node(syntax_tree.Index, children, children[0], children[2])

    def call(self, children):
        arguments = [child for child in children[1:] if isinstance(child, syntax_tree.Node)]
        return self.node(syntax_tree.CallOf, children, children[0], arguments)

    def merged(self, children):
        return self.node(syntax_tree.Binary, children, "+", *children)

    def include(self, children):
        path = self.string(children[1:])
        if any(isinstance(part, syntax_tree.Node) for part in path.parts):
            raise self.wrong(children[1], "the path of an include can't be put together", "write it out")
        return self.node(syntax_tree.Include, children, "".join(path.parts))

    def group(self, children):
        inner = children[1]
        inner.end = children[2].line + self.shift[0]
        return inner

    def items(self, children):
        items = [child for child in children if isinstance(child, syntax_tree.Node)]
        return self.node(syntax_tree.Items, children, items, self._spread(children))

    def items_for(self, children):
        return self.node(syntax_tree.ItemsFor, children, children[1], children[2], self._spread(children))

    def loop(self, children):
        test = children[5] if len(children) > 5 else None
        return self.node(syntax_tree.For, children, children[1].value, children[3], test)

    def record(self, children):
        entries = [child for child in children if isinstance(child, syntax_tree.Node)]
        locals_ = [entry for entry in entries if isinstance(entry, syntax_tree.Local)]
        fields = [entry for entry in entries if isinstance(entry, syntax_tree.Field)]
        return self.node(syntax_tree.Record, children, locals_, fields, self._spread(children))

    def record_for(self, children):
        return self.node(syntax_tree.RecordFor, children, children[1], children[2], self._spread(children))

    def _spread(self, children) -> bool:
        """Whether what follows the bracket begins on a line of its own."""
        first = children[1]
        line = first.place.line if isinstance(first, syntax_tree.Node) else first.line + self.shift[0]
        return line > children[0].line + self.shift[0]

    def _field(self, children, how):
        key, value = children[-3], children[-1]
        place = self.first(children) if not isinstance(key, tuple) else key[0]
        if isinstance(key, tuple):
            key = key[1]
        return self.node(syntax_tree.Field, children[-1:], key, how, value, place=place)

    def field_new(self, children):
        return self._field(children, ":")

    def field_merged(self, children):
        return self._field(children, "+:")

    def field_override(self, children):
        return self._field(children, "override")

    def key_name(self, children):
        return self.place(children[0]), children[0].value

    def key_string(self, children):
        text = self.string(children)
        if any(isinstance(part, syntax_tree.Node) for part in text.parts):
            return self.place(children[0]), text
        return self.place(children[0]), "".join(text.parts)

    def key_computed(self, children):
        return self.place(children[0]), children[1]


BUILDER = Builder()


@cache
def parser() -> Lark:
    grammar = resources.files("quartzrouter.config").joinpath("grammar.lark").read_text()
    return Lark(
        grammar,
        parser="lalr",
        lexer="contextual",
        transformer=BUILDER,
        keep_all_tokens=True,
        maybe_placeholders=False,
        lexer_callbacks={"COMMENT": _keep},
    )


def _keep(token: Token) -> Token:
    BUILDER.comments.append(token)
    return token


def parse(source: Source) -> Parsed:
    """The nodes of a file; raises PlanError with its first fault."""
    parser()
    BUILDER.source, BUILDER.shift, BUILDER.comments = source, (0, 0), []
    start = Place(source, 1, 1)
    if len(source.text.encode(errors="replace")) > TEXT_MOST:
        raise PlanError(Fault(start, f"a file of more than {TEXT_MOST >> 20} MiB", "split it", code="size"))
    try:
        root = parser().parse(source.text)
    except UnexpectedToken as error:
        raise PlanError(_unexpected(source, error)) from None
    except UnexpectedCharacters as error:
        raise PlanError(_unreadable(source, error)) from None
    return Parsed(source, root, BUILDER.comments)


def _unreadable(source: Source, error: UnexpectedCharacters) -> Fault:
    place = Place(source, error.line, error.column)
    char = source.text[error.pos_in_stream] if error.pos_in_stream < len(source.text) else ""
    if char == '"':
        return Fault(place, "a text without an end", 'close it with " on the same line', code="syntax")
    if char == "'":
        return Fault(place, "a text in single quotes", 'write "..."', code="syntax")
    if source.text.startswith("/*", error.pos_in_stream):
        return Fault(place, "a comment without an end", "close it with */", code="syntax")
    return Fault(place, f"{char!r} has no meaning here", code="syntax")


def _unexpected(source: Source, error: UnexpectedToken) -> Fault:
    token, expected = error.token, set(error.accepts or error.expected)
    before = error.token_history[-1] if getattr(error, "token_history", None) else None
    if token.type == "$END":
        line = max(1, len(source.lines))
        place = Place(source, line, len(source.lines[line - 1]) + 1)
        if not source.text.strip():
            return Fault(place, "an empty file", "a plan is a record: { ... }", code="syntax")
        wanted = next((SAID[kind] for kind in ("RBRACE", "RSQB", "RPAR") if kind in expected), "")
        return Fault(
            place, f"the file ends too early{f': {wanted} is missing' if wanted else ''}", code="syntax"
        )
    place = Place(source, token.line, token.column)
    starts = token.type in ("NAME", "STRING", "NUMBER", "QUANTITY", "LSQB", "LBRACE", "OVERRIDE", "LOCAL")
    if "COMMA" in expected and starts and before is not None:
        place = Place(source, before.end_line, before.end_column)
        return Fault(place, "a comma is missing", f"put ',' before {token.value!r:.40}", code="syntax")
    if token.type == "EQUAL" and "COLON" in expected:
        return Fault(place, "'=' where ':' belongs", "fields are written `name: value`", code="syntax")
    if expected >= VALUES:
        return Fault(place, f"{token.value!r:.40} where a value belongs", code="syntax")
    wanted = " or ".join(sorted(SAID[kind] for kind in expected if kind in SAID)[:3])
    reason = f"{token.value!r:.40} doesn't belong here"
    return Fault(place, reason, f"{wanted} would" if wanted else "", code="syntax")
