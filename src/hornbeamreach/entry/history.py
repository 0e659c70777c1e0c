"""Recent history of requests and jobs, shown to operators."""

from __future__ import annotations

from collections import OrderedDict

MAX_SUBJECTS = 20_000
MAX_LINES_PER_SUBJECT = 50


class History:
    """Keep the latest lines about requests and jobs; the oldest subjects are dropped first."""

    def __init__(self) -> None:
        self.subjects: OrderedDict[str, list[str]] = OrderedDict()

    def add(self, subject: str, at_ms: int, line: str) -> None:
        """Add a line about a request or job."""
        lines = self.subjects.setdefault(subject, [])
        lines.append(f"{at_ms} {line}")
        del lines[:-MAX_LINES_PER_SUBJECT]
        if len(self.subjects) > MAX_SUBJECTS:
            self.subjects.popitem(last=False)

    def lines(self, subject: str) -> list[str]:
        """Return the lines about a request or job."""
        return list(self.subjects.get(subject, []))
