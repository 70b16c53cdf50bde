"""Cut results into pages for those who read them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.platform import jobs as wire_jobs

if TYPE_CHECKING:
    from yuccarill.core.jobs.job import ItemResult

# Bytes of results in one answer, under the megabyte that readers take.
PAGE_BYTES = 800 * 1024


def page(total: int, results: list[ItemResult], first: int) -> bytes:
    """Return one page of results from a position on."""
    taken = 0
    following = first
    for result in results[first:]:
        taken += len(result.text)
        if following > first and taken > PAGE_BYTES:
            break
        following += 1
    found = tuple(results[first:following])
    return wire_jobs.results_page(total, following, found)
