"""Turn a published JSON document into a checked configuration."""

import msgspec
from result import Err, Ok, Result

from currantwharf.config.check_references import check_references
from currantwharf.config.document import parse_document
from currantwharf.config.published_config import PublishedConfig
from currantwharf.config.versioned_config import VersionedConfig
from currantwharf.documents.invalid_document import InvalidDocument
from currantwharf.documents.problem import Problem

CONFIG_SOURCE = "published configuration"


def parse_config(
    version: int, document: bytes
) -> Result[VersionedConfig, InvalidDocument]:
    """Check `document` whole and return it with its version.

    The result is an error that lists all problems when the document is not JSON,
    does not fit the schema, or names a data centre, server or service that it does
    not declare.
    """
    try:
        value = msgspec.json.decode(document)
    except msgspec.DecodeError as exc:
        problem = Problem("(the whole document)", str(exc), "a JSON object")
        return Err(InvalidDocument(CONFIG_SOURCE, (problem,)))
    parsed = parse_document(PublishedConfig, value, CONFIG_SOURCE)
    if parsed.is_err():
        return Err(parsed.unwrap_err())
    config = parsed.unwrap()
    problems = check_references(config)
    if problems:
        return Err(InvalidDocument(CONFIG_SOURCE, problems))
    return Ok(VersionedConfig(version, config, document))
