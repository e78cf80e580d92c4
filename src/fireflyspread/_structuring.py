"""Structuring of decoded JSON into attrs classes, with errors that name the field."""

from typing import Any, TypeVar

import cattrs
from cattrs.errors import ClassValidationError, IterableValidationError
from cattrs.v import format_exception, transform_error

__all__ = ["list_problems", "make_converter", "structure"]

T = TypeVar("T")


def make_converter() -> cattrs.Converter:
    """Return a converter that refuses unknown fields."""
    return cattrs.Converter(forbid_extra_keys=True)


def structure(converter: cattrs.Converter, data: Any, cls: type[T], path: str) -> T:
    """Structure ``data``.

    Raises
    ------
    ValueError
        The message lists every problem as ``<what> @ <path of the field>``.
    """
    try:
        return converter.structure(data, cls)
    except (ClassValidationError, IterableValidationError) as exc:
        raise ValueError("; ".join(list_problems(exc, path))) from exc


def list_problems(error: BaseException, path: str) -> list[str]:
    """Return one line for each problem below ``path``."""
    return transform_error(error, path=path, format_exception=_describe)


def _describe(exc: BaseException, type_: type | None) -> str:
    # The messages of validators name the value and the remedy, so they are kept.
    if isinstance(exc, ValueError) and exc.args and isinstance(exc.args[0], str):
        return exc.args[0]
    return format_exception(exc, type_)
