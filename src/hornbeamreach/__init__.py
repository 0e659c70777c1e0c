"""Fleet capacity and maintenance manager driven from one declared table."""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from hornbeamreach.clock import Clock
    from hornbeamreach.exceptions import (
        HornbeamreachError,
        InvalidInputError,
        PlatformError,
        RefusedError,
        SettingsError,
        StorageError,
        TableError,
    )
    from hornbeamreach.registry import Registry
    from hornbeamreach.settings import ControlSettings, EntrySettings, load_settings
    from hornbeamreach.tables.declared import (
        DeclaredTable,
        PoolRow,
        QueueRow,
        ServiceRow,
        TeamRow,
        VmRow,
    )
    from hornbeamreach.tables.table_file import load_table
    from hornbeamreach.verdict import Reason, Verdict

__version__ = "0.1.0"

# Imported at their first use: a daemon starts faster without the modules that it does not need.
_MODULE_BY_NAME = {
    "Clock": "clock",
    "ControlSettings": "settings",
    "DeclaredTable": "tables.declared",
    "EntrySettings": "settings",
    "HornbeamreachError": "exceptions",
    "InvalidInputError": "exceptions",
    "PlatformError": "exceptions",
    "PoolRow": "tables.declared",
    "QueueRow": "tables.declared",
    "Reason": "verdict",
    "RefusedError": "exceptions",
    "Registry": "registry",
    "ServiceRow": "tables.declared",
    "SettingsError": "exceptions",
    "StorageError": "exceptions",
    "TableError": "exceptions",
    "TeamRow": "tables.declared",
    "Verdict": "verdict",
    "VmRow": "tables.declared",
    "load_settings": "settings",
    "load_table": "tables.table_file",
}

__all__ = [
    "Clock",
    "ControlSettings",
    "DeclaredTable",
    "EntrySettings",
    "HornbeamreachError",
    "InvalidInputError",
    "PlatformError",
    "PoolRow",
    "QueueRow",
    "Reason",
    "RefusedError",
    "Registry",
    "ServiceRow",
    "SettingsError",
    "StorageError",
    "TableError",
    "TeamRow",
    "Verdict",
    "VmRow",
    "load_settings",
    "load_table",
]


def __getattr__(name: str) -> Any:
    if name not in _MODULE_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = importlib.import_module(f"{__name__}.{_MODULE_BY_NAME[name]}")
    return getattr(module, name)


def __dir__() -> list[str]:
    return sorted({*globals(), *__all__})
