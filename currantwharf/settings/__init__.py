"""The settings of one process: its addresses, its data centre and the platform."""

from currantwharf.settings.load_settings import load_settings
from currantwharf.settings.settings import Settings

__all__ = ["Settings", "load_settings"]
