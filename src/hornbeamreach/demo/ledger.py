"""What the demo saw, and whether the promises held."""

from __future__ import annotations

from attrs import define, field


@define(kw_only=True)
class Promise:
    """Count the checks of one promise."""

    name: str
    checked: int = 0
    violations: list[str] = field(factory=list)

    def check(self, held: bool, detail: str) -> None:
        """Count one check; a violation keeps its detail."""
        self.checked += 1
        if not held:
            self.violations.append(detail)


@define(kw_only=True)
class Ledger:
    """Hold the promises that the demo checks."""

    promises: dict[str, Promise] = field(factory=dict)

    def check(self, name: str, held: bool, detail: str = "") -> None:
        """Check a promise once."""
        promise = self.promises.setdefault(name, Promise(name=name))
        promise.check(held, detail)

    def holds(self) -> bool:
        """Tell whether every promise was checked and held."""
        return bool(self.promises) and all(
            promise.checked and not promise.violations for promise in self.promises.values()
        )

    def lines(self) -> list[str]:
        """Describe each promise with its counts."""
        found = []
        for promise in self.promises.values():
            violated = len(promise.violations)
            found.append(f"  {promise.name}: {promise.checked} checks, {violated} violations")
            found += [f"    violated: {detail}" for detail in promise.violations[:5]]
        return found

    def summary(self) -> str:
        """Describe all promises in one line."""
        checks = sum(promise.checked for promise in self.promises.values())
        violated = sum(len(promise.violations) for promise in self.promises.values())
        verdict = "all promises held" if self.holds() else "PROMISES BROKEN"
        return f"{verdict}: {len(self.promises)} promises, {checks} checks, {violated} violations"
