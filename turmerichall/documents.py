"""Converts typed values to JSON documents and back.

Typed values are `NamedTuple`s, which other codecs encode as arrays.  Callers
and operators see JSON objects with named fields instead.  An invalid document
is rejected with the location of its first fault.
"""

from collections.abc import Callable
import functools
from typing import (
    Annotated,
    Any,
    NamedTuple,
    TypeVar,
    get_args,
    get_origin,
    get_type_hints,
)

import msgspec

from turmerichall import errors

__all__ = ["decode", "encode", "encode_without_defaults", "to_builtins"]

T = TypeVar("T")

# Greatest absolute value of an integer in a document.  The replicated log could
# not hold integers of more than 64 bits.
MAX_INTEGER = 2**53
_BoundedInteger = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]


def to_builtins(value: Any) -> Any:
    """Convert a value to types that JSON supports.

    A `NamedTuple` becomes a dict by field name.

    Examples:
        >>> from turmerichall import resources
        >>> to_builtins(resources.Resources(1, 2))
        {'processors': 1, 'memory_mb': 2, 'accelerators': 0}
    """
    if isinstance(value, tuple) and hasattr(value, "_fields"):
        return {
            name: to_builtins(item)
            for name, item in zip(value._fields, value, strict=True)
        }
    if isinstance(value, (list, tuple)):
        return [to_builtins(item) for item in value]
    if isinstance(value, dict):
        return {key: to_builtins(item) for key, item in value.items()}
    return value


def encode(value: Any) -> bytes:
    """Encode a value as a JSON document."""
    return msgspec.json.encode(to_builtins(value))


def encode_without_defaults(value: Any) -> bytes:
    """Encode a value as a JSON document, omitting fields with default values.

    Examples:
        >>> from turmerichall import resources
        >>> encode_without_defaults(resources.Resources(1, 0))
        b'{"processors":1}'
    """
    return msgspec.json.encode(_without_defaults(value))


def _without_defaults(value: Any) -> Any:
    if isinstance(value, tuple) and hasattr(value, "_fields"):
        # pylint: disable-next=protected-access
        defaults: dict[str, Any] = type(value)._field_defaults  # type: ignore[attr-defined]
        return {
            name: _without_defaults(item)
            for name, item in zip(value._fields, value, strict=True)
            if name not in defaults or item != defaults[name]
        }
    if isinstance(value, (list, tuple)):
        return [_without_defaults(item) for item in value]
    return value


def decode(data: bytes, value_type: type[T], place: str = "body") -> T:
    """Decode a JSON document into a typed value.

    Args:
        data: The document.
        value_type: A `NamedTuple` class, or a container of such classes.
        place: Name of the document in findings.

    Returns:
        The value.

    Raises:
        InputError: The document is malformed, or a field is unknown, missing
            or of the wrong type.

    Examples:
        >>> from turmerichall import resources
        >>> decode(b'{"processors": 2}', resources.Resources).processors
        2.0
    """
    try:
        decoded = msgspec.json.decode(data, type=_schema(value_type))  # type: ignore[arg-type]
    except msgspec.DecodeError as error:
        finding = errors.Finding(place, str(error))
        raise errors.InputError([finding]) from error
    convert = _converter(value_type)  # type: ignore[arg-type]
    result: T = convert(decoded) if convert else decoded
    return result


@functools.cache
def _schema(value_type: Any) -> Any:
    """Return `value_type` with a msgspec struct for each `NamedTuple`.

    msgspec decodes JSON objects into structs, not into named tuples.
    """
    if _is_named_tuple(value_type):
        return _struct(value_type)
    if value_type is int:
        return _BoundedInteger
    arguments = get_args(value_type)
    if not arguments:
        return value_type
    schemas = tuple(_schema(item) for item in arguments)
    origin = get_origin(value_type)
    if origin in (list, dict, tuple):
        return origin[schemas]
    return functools.reduce(lambda left, right: left | right, schemas)


def _struct(value_type: type[NamedTuple]) -> type[msgspec.Struct]:
    hints = _hints(value_type)
    fields: list[Any] = []
    for name in value_type._fields:
        schema = _schema(hints[name])
        # pylint: disable-next=protected-access
        defaults = value_type._field_defaults
        if name in defaults:
            default = msgspec.field(default=defaults[name])
            fields.append((name, schema, default))
        else:
            fields.append((name, schema))
    return msgspec.defstruct(
        value_type.__name__, fields, forbid_unknown_fields=True, kw_only=True
    )


@functools.cache
def _hints(value_type: Any) -> dict[str, Any]:
    return get_type_hints(value_type)


@functools.cache
def _converter(value_type: Any) -> Callable[[Any], Any] | None:
    """Return a function that converts structs to `NamedTuple`s.

    Returns None if `value_type` contains no `NamedTuple`.
    """
    if _is_named_tuple(value_type):
        return _named_tuple_converter(value_type)
    inner = [_converter(item) for item in get_args(value_type)]
    if not any(inner):
        return None
    origin = get_origin(value_type)
    if origin is list:
        return lambda decoded: [_apply(inner[0], item) for item in decoded]
    if origin is tuple:
        return lambda decoded: tuple(_apply(inner[0], item) for item in decoded)
    if origin is dict:
        return lambda decoded: {
            key: _apply(inner[1], item) for key, item in decoded.items()
        }
    # Any other type that contains a `NamedTuple` is a union of one with `None`
    # or scalars.
    return next(convert for convert in inner if convert)


def _apply(convert: Callable[[Any], Any] | None, item: Any) -> Any:
    return convert(item) if convert else item


def _named_tuple_converter(
    value_type: type[NamedTuple],
) -> Callable[[Any], Any]:
    hints = _hints(value_type)
    names = value_type._fields
    inner = [
        (index, _converter(hints[name])) for index, name in enumerate(names)
    ]
    nested = [(index, convert) for index, convert in inner if convert]

    def convert_fields(decoded: Any) -> Any:
        # A value that is not a struct is a default, or of another type of a
        # union, and needs no conversion.
        if not isinstance(decoded, msgspec.Struct):
            return decoded
        fields = [getattr(decoded, name) for name in names]
        for index, convert in nested:
            fields[index] = convert(fields[index])
        return value_type._make(fields)

    return convert_fields


def _is_named_tuple(value_type: Any) -> bool:
    return (
        isinstance(value_type, type)
        and issubclass(value_type, tuple)
        and hasattr(value_type, "_fields")
    )
