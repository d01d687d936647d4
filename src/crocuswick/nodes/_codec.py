"""Compact msgpack encoding of typed messages.

A message is encoded as an array of two items: the registered code of its class and a
map of its fields. The keys of the map are letters that stand for the positions of the
fields in the class. Fields with their default value are omitted and unknown fields
are ignored, so new fields may be added only at the end of a class.
"""

from __future__ import annotations

import string
from typing import TYPE_CHECKING, Any, TypeVar

import attrs
import cattrs
import msgpack
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override
from result import Err, Ok

from crocuswick.errors import PeerError
from crocuswick.outcome import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

__all__ = ["MessageRegistry"]

MessageType = TypeVar("MessageType", bound=type)


class MessageRegistry:
    """Message classes of one protocol and their codes on the wire."""

    def __init__(self, *, protocol: str):
        """Create an empty registry.

        Args:
            protocol: Name of the protocol, used in errors.
        """
        self._protocol = protocol
        self._types_by_code: dict[int, type] = {}
        self._codes_by_type: dict[type, int] = {}
        self._converter = cattrs.Converter(detailed_validation=False)
        self._converter.register_unstructure_hook_factory(
            attrs.has, self._unstructure_function
        )
        self._converter.register_structure_hook_factory(
            attrs.has, self._structure_function
        )
        self._converter.register_unstructure_hook(bytes, lambda value: value)
        self._converter.register_structure_hook(bytes, _structure_bytes)

    def message(self, *, code: int) -> Callable[[MessageType], MessageType]:
        """Return a decorator that registers a message class.

        Args:
            code: Number that stands for the class on the wire.

        Raises:
            ValueError: If the code is already in use.
        """
        if code in self._types_by_code:
            raise ValueError(f"code {code} is already registered in {self._protocol}")

        def register(message_type: MessageType) -> MessageType:
            self._types_by_code[code] = message_type
            self._codes_by_type[message_type] = code
            return message_type

        return register

    def encode(self, message: Any) -> bytes:
        """Encode a registered message."""
        code = self._codes_by_type[type(message)]
        value = self._converter.unstructure(message)
        return msgpack.packb([code, value], use_single_float=True)

    def decode(self, body: bytes, *, peer: str) -> Result[Any, PeerError]:
        """Decode a registered message.

        Args:
            body: Output of `encode`.
            peer: Sender of the bytes, used in errors.
        """
        try:
            code, value = msgpack.unpackb(body)
            return Ok(self._converter.structure(value, self._types_by_code[code]))
        except (
            ArithmeticError,
            AttributeError,
            LookupError,
            TypeError,
            ValueError,
            msgpack.UnpackException,
        ) as error:
            return Err(
                PeerError(
                    step="decode",
                    peer=peer,
                    detail=f"{self._protocol}: {type(error).__name__}: {error}",
                    outcome=Outcome.NOT_RUN,
                )
            )

    def _unstructure_function(self, message_type: type) -> Callable[[Any], Any]:
        return make_dict_unstructure_fn(
            message_type,
            self._converter,
            _cattrs_omit_if_default=True,
            **_overrides(message_type),
        )

    def _structure_function(self, message_type: type) -> Callable[[Any, Any], Any]:
        return make_dict_structure_fn(
            message_type,
            self._converter,
            _cattrs_detailed_validation=False,
            **_overrides(message_type),
        )


def _overrides(message_type: type) -> dict[str, Any]:
    fields = attrs.fields(message_type)
    letters = string.ascii_letters[: len(fields)]
    return {
        field.name: override(rename=letter)
        for field, letter in zip(fields, letters, strict=True)
    }


def _structure_bytes(value: Any, _: type) -> bytes:
    if not isinstance(value, bytes):
        raise TypeError(f"expected bytes, got {type(value).__name__}")
    return value
