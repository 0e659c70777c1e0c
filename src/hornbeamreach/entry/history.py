"""What this entry process did lately, for operators who ask why."""

from __future__ import annotations

from collections import OrderedDict

MAX_SUBJECTS = 20_000
MAX_LINES = 50


class History:
    """Keep the latest lines about requests and jobs, oldest subjects dropped first."""

    def __init__(self) -> None:
        self.subjects: OrderedDict[str, list[str]] = OrderedDict()

    def note(self, subject: str, at_ms: int, line: str) -> None:
        """Note what happened to a request or job."""
        lines = self.subjects.setdefault(subject, [])
        lines.append(f"{at_ms} {line}")
        del lines[:-MAX_LINES]
        if len(self.subjects) > MAX_SUBJECTS:
            self.subjects.popitem(last=False)

    def lines(self, subject: str) -> list[str]:
        """Return what is known of a request or job."""
        return list(self.subjects.get(subject, []))
