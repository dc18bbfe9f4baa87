"""Parses the text of a plan with ``grammar.lark``: the result is a syntax tree, or one PlanError."""

from contextvars import ContextVar
from dataclasses import dataclass, field
from functools import cache
from importlib import resources

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedToken

from quartzrouter.config import quantity, syntax_tree
from quartzrouter.config.problems import Fault, Place, PlanError, Source

MAX_DEPTH = 120  # levels of nodes: deeper than is readable, and well within the interpreter's stack
MAX_FILE_BYTES = 1 << 20
MAX_DIGITS = 18  # of a number
ESCAPES = {"n": "\n", "t": "\t", '"': '"', "\\": "\\", "$": "$", "/": "/"}
TOKEN_NAMES = {
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
VALUE_TOKENS = {"STRING", "NUMBER", "LBRACE"}  # if the parser accepts these, it accepts any value


@dataclass
class Parsed:
    """The syntax tree of a file, and its comments."""

    source: Source
    root: syntax_tree.Node
    comments: list[Token]


@dataclass
class FileBeingParsed:
    """What is known while a file is parsed.

    :ivar offset: lines and columns before the text that is parsed; not 0 for an expression in `${...}`.
    :ivar comments: those found so far.
    """

    source: Source
    offset: tuple[int, int] = (0, 0)
    comments: list[Token] = field(default_factory=list)


# Guards against places and comments of another file: all threads use one parser, and each has a context of
# its own, so that two of them may parse at once.
_file_being_parsed: ContextVar[FileBeingParsed] = ContextVar("file_being_parsed")


class TreeBuilder(Transformer):
    """Builds the nodes while the parser runs; has no state of its own.

    The parser calls the method named after each rule of the grammar with the rule's nodes and all its tokens,
    so that the place of every node is known.
    """

    def __init__(self) -> None:
        super().__init__(visit_tokens=False)

    # -- places ------------------------------------------------------------------------------------

    def place_of(self, token: Token) -> Place:
        """Returns the place at which a token begins."""
        file = _file_being_parsed.get()
        lines, columns = file.offset
        return Place(file.source, token.line + lines, token.column + (columns if token.line == 1 else 0))

    def line_of(self, token: Token) -> int:
        """Returns the line of the file in which a token begins."""
        return token.line + _file_being_parsed.get().offset[0]

    def first_place(self, children: list) -> Place:
        """Returns the place at which a rule begins."""
        first = children[0]
        return first.place if isinstance(first, syntax_tree.Node) else self.place_of(first)

    def make_node(
        self, node_type: type, children: list, *values: object, place: Place | None = None, **fields: object
    ):
        """Returns a node with its place, depth and end; raises PlanError if it is nested too deeply.

        :param children: the nodes and tokens of the rule.
        :param values: the node's own fields.
        :param place: where it begins, if not at the first of the children.
        """
        child_nodes = [child for child in children if isinstance(child, syntax_tree.Node)]
        depth = 1 + max((child.depth for child in child_nodes), default=0)
        place = place or self.first_place(children)
        if depth > MAX_DEPTH:
            raise PlanError(
                Fault(
                    place,
                    f"nested more than {MAX_DEPTH} levels deep",
                    "move parts of it into locals",
                    code="depth",
                )
            )
        last = children[-1]
        end_line = last.end_line if isinstance(last, syntax_tree.Node) else self.line_of(last)
        return node_type(place, *values, **fields, depth=depth, end_line=end_line)

    def error(self, token: Token, reason: str, remedy: str = "", code: str = "syntax") -> PlanError:
        return PlanError(Fault(self.place_of(token), reason, remedy, code=code))

    # -- values ------------------------------------------------------------------------------------

    def quantity(self, children):
        (token,) = children
        self._check_digits(token)
        try:
            return self.make_node(
                syntax_tree.Literal, children, quantity.parse_quantity(token.value), token.value
            )
        except quantity.QuantityError as error:
            raise self.error(token, str(error), code="unit") from None

    def number(self, children):
        (token,) = children
        self._check_digits(token)
        value = quantity.bounded_number(quantity.Fraction(token.value))
        return self.make_node(syntax_tree.Literal, children, value, token.value)

    def _check_digits(self, token: Token) -> None:
        if sum(map(str.isdigit, token.value)) > MAX_DIGITS:
            raise self.error(token, f"a number of more than {MAX_DIGITS} digits", code="range")

    def true(self, children):
        return self.make_node(syntax_tree.Literal, children, True, "true")

    def false(self, children):
        return self.make_node(syntax_tree.Literal, children, False, "false")

    def null(self, children):
        return self.make_node(syntax_tree.Literal, children, None, "null")

    def name(self, children):
        return self.make_node(syntax_tree.Name, children, children[0].value)

    def string(self, children):
        token = children[0]
        parts = self._text_parts(token)
        node = self.make_node(syntax_tree.Text, children, parts, token.value)
        node.depth += max((part.depth for part in parts if isinstance(part, syntax_tree.Node)), default=0)
        return node

    def _text_parts(self, token: Token) -> list[str | syntax_tree.Node]:
        """Returns the parts of a quoted text: literal text with its escapes resolved, and expressions."""
        body, parts, text, position = token.value[1:-1], [], "", 0
        while position < len(body):
            if body[position] == "\\":
                if body[position + 1] not in ESCAPES:
                    raise self.error(
                        token,
                        f"'\\{body[position + 1]}' isn't an escape sequence",
                        f"after a backslash, use one of {' '.join(ESCAPES)}",
                    )
                text, position = text + ESCAPES[body[position + 1]], position + 2
            elif body.startswith("${", position):
                end = body.index("}", position) if "}" in body[position:] else -1
                if end < 0:
                    raise self.error(token, "'${' without '}'", "write \\$ for a dollar sign")
                parts += [text] if text else []
                parts.append(self._insertion(token, body[position + 2 : end], position + 3))
                text, position = "", end + 1
            else:
                text, position = text + body[position], position + 1
        return parts + ([text] if text else [])

    def _insertion(self, token: Token, text: str, column: int) -> syntax_tree.Node:
        """Returns the expression in `${...}`.

        :param token: the text that contains it.
        :param column: the columns from the start of the token to the expression.
        """
        place = self.place_of(token)
        file = _file_being_parsed.get()
        before = file.offset
        file.offset = (place.line - 1, place.column - 1 + column)
        try:
            return parser().parse(text)
        except (UnexpectedCharacters, UnexpectedToken, UnexpectedEOF):
            raise self.error(token, f"'${{{text}}}' isn't a valid expression") from None
        finally:
            file.offset = before

    # -- expressions ---------------------------------------------------------------------------------

    def start(self, children):
        return children[0]

    def chain(self, children):
        """Returns the tree of a chain of operators: by precedence, and from left to right among equal ones.

        The precedences aren't in the grammar: a rule for each would be entered for every value.
        """
        operands, operators = [children[0]], []
        for operator, operand in zip(children[1::2], children[2::2], strict=True):
            while (
                operators
                and syntax_tree.PRECEDENCE[operators[-1].value] >= syntax_tree.PRECEDENCE[operator.value]
            ):
                if (
                    syntax_tree.PRECEDENCE[operator.value]
                    == syntax_tree.COMPARISON_PRECEDENCE
                    == syntax_tree.PRECEDENCE[operators[-1].value]
                ):
                    raise self.error(operator, "comparisons can't be chained", "join them with &&")
                self._join_last(operands, operators)
            operands.append(operand)
            operators.append(operator)
        while operators:
            self._join_last(operands, operators)
        return operands[0]

    def _join_last(self, operands: list[syntax_tree.Node], operators: list[Token]) -> None:
        """Replaces the last two operands by one node with the last operator."""
        right, left = operands.pop(), operands.pop()
        operands.append(self.make_node(syntax_tree.Binary, [left, right], operators.pop().value, left, right))

    def unary(self, children):
        operator, operand = children
        return self.make_node(syntax_tree.Unary, children, operator.value, operand)

    def conditional(self, children):
        _, condition, _, then_value, _, else_value = children
        return self.make_node(syntax_tree.If, children, condition, then_value, else_value)

    def let(self, children):
        return self.make_node(syntax_tree.Let, children, children[:-1], children[-1])

    def local_value(self, children):
        _, name, _, value, _ = children
        return self.make_node(syntax_tree.Local, children, name.value, value)

    def local_function(self, children):
        node = self._function(children[:-1])
        node.end_line = self.line_of(children[-1])
        return node

    def entry_local(self, children):
        _, name, _, value = children
        return self.make_node(syntax_tree.Local, children, name.value, value)

    def entry_function(self, children):
        return self._function(children)

    def _function(self, children):
        parameters = [child.value for child in children[2:-1] if getattr(child, "type", "") == "NAME"]
        if len(set(parameters)) < len(parameters):
            raise self.error(children[1], "a parameter is named twice", code="duplicate")
        function = self.make_node(syntax_tree.Function, children, parameters, children[-1])
        return self.make_node(syntax_tree.Local, children, children[1].value, function)

    def member(self, children):
        operand, _, name = children
        return self.make_node(syntax_tree.Member, children, operand, name.value, self.place_of(name))

    def index(self, children):
        return self.make_node(syntax_tree.Index, children, children[0], children[2])

    def call(self, children):
        arguments = [child for child in children[1:] if isinstance(child, syntax_tree.Node)]
        return self.make_node(syntax_tree.Call, children, children[0], arguments)

    def merged(self, children):
        return self.make_node(syntax_tree.Binary, children, "+", *children)

    def include(self, children):
        path = self.string(children[1:])
        if any(isinstance(part, syntax_tree.Node) for part in path.parts):
            raise self.error(children[1], "the path of an include can't contain ${...}", "write the path out")
        return self.make_node(syntax_tree.Include, children, "".join(path.parts))

    def group(self, children):
        inner = children[1]
        inner.end_line = self.line_of(children[2])
        return inner

    def items(self, children):
        items = [child for child in children if isinstance(child, syntax_tree.Node)]
        return self.make_node(syntax_tree.List, children, items, self._is_multiline(children))

    def items_for(self, children):
        return self.make_node(
            syntax_tree.ListComprehension, children, children[1], children[2], self._is_multiline(children)
        )

    def loop(self, children):
        condition = children[5] if len(children) > 5 else None
        return self.make_node(syntax_tree.ForClause, children, children[1].value, children[3], condition)

    def record(self, children):
        entries = [child for child in children if isinstance(child, syntax_tree.Node)]
        locals_ = [entry for entry in entries if isinstance(entry, syntax_tree.Local)]
        fields = [entry for entry in entries if isinstance(entry, syntax_tree.Field)]
        return self.make_node(syntax_tree.Record, children, locals_, fields, self._is_multiline(children))

    def record_for(self, children):
        return self.make_node(
            syntax_tree.RecordComprehension, children, children[1], children[2], self._is_multiline(children)
        )

    def _is_multiline(self, children) -> bool:
        """Returns True if the first item or entry begins on a line below the bracket."""
        first = children[1]
        line = first.place.line if isinstance(first, syntax_tree.Node) else self.line_of(first)
        return line > self.line_of(children[0])

    def _field(self, children, merge_mode):
        key, value = children[-3], children[-1]
        place = self.first_place(children) if not isinstance(key, tuple) else key[0]
        if isinstance(key, tuple):
            key = key[1]
        return self.make_node(syntax_tree.Field, children[-1:], key, merge_mode, value, place=place)

    def field_new(self, children):
        return self._field(children, ":")

    def field_merged(self, children):
        return self._field(children, "+:")

    def field_override(self, children):
        return self._field(children, "override")

    def key_name(self, children):
        return self.place_of(children[0]), children[0].value

    def key_string(self, children):
        text = self.string(children)
        if any(isinstance(part, syntax_tree.Node) for part in text.parts):
            return self.place_of(children[0]), text
        return self.place_of(children[0]), "".join(text.parts)

    def key_computed(self, children):
        return self.place_of(children[0]), children[1]


@cache
def parser() -> Lark:
    """Returns the parser of the grammar, which has no state between two files."""
    grammar = resources.files("quartzrouter.config").joinpath("grammar.lark").read_text()
    return Lark(
        grammar,
        parser="lalr",
        lexer="contextual",
        transformer=TreeBuilder(),
        keep_all_tokens=True,
        maybe_placeholders=False,
        lexer_callbacks={"COMMENT": _collect_comment},
    )


def _collect_comment(token: Token) -> Token:
    _file_being_parsed.get().comments.append(token)
    return token


def parse(source: Source) -> Parsed:
    """Returns the syntax tree of a file; raises PlanError with the first fault."""
    file = FileBeingParsed(source)
    outer_file = _file_being_parsed.set(file)
    try:
        return Parsed(source, _parse(source), file.comments)
    finally:
        _file_being_parsed.reset(outer_file)


def _parse(source: Source) -> syntax_tree.Node:
    """Returns the root of the syntax tree."""
    start = Place(source, 1, 1)
    if len(source.text.encode(errors="replace")) > MAX_FILE_BYTES:
        raise PlanError(
            Fault(start, f"a file of more than {MAX_FILE_BYTES >> 20} MiB", "split it", code="size")
        )
    try:
        return parser().parse(source.text)
    except UnexpectedToken as error:
        raise PlanError(_syntax_fault(source, error)) from None
    except UnexpectedCharacters as error:
        raise PlanError(_lexical_fault(source, error)) from None


def _lexical_fault(source: Source, error: UnexpectedCharacters) -> Fault:
    """Returns the fault for text that is no token."""
    place = Place(source, error.line, error.column)
    char = source.text[error.pos_in_stream] if error.pos_in_stream < len(source.text) else ""
    if char == '"':
        return Fault(place, "a text that isn't closed", 'close it with " on the same line', code="syntax")
    if char == "'":
        return Fault(place, "a text in single quotes", 'write "..."', code="syntax")
    if source.text.startswith("/*", error.pos_in_stream):
        return Fault(place, "a comment that isn't closed", "close it with */", code="syntax")
    return Fault(place, f"unexpected character {char!r}", code="syntax")


def _syntax_fault(source: Source, error: UnexpectedToken) -> Fault:
    """Returns the fault for a token that can't follow the ones before it."""
    token, expected = error.token, set(error.accepts or error.expected)
    before = error.token_history[-1] if getattr(error, "token_history", None) else None
    if token.type == "$END":
        line = max(1, len(source.lines))
        place = Place(source, line, len(source.lines[line - 1]) + 1)
        if not source.text.strip():
            return Fault(place, "the file is empty", "a plan is a record: { ... }", code="syntax")
        missing = next((TOKEN_NAMES[kind] for kind in ("RBRACE", "RSQB", "RPAR") if kind in expected), "")
        return Fault(
            place, f"the file ends too early{f': {missing} is missing' if missing else ''}", code="syntax"
        )
    place = Place(source, token.line, token.column)
    starts_entry = token.type in (
        "NAME",
        "STRING",
        "NUMBER",
        "QUANTITY",
        "LSQB",
        "LBRACE",
        "OVERRIDE",
        "LOCAL",
    )
    if "COMMA" in expected and starts_entry and before is not None:
        place = Place(source, before.end_line, before.end_column)
        return Fault(place, "a comma is missing", f"put ',' before {token.value!r:.40}", code="syntax")
    if token.type == "EQUAL" and "COLON" in expected:
        return Fault(place, "'=' where ':' belongs", "fields are written `name: value`", code="syntax")
    if expected >= VALUE_TOKENS:
        return Fault(place, f"{token.value!r:.40} where a value belongs", code="syntax")
    wanted = " or ".join(sorted(TOKEN_NAMES[kind] for kind in expected if kind in TOKEN_NAMES)[:3])
    reason = f"unexpected {token.value!r:.40}"
    return Fault(place, reason, f"expected {wanted}" if wanted else "", code="syntax")
