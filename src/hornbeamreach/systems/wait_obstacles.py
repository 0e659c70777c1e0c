"""Name what keeps a ready task from starting, for the log of jobs that wait long."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Container, Iterable

from hornbeamreach.systems.task_placement import PlacementRequest, fits
from hornbeamreach.tables.minions import Minion


class Obstacle(enum.Enum):
    """List what may keep a task from a minion, in the order in which it is looked for."""

    LEAVING = "leaving"
    DRAINING = "draining"
    EVACUATED = "evacuated"
    CORDONED = "cordoned"
    FENCED = "fenced"
    YIELDING = "yielding"
    NOT_POLLED = "not_polled"
    UNANSWERED = "unanswered"
    SILENT = "silent"
    PAUSED = "paused"
    LABEL = "label"
    ANTI_AFFINITY = "anti_affinity"
    NO_TICKET = "no_ticket"
    NO_ROOM = "no_room"
    # The minion could run the task.
    NONE = "none"


def find_obstacle(
    request: PlacementRequest, minion: Minion, now_ms: int, *, evacuated: Container[str] = ()
) -> Obstacle:
    """Return the first obstacle between a task and a minion."""
    step, report = request.step, minion.report
    siblings = request.siblings.get(minion.minion_id, 0)
    checks = (
        (Obstacle.LEAVING, report.leaving),
        (Obstacle.DRAINING, report.draining),
        (Obstacle.EVACUATED, report.data_center in evacuated),
        (Obstacle.CORDONED, minion.cordoned),
        (Obstacle.FENCED, minion.fenced),
        (Obstacle.YIELDING, minion.yielding),
        (Obstacle.NOT_POLLED, minion.polled_ms < 0),
        (Obstacle.UNANSWERED, minion.failed_calls > 0),
        (Obstacle.SILENT, minion.is_silent(now_ms)),
        (Obstacle.PAUSED, minion.suspect_until_ms > now_ms),
        (Obstacle.LABEL, step.required_label and step.required_label not in report.labels),
        (Obstacle.ANTI_AFFINITY, step.max_per_minion and siblings >= step.max_per_minion),
        (
            Obstacle.NO_TICKET,
            request.admitted is not None and minion.minion_id not in request.admitted,
        ),
        (Obstacle.NO_ROOM, not fits(request, minion)),
    )
    return next((obstacle for obstacle, found in checks if found), Obstacle.NONE)


def count_obstacles(
    request: PlacementRequest,
    minions: Iterable[Minion],
    now_ms: int,
    *,
    evacuated: Container[str] = (),
) -> dict[str, int]:
    """Count a pool's minions by what keeps the task from each."""
    found = Counter(
        find_obstacle(request, minion, now_ms, evacuated=evacuated).value for minion in minions
    )
    return dict(found.most_common())
