"""Encode the response that a trainer receives for a step."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import xxhash

from yuccarill.core import errors
from yuccarill.core.rollouts import records

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from yuccarill.core.ids import SampleId


class Delivery(msgspec.Struct, frozen=True):
    """Hold an encoded manifest and its encoded samples."""

    manifest: msgspec.Raw
    samples: tuple[msgspec.Raw, ...]


def digest(samples: Iterable[bytes]) -> str:
    """Return the digest of encoded samples, which depends on their order."""
    hasher = xxhash.xxh3_128()
    for encoded in samples:
        hasher.update(encoded)
    return hasher.hexdigest()


def encode(
    manifest: records.Manifest, encoded_by_id: Mapping[SampleId, bytes]
) -> bytes:
    """Encode a delivery; the bytes are the same on every instance.

    Raises SamplesLost if samples are missing or differ from the manifest.
    """
    samples = [encoded_by_id.get(name, b'') for name in manifest.sample_ids]
    missing = samples.count(b'')
    if missing or digest(samples) != manifest.digest:
        raise errors.SamplesLost(
            f'Step {manifest.step} of {manifest.trainer} has a manifest, but '
            f'{missing or "some"} of its samples are unavailable; if its '
            'disk instances are lost for good, delete the step and submit '
            'it under a new number.',
            retry_after=1.0,
        )
    return msgspec.json.encode(
        Delivery(
            msgspec.Raw(records.encode(manifest)),
            tuple(msgspec.Raw(sample) for sample in samples),
        )
    )
