"""The section of docs/CAPACITY.md about fronts, from figures of a sweep."""

from __future__ import annotations

from typing import Any

NOTES = (
    'Budget of a front: 64 MB fit at each size; 34 ms of CPU a second (3.4%)',
    'fit for the middle front and not for the busiest; 22 kB a second fit for',
    'the middle of 30 and of 100 fronts. The busiest is the reader of a zone,',
    'whose traffic grows with the fronts of its zone and with the servers: the',
    'reader of 100 fronts sends each change of 3,000 servers 100 times. The',
    'time to serve again after all fronts were killed at once grows fastest;',
    '30 s are the longest that is measured.',
)


def front_section(sweep: dict[str, Any]) -> list[str]:
    """Return the lines of the section.

    Args:
        sweep: the sizes, and per row the values of the middle and the busiest
            front at each size, and the growth that was found.
    """
    sizes = sweep['sizes']
    head = ' | '.join(f'{size} fronts' for size in sizes)
    ruler = ' | '.join('---:' for _ in sizes)
    return [
        "## Fronts on the users' platform",
        '',
        f'From `{sweep["command"]}`.',
        'Each cell: middle front / busiest front. The last column carries the',
        'growth of the busiest front on to 504 fronts; it was not played.',
        '',
        f'| per front | {head} | power | at 504 |',
        f'| --- | {ruler} | ---: | ---: |',
        *(_row(row) for row in sweep['rows']),
        '',
        *NOTES,
    ]


def _row(row: dict[str, Any]) -> str:
    cells = ' | '.join(
        f'{usual:g} / {most:g}'
        for usual, most in zip(row['middle'], row['busiest'], strict=True)
    )
    return (
        f'| {row["name"]} | {cells} | {row["power"]:g} | {row["predicted"]:g} |'
    )
