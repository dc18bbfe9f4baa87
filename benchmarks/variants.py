"""Writes site files of other customers into deploy/sites/, made from an operator's site file.

    python benchmarks/variants.py SITE.toml

A variant has other traffic classes, shares, deadlines, effects, limits and costs. The files that belong to
the site file (real.json, wire.json, unlock.txt) are copied beside it. Git ignores the folder, as nothing of a
site may enter the repository.
"""

import re
import shutil
import sys
from pathlib import Path

FOLDER = Path(__file__).parent.parent / "deploy" / "sites"
COMPANION_FILES = "real.json", "wire.json", "unlock.txt"
SECTION_PATTERN = re.compile(r"\[+([a-z.]+)\]+")
UNQUOTED_PATTERN = re.compile(r"[0-9.]+|\[.*\]|true|false")  # values that stand without quotation marks
# New values by variant, section, the section's index among those of its name, and key.  The first customer
# has requests that must not run twice, short deadlines and few attempts; the second has a narrow window for
# repeats, and neither cancellation nor retry-after.
VARIANTS = {
    "tickets": {
        ("class", 0): dict(name="seat-maps", share="[2.1, 3.0]", aim_ms="300", deadline_ms="1500", worth="1"),
        ("class", 1): dict(name="lists", share="[4.0, 5.5]", aim_ms="250", deadline_ms="1200", worth="1.5"),
        ("class", 2): dict(
            name="bookings",
            share="[0.5, 0.8]",
            effect="unsafe",
            deadline_ms="2000",
            worth="6",
            group=None,
            window_ms=None,
        ),
        ("allow", 0): dict(max_attempts="3"),
        ("rules", 0): dict(drain_grace_ms="1000", fall_ms="1500"),
        ("prices", 0): dict(probe="0.03", waste="0.06", late_fail="0.06", origin="0.03"),
        ("clients", 0): dict(retries="[1, 3]", honour="[0.2, 0.6]", impatient="[0.02, 0.05]"),
        ("tier.conn", 0): dict(idle_s="6", connect_timeout_ms="250"),
    },
    "radio": {
        ("class", 0): dict(name="streams", share="[5.0, 6.0]", aim_ms="900", deadline_ms="8000", worth="1"),
        ("class", 1): dict(name="covers", share="[2.0, 3.0]", aim_ms="600", deadline_ms="2500", worth="0.5"),
        ("class", 2): dict(name="votes", share="[0.6, 0.9]", window_ms="1200", deadline_ms="4000", worth="2"),
        ("allow", 0): dict(max_attempts="8", cancel="false", retry_after="false"),
        ("rules", 0): dict(drain_grace_ms="3000", fall_multiple="1.5"),
        ("prices", 0): dict(probe="0.002", waste="0.01", late_fail="0.1", origin="0.12"),
        ("fam", 0): dict(purges="[1.0, 2.0]", purge_grace_ms="200", parent_fall_multiple="1.5"),
        ("tier.conn", 0): dict(idle_s="30", connect_timeout_ms="900"),
    },
}


class VariantError(Exception):
    """Raised if a site file lacks a key that a variant changes; names the place."""


Place = tuple[str, int]  # a section, and its index among those of its name
TOP: Place = ("", 0)  # before the first section


def variant(text: str, name: str, changes: dict[Place, dict[str, str | None]]) -> str:
    """Returns the text of a customer's site file.

    :param text: the operator's site file.
    :param name: the customer's name.
    :param changes: new values by place and key; None removes the key.
    :raises VariantError: the site file lacks a key that is to change.
    """
    pending = {(*place, key): value for place, values in changes.items() for key, value in values.items()}
    section_counts: dict[str, int] = {}
    place = TOP
    lines = []
    for line in text.splitlines():
        if heading := SECTION_PATTERN.fullmatch(line.strip()):
            section = heading[1]
            place = (section, section_counts.get(section, 0))
            section_counts[section] = place[1] + 1
        key = line.partition("=")[0].strip()
        if place == TOP and key == "name":
            line = f'name = "{name}"'
        if (*place, key) in pending:
            value = pending.pop((*place, key))
            if value is None:
                continue
            line = f"{key} = {value}" if UNQUOTED_PATTERN.fullmatch(value) else f'{key} = "{value}"'
        lines.append(line)
    if pending:
        missing = " ".join(map(str, next(iter(pending))))
        raise VariantError(f"{name}: the site file has no {missing}")
    return "\n".join(lines) + "\n"


def main(arguments: list[str]) -> int:
    """Writes all variants; returns the exit status."""
    if len(arguments) != 1:
        print("usage: python benchmarks/variants.py SITE.toml", file=sys.stderr)
        return 2
    site = Path(arguments[0])
    try:
        text = site.read_text()
        FOLDER.mkdir(exist_ok=True)
        for name, changes in VARIANTS.items():
            (FOLDER / f"{name}.toml").write_text(variant(text, name, changes))
        for file_name in COMPANION_FILES:
            shutil.copyfile(site.parent / file_name, FOLDER / file_name)
    except (OSError, VariantError) as error:
        print(
            f"variants: {error}; give the site file with {', '.join(COMPANION_FILES)} beside it",
            file=sys.stderr,
        )
        return 1
    print(f"written: {', '.join(f'deploy/sites/{name}.toml' for name in VARIANTS)}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
