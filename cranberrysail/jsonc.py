"""Reads JSON with comments into validated pydantic models."""

from pathlib import Path
from typing import Any, TypeVar

import pyjson5
from expression import Error, Ok, Result
from pydantic import BaseModel, ValidationError

from cranberrysail.errors import ConfigError

M = TypeVar("M", bound=BaseModel)

__all__ = ["load_model", "parse_model", "top_level_keys"]

_REMEDIES_BY_ERROR_TYPE = {
    "extra_forbidden": "remove this key, or correct its spelling",
    "missing": "add this key",
}


def _format_location(loc: tuple[Any, ...]) -> str:
    return ".".join(str(part) for part in loc) or "top level"


def _describe_errors(exc: ValidationError) -> list[str]:
    problems = []
    for error in exc.errors():
        remedy = _REMEDIES_BY_ERROR_TYPE.get(error["type"], "correct this value")
        problems.append(f"{_format_location(error['loc'])}: {error['msg']}; {remedy}")
    return problems


def _syntax_error_location(text: str, exc: Exception) -> str:
    """Return the line of a syntax error, from the offset in the parser's message."""
    for arg in exc.args:
        if not isinstance(arg, str) or "near " not in arg:
            continue
        digits = "".join(c for c in arg.split("near ")[1] if c.isdigit())
        if digits:
            return f"line {text.count(chr(10), 0, int(digits)) + 1}"
    return "end of file"


def parse_model(text: str, model: type[M], source: str) -> Result[M, ConfigError]:
    """Parse JSON with comments and validate it.

    Args:
      text: The text to parse.
      model: The model to validate with.
      source: Name of the source, for error messages.

    Returns:
      The model, or a ConfigError that lists all problems.
    """
    try:
        data = pyjson5.decode(text)
    except pyjson5.Json5Exception as exc:
        location = _syntax_error_location(text, exc)
        problem = f"{location}: not valid JSON ({exc.args[0]}); correct the syntax"
        return Error(ConfigError(source, [problem]))
    try:
        return Ok(model.model_validate(data))
    except ValidationError as exc:
        return Error(ConfigError(source, _describe_errors(exc)))


def load_model(path: Path, model: type[M]) -> Result[M, ConfigError]:
    """Read a file of JSON with comments and validate it.

    Args:
      path: Path of the file.
      model: The model to validate with.

    Returns:
      The model, or a ConfigError that lists all problems.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        problem = f"cannot be read ({exc}); check the path and its permissions"
        return Error(ConfigError(str(path), [problem]))
    return parse_model(text, model, str(path))


def top_level_keys(path: Path) -> set[str]:
    """Return the top-level keys of a file; an empty set if it cannot be parsed."""
    try:
        data = pyjson5.decode(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, pyjson5.Json5Exception):
        return set()
    return set(data) if isinstance(data, dict) else set()
