"""Split results into pages for readers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.platform import jobs as wire_jobs

if TYPE_CHECKING:
    from yuccarill.core.jobs.job import ItemResult

# Maximum text of one page; readers accept a megabyte.
PAGE_BYTES = 800 * 1024


def page(total: int, results: list[ItemResult], first: int) -> bytes:
    """Return one page of results from a position on."""
    size = 0
    following = first
    for result in results[first:]:
        size += len(result.text)
        if following > first and size > PAGE_BYTES:
            break
        following += 1
    page_results = tuple(results[first:following])
    return wire_jobs.results_page(total, following, page_results)
