"""The reference page of plans, made of the vocabulary; a test keeps docs/plan-reference.md equal to it."""

from quartzrouter.config.keys import PLAN
from quartzrouter.config.quantity import Duration, Share, Size
from quartzrouter.config.schema import REQUIRED, Entry, Kind, MapOf, Quantified, RecordOf
from quartzrouter.config.values import format_value

HEAD = """# Plan reference

Made by `quartzrouter plan reference`; don't edit it by hand. `docs/plan.md` tells how plans are written.
"""


def reference() -> str:
    lines, todo = [HEAD], [("The plan", PLAN)]
    seen: set[int] = set()
    while todo:
        title, record = todo.pop(0)
        if id(record) in seen:
            continue
        seen.add(id(record))
        lines += [f"## {title}", "", "| key | kind | default | |", "| --- | --- | --- | --- |"]
        for name, entry in record.entries.items():
            lines.append(f"| `{name}` | {_kind(entry.of)} | {_default(entry)} | {entry.doc} |")
            if (inner := _record(entry.of)) is not None:
                path = "" if title == "The plan" else f"{title}."
                todo.append((f"{path}{name}{'.NAME' if isinstance(entry.of, MapOf) else ''}", inner))
        lines.append("")
    return "\n".join(lines)


def _record(kind: Kind) -> RecordOf | None:
    if isinstance(kind, RecordOf):
        return kind
    return _record(kind.of) if isinstance(kind, MapOf) else None


def _kind(kind: Kind) -> str:
    said = kind.says.replace("|", "\\|")
    if isinstance(kind, Quantified) and kind.least is not None:
        said += f", {format_value(kind.least)} to {format_value(kind.most)}"
    return said


def _default(entry: Entry) -> str:
    if entry.default is REQUIRED:
        return "required"
    if entry.default is None or entry.default in ({}, []):
        return ""
    if isinstance(entry.of, Quantified):
        if entry.of.of is Duration:
            return f"`{Duration(entry.default)}`"
        if entry.of.of is Size:
            return f"`{Size(entry.default)}`"
        if entry.of.of is Share:
            return f"`{entry.default * 100:g}%`"
    return f"`{str(entry.default).lower() if isinstance(entry.default, bool) else entry.default}`"
