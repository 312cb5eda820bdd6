"""Parse and validate a published JSON document as a configuration."""

import msgspec
from result import Err, Ok, Result

from currantwharf.config.check_references import check_references
from currantwharf.config.document import parse_document
from currantwharf.config.published_config import PublishedConfig
from currantwharf.config.versioned_config import VersionedConfig
from currantwharf.documents.decode_errors import DECODE_ERRORS
from currantwharf.documents.invalid_document import InvalidDocument
from currantwharf.documents.problem import Problem

SOURCE_NAME = "published configuration"


def parse_config(
    version: int, document: bytes
) -> Result[VersionedConfig, InvalidDocument]:
    """Validate all of `document` and return the configuration with its version.

    The result is an error that lists all problems when the document is not JSON,
    does not fit the schema, or names a data centre, server or service that it does
    not declare.
    """
    try:
        value = msgspec.json.decode(document)
    except DECODE_ERRORS as exc:
        problem = Problem("(the whole document)", str(exc), "a JSON object")
        return Err(InvalidDocument(SOURCE_NAME, (problem,)))
    parsed = parse_document(PublishedConfig, value, SOURCE_NAME)
    if parsed.is_err():
        return Err(parsed.unwrap_err())
    config = parsed.unwrap()
    problems = check_references(config)
    if problems:
        return Err(InvalidDocument(SOURCE_NAME, problems))
    return Ok(VersionedConfig(version, config, document))
