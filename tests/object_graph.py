"""Finds the mutable objects that several parts of a program can reach, and so change for each other."""

import functools
import gc
import logging
import re
import types
from collections import deque
from collections.abc import Iterable, Sequence
from enum import Enum

# Objects of these types can't change, or belong to the interpreter; nothing is looked for behind them.
OPAQUE_TYPES = (
    int,
    float,
    complex,
    str,
    bytes,
    type(None),
    type(Ellipsis),
    range,
    type,
    types.BuiltinFunctionType,
    types.ModuleType,
    types.GenericAlias,
    re.Pattern,
    Enum,
    logging.Logger,
)


def common_mutable_objects(roots: Sequence[object], known: Iterable[object] = ()) -> list[str]:
    """Returns each mutable object that can be reached from more than one root, with the way to it.

    :param known: objects that are shared on purpose, such as a simulated clock; nothing is looked for behind
        them.
    """
    known = list(known)
    graphs = [_mutable_objects(root, {id(each) for each in known}) for root in roots]
    shared = []
    for number, graph in enumerate(graphs):
        for other_number, other in enumerate(graphs[:number]):
            for identity in graph.keys() & other.keys():
                path, value = graph[identity]
                other_path, _ = other[identity]
                shared.append(f"{type(value).__name__}: {other_number}{other_path} is {number}{path}")
    return sorted(shared)


def _mutable_objects(root: object, known: set[int]) -> dict[int, tuple[str, object]]:
    """Returns the mutable objects behind a root, by identity, each with the way to it."""
    found: dict[int, tuple[str, object]] = {}
    seen = {id(root)}
    kept = [root]  # identities stay valid while the objects live
    queue = deque([("", root)])
    while queue:
        path, value = queue.popleft()
        if _is_mutable(value):
            found[id(value)] = path, value
        for step, part in _parts(value):
            if isinstance(part, OPAQUE_TYPES) or id(part) in seen or id(part) in known:
                continue
            seen.add(id(part))
            kept.append(part)
            queue.append((path + step, part))
    return found


def _is_mutable(value: object) -> bool:
    if isinstance(value, tuple | frozenset | types.MappingProxyType | types.FunctionType | types.MethodType):
        return False
    if type(value) is object or isinstance(value, functools.partial):
        return False
    dataclass_parameters = getattr(type(value), "__dataclass_params__", None)
    struct_config = getattr(type(value), "__struct_config__", None)
    is_frozen = getattr(dataclass_parameters or struct_config, "frozen", False)
    return not is_frozen


def _parts(value: object) -> list[tuple[str, object]]:
    """Returns the objects that a value refers to, each with the step from the value to it."""
    if isinstance(value, types.FunctionType):
        cells = zip(value.__code__.co_freevars, value.__closure__ or (), strict=True)
        defaults = [*(value.__defaults__ or ()), *(value.__kwdefaults__ or {}).values()]
        return [
            *((f"<{name}>", cell.cell_contents) for name, cell in cells),
            *((f"<default {number}>", default) for number, default in enumerate(defaults)),
        ]
    if isinstance(value, types.MethodType):
        return [(".__self__", value.__self__), (".__func__", value.__func__)]
    if isinstance(value, dict | types.MappingProxyType):
        keys = [("[key]", key) for key in value]
        return [*keys, *((f"[{key!r:.40}]", part) for key, part in value.items()), *_attributes(value)]
    if isinstance(value, list | tuple | set | frozenset | deque):
        return [*((f"[{number}]", part) for number, part in enumerate(value)), *_attributes(value)]
    return _attributes(value) or [("<referent>", part) for part in gc.get_referents(value)]


def _attributes(value: object) -> list[tuple[str, object]]:
    """Returns the attributes of an instance, in its dictionary or in slots."""
    slots = {
        name
        for base in type(value).__mro__
        for name, member in vars(base).items()
        if isinstance(member, types.MemberDescriptorType)
    }
    names = [*slots, *getattr(value, "__dict__", ())]
    return [(f".{name}", getattr(value, name)) for name in names if hasattr(value, name)]
