"""Conversion of JSON into attrs classes, with errors that name the field."""

import enum
import json
import re
from typing import Any, TypeVar, get_args, get_origin

import cattrs
from attrs import fields, has
from cattrs.cols import homogenous_tuple_structure_factory
from cattrs.errors import (
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
)
from cattrs.v import format_exception, transform_error

__all__ = [
    "decode_json",
    "list_problems",
    "make_converter",
    "require_match",
    "structure",
]

T = TypeVar("T")

_TYPE_DESCRIPTIONS = {
    bool: "true or false",
    int: "a whole number",
    float: "a number",
    str: "text in quotes",
}


def decode_json(data: bytes) -> Any:
    """Return decoded JSON.

    The json module is used instead of msgspec, because msgspec silently keeps the last
    of duplicate fields.

    Raises
    ------
    ValueError
        The bytes are not UTF-8 or not JSON, a field appears twice, a number is not
        finite, or the nesting is too deep; the message names the remedy.
    """
    try:
        return json.loads(
            data.decode("utf-8-sig"),
            object_pairs_hook=_make_object,
            parse_constant=_reject_constant,
        )
    except UnicodeDecodeError as exc:
        raise ValueError(
            f"byte {exc.start} is not UTF-8; save the text as UTF-8"
        ) from exc
    except json.JSONDecodeError as exc:
        raise ValueError(
            f"not JSON: {exc.msg} at line {exc.lineno} column {exc.colno}; correct it"
        ) from exc
    except RecursionError as exc:
        raise ValueError("the JSON is nested too deeply; flatten it") from exc


def _make_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result = dict(pairs)
    if len(result) < len(pairs):
        names = [name for name, _ in pairs]
        duplicate = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"field {duplicate!r} appears twice in an object; remove one")
    return result


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is not a JSON number; write a finite number")


def require_match(pattern: str, remedy: str) -> Any:
    """Return a validator of strings; its message is the value and ``remedy``."""

    def validate(instance: Any, attribute: Any, value: str) -> None:
        if not re.fullmatch(pattern, value):
            raise ValueError(f"{attribute.name!r} is {value[:200]!r}; {remedy}")

    return validate


def make_converter() -> cattrs.Converter:
    """Return a converter that refuses unknown fields and converts no types.

    Without the hooks cattrs would convert ``"false"`` to True and ``1.5`` to 1.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    for type_ in _TYPE_DESCRIPTIONS:
        converter.register_structure_hook(type_, _structure_primitive)
    converter.register_structure_hook_factory(_is_tuple, _make_tuple_hook)
    return converter


def structure(converter: cattrs.Converter, data: Any, cls: type[T], path: str) -> T:
    """Structure ``data``.

    Raises
    ------
    ValueError
        The message lists every problem as ``<problem> @ <path of the field>``.
    """
    if not isinstance(data, dict):
        raise ValueError(f"{path} is not a JSON object; write it in braces")
    try:
        return converter.structure(data, cls)
    except (ClassValidationError, IterableValidationError) as exc:
        raise ValueError("; ".join(list_problems(exc, path))) from exc


def list_problems(error: BaseException, path: str) -> list[str]:
    """Return one line for each problem below ``path``."""
    return transform_error(error, path=path, format_exception=_describe_error)


def _structure_primitive(value: Any, type_: Any) -> Any:
    # The hook of str also receives string enumerations.
    if issubclass(type_, enum.StrEnum):
        return _structure_enum(value, type_)
    accepted = (int, float) if type_ is float else (type_,)
    if type(value) in accepted:
        try:
            return type_(value)
        except OverflowError:
            raise ValueError("the number is too large; write a smaller one") from None
    # A value given in place of a string may be a secret, so only its type is named.
    got = type(value).__name__ if type_ is str else repr(value)[:80]
    raise ValueError(
        f"expected {_TYPE_DESCRIPTIONS[type_]}, got {got}; correct the value"
    )


def _structure_enum(value: Any, type_: type[enum.StrEnum]) -> enum.StrEnum:
    try:
        return type_(value)
    except ValueError:
        names = ", ".join(repr(member.value) for member in type_)
        raise ValueError(f"{value!r} is unknown; use one of {names}") from None


def _is_tuple(type_: Any) -> bool:
    return get_origin(type_) is tuple and get_args(type_)[-1] is Ellipsis


def _make_tuple_hook(type_: Any, converter: cattrs.BaseConverter) -> Any:
    structure_tuple = homogenous_tuple_structure_factory(type_, converter)

    def structure_list(value: Any, _: Any) -> Any:
        # cattrs would accept any iterable, also a string or the keys of an object.
        if not isinstance(value, list):
            raise ValueError(
                f"expected a list, got {type(value).__name__}; write it in brackets"
            )
        return structure_tuple(value, type_)

    return structure_list


def _describe_error(exc: BaseException, type_: type | None) -> str:
    match exc:
        case ForbiddenExtraKeysError():
            unknown = ", ".join(repr(name) for name in sorted(exc.extra_fields))
            known = ", ".join(field.name for field in fields(exc.cl))
            return f"unknown field {unknown}; use {known}"
        case KeyError():
            return "the field is missing; add it"
        case AttributeError() | TypeError() if type_ is None or has(type_):
            return "expected a JSON object; write it in braces"
        case ValueError() if exc.args and isinstance(exc.args[0], str):
            # The messages of validators name the value and the remedy.
            return exc.args[0]
        case _:
            return format_exception(exc, type_)
