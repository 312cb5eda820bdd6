"""The published configuration: its schema, its validation and its versions."""

from currantwharf.config.accept_config import is_newer
from currantwharf.config.backend_server import BackendServer
from currantwharf.config.check_references import check_references
from currantwharf.config.data_centre import DataCentre
from currantwharf.config.document import parse_document
from currantwharf.config.load_document import load_document
from currantwharf.config.parse_config import parse_config
from currantwharf.config.published_config import PublishedConfig
from currantwharf.config.request_class import RequestClass
from currantwharf.config.service import Service
from currantwharf.config.targets import Targets
from currantwharf.config.versioned_config import VersionedConfig
from currantwharf.documents.invalid_document import InvalidDocument
from currantwharf.documents.problem import Problem

__all__ = [
    "BackendServer",
    "DataCentre",
    "InvalidDocument",
    "Problem",
    "PublishedConfig",
    "RequestClass",
    "Service",
    "Targets",
    "VersionedConfig",
    "check_references",
    "is_newer",
    "load_document",
    "parse_config",
    "parse_document",
]
