"""Validate an inventory across its entries."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from yuccarill.core import addresses

if TYPE_CHECKING:
    from collections.abc import Iterator

    from yuccarill.core.config.conversion import Conversion

# Section, key and the section that defines the key's value.
_REFERENCES = (
    ('engines', 'model', 'models'),
    ('targets', 'service', 'services'),
    ('trainers', 'model', 'models'),
    ('trainers', 'scorer', 'scorers'),
)
_SECTIONS_WITH_ADDRESS = ('engines', 'targets', 'scorers')
# Engines and targets share one namespace: load is counted by target id.
_NAMESPACES = (
    ('callers',),
    ('models',),
    ('services',),
    ('scorers',),
    ('trainers',),
    ('engines', 'targets'),
)


def faults(conversion: Conversion) -> Iterator[str]:
    """Yield duplicate names, unknown references and invalid addresses."""
    for sections in _NAMESPACES:
        yield from _duplicate_faults(conversion, sections)
    for section, key, referenced in _REFERENCES:
        yield from _reference_faults(conversion, section, key, referenced)
    for section in _SECTIONS_WITH_ADDRESS:
        for entry in getattr(conversion.inventory, section):
            if not addresses.is_address(entry.address):
                yield (
                    f'{section} {entry.id}, address: {entry.address!a} is '
                    'wrong; write an IPv4 address and port, as 127.0.0.1:9101'
                )


def _duplicate_faults(
    conversion: Conversion, sections: tuple[str, ...]
) -> Iterator[str]:
    count_by_name = collections.Counter(
        name
        for section in sections
        for name in conversion.names_by_section.get(section, ())
    )
    for name, count in sorted(count_by_name.items()):
        if count > 1:
            namespace = ' and '.join(sections)
            yield f'{namespace}: {name!a} is duplicated; rename or remove one'


def _reference_faults(
    conversion: Conversion, section: str, key: str, referenced: str
) -> Iterator[str]:
    names = set(conversion.names_by_section.get(referenced, ()))
    for entry in getattr(conversion.inventory, section):
        name = getattr(entry, key)
        if name not in names:
            yield (
                f'{section} {entry.id}, {key}: {name!a} is not defined; '
                f'add it to {referenced} or correct it'
            )
