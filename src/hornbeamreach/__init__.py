"""Fleet capacity and maintenance manager driven from one declared table."""

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
