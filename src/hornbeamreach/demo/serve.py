"""A local fleet that stays up, for trying the commands on it."""

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
    """Return the text of an operator's profile file for a fleet."""
    control = ", ".join(f'"{address}"' for address in fleet.control_addresses())
    entries = ", ".join(f'"{address}"' for address in fleet.entry_addresses())
    return (
        f"control = [{control}]\n"
        f"entries = [{entries}]\n"
        f'credential = "{fleet.secrets.operator}"\n'
    )


async def run_serve(example: str | Path, folder: Path, print_line: Callable[[str], None]) -> None:
    """Run a fleet with its table and keys in force until SIGINT or SIGTERM.

    Raises:
        HornbeamreachError: the folder holds the data of another fleet.
    """
    folder.mkdir(parents=True, exist_ok=True)
    fleet = LocalFleet(example=example, data_folder=folder / "data", clock=Clock())
    demo = Demo(fleet=fleet, print_line=lambda line: print_line(f"# {line}"))
    async with trio.open_nursery() as nursery:
        await fleet.start(nursery)
        if (await demo.send_operator_request("table")).json()["version"]:
            detail = f"{folder} holds another fleet's data; choose an empty folder"
            raise HornbeamreachError(detail)
        await demo.apply_table()
        await demo.grant_keys()
        await fleet.start_minions(nursery)
        profile = folder / PROFILE_NAME
        profile.touch(mode=0o600)
        profile.write_text(profile_text(fleet), encoding="utf-8")
        _print_exports(fleet, demo, profile, print_line)
        with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
            async for _ in signals:
                break
        nursery.cancel_scope.cancel()


def _print_exports(
    fleet: LocalFleet, demo: Demo, profile: Path, print_line: Callable[[str], None]
) -> None:
    team = sorted(demo.keys)[0]
    exports = {
        "HORNBEAMREACH_PROFILE": str(profile.resolve()),
        "ENTRY": f"http://{fleet.entry_addresses()[0]}",
        "CONTROL": f"http://{fleet.control_addresses()[0]}",
        "KEY": demo.keys[team],
        "OPERATOR": fleet.secrets.operator,
        "ENDPOINT": fleet.secrets.endpoint,
    }
    print_line(f"# KEY is the key of team {team}; paste these lines into a shell:")
    for name, value in exports.items():
        print_line(f"export {name}={value}")
    print_line(f"# {READY_LINE}; stop with Ctrl-C")
