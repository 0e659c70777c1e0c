"""Keeping a local fleet running, so that people can try every command on it."""

from __future__ import annotations

import signal
from collections.abc import Callable
from pathlib import Path

import trio

from hornbeamreach.clock import Clock
from hornbeamreach.demo.fleet import LocalFleet
from hornbeamreach.demo.scenario import Demo
from hornbeamreach.exceptions import HornbeamreachError

PROFILE_NAME = "operator.toml"
READY_LINE = "ready"


def profile_text(fleet: LocalFleet) -> str:
    """Return the operator's profile of a fleet."""
    control = ", ".join(f'"{address}"' for address in fleet.control_addresses())
    entries = ", ".join(f'"{address}"' for address in fleet.entry_addresses())
    return (
        f"control = [{control}]\n"
        f"entries = [{entries}]\n"
        f'credential = "{fleet.secrets.operator}"\n'
    )


async def run_serve(example: str | Path, folder: Path, say: Callable[[str], None]) -> None:
    """Run a fleet with its table and keys in force until SIGINT or SIGTERM."""
    folder.mkdir(parents=True, exist_ok=True)
    fleet = LocalFleet(example=example, data_folder=folder / "data", clock=Clock())
    demo = Demo(fleet=fleet, say=lambda line: say(f"# {line}"))
    async with trio.open_nursery() as nursery:
        await fleet.start(nursery)
        if (await demo.operate("table")).json()["version"]:
            detail = f"{folder} holds another fleet's data; choose an empty folder"
            raise HornbeamreachError(detail)
        await demo.apply_table()
        await demo.grant_keys()
        await fleet.start_minions(nursery)
        profile = folder / PROFILE_NAME
        profile.touch(mode=0o600)
        profile.write_text(profile_text(fleet), encoding="utf-8")
        _say_exports(fleet, demo, profile, say)
        with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
            async for _ in signals:
                break
        nursery.cancel_scope.cancel()


def _say_exports(fleet: LocalFleet, demo: Demo, profile: Path, say: Callable[[str], None]) -> None:
    team = sorted(demo.keys)[0]
    exports = {
        "HORNBEAMREACH_PROFILE": str(profile.resolve()),
        "ENTRY": f"http://{fleet.entry_addresses()[0]}",
        "CONTROL": f"http://{fleet.control_addresses()[0]}",
        "KEY": demo.keys[team],
        "OPERATOR": fleet.secrets.operator,
        "ENDPOINT": fleet.secrets.endpoint,
    }
    say(f"# KEY is the key of team {team}; paste these lines into a shell:")
    for name, value in exports.items():
        say(f"export {name}={value}")
    say(f"# {READY_LINE}; stop with Ctrl-C")
