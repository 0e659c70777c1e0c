"""Results of the checks that the demo makes."""

from __future__ import annotations

from attrs import define, field


@define(kw_only=True)
class Promise:
    """Count the checks and violations of one promise."""

    name: str
    checked: int = 0
    violations: list[str] = field(factory=list)

    def check(self, held: bool, detail: str) -> None:
        """Count one check, and record its detail if the promise was violated."""
        self.checked += 1
        if not held:
            self.violations.append(detail)


@define(kw_only=True)
class CheckResults:
    """Hold the results of all checks by promise."""

    promises: dict[str, Promise] = field(factory=dict)

    def check(self, name: str, held: bool, detail: str = "") -> None:
        """Record one check of the promise of this name."""
        promise = self.promises.setdefault(name, Promise(name=name))
        promise.check(held, detail)

    def all_hold(self) -> bool:
        """Return whether every promise was checked and none was violated."""
        return bool(self.promises) and all(
            promise.checked and not promise.violations for promise in self.promises.values()
        )

    def lines(self) -> list[str]:
        """Return printable lines with each promise's counts and first violations."""
        lines = []
        for promise in self.promises.values():
            violated = len(promise.violations)
            lines.append(f"  {promise.name}: {promise.checked} checks, {violated} violations")
            lines += [f"    violated: {detail}" for detail in promise.violations[:5]]
        return lines

    def summary(self) -> str:
        """Return one printable line about all promises."""
        checks = sum(promise.checked for promise in self.promises.values())
        violated = sum(len(promise.violations) for promise in self.promises.values())
        verdict = "all promises held" if self.all_hold() else "PROMISES BROKEN"
        return f"{verdict}: {len(self.promises)} promises, {checks} checks, {violated} violations"
