"""Check what the entries of an inventory say together."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from yuccarill.core import addresses

if TYPE_CHECKING:
    from collections.abc import Iterator

    from yuccarill.core.config.conversion import Conversion

_REFERENCES = (
    ('engines', 'model', 'models'),
    ('targets', 'service', 'services'),
    ('trainers', 'model', 'models'),
    ('trainers', 'scorer', 'scorers'),
)
_ADDRESSED = ('engines', 'targets', 'scorers')
# Engines and targets share their ids: a load is counted by target.
_NAME_SPACES = (
    ('callers',),
    ('models',),
    ('services',),
    ('scorers',),
    ('trainers',),
    ('engines', 'targets'),
)


def faults(converted: Conversion) -> Iterator[str]:
    """Return every fault between entries that are valid alone."""
    for sections in _NAME_SPACES:
        yield from _doubled(converted, sections)
    for section, key, referred in _REFERENCES:
        yield from _unknown(converted, section, key, referred)
    for section in _ADDRESSED:
        for entry in getattr(converted.inventory, section):
            if not addresses.is_address(entry.address):
                yield (
                    f'{section} {entry.id}, address: {entry.address!a} is '
                    'wrong; write an IPv4 number and a port, as 127.0.0.1:9101'
                )


def _doubled(
    converted: Conversion, sections: tuple[str, ...]
) -> Iterator[str]:
    uses = collections.Counter(
        name
        for section in sections
        for name in converted.names_by_section.get(section, ())
    )
    for name, count in sorted(uses.items()):
        if count > 1:
            place = ' and '.join(sections)
            yield f'{place}: {name!a} stands twice; rename or remove one'


def _unknown(
    converted: Conversion, section: str, key: str, referred: str
) -> Iterator[str]:
    known = set(converted.names_by_section.get(referred, ()))
    for entry in getattr(converted.inventory, section):
        name = getattr(entry, key)
        if name not in known:
            yield (
                f'{section} {entry.id}, {key}: {name!a} is not described; '
                f'add it to {referred} or correct it'
            )
