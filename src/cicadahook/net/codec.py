"""Cap'n Proto encoding of the messages between the system's processes."""

import functools
import importlib.resources
from typing import Any, Final, Generic, TypeVar

import capnp
import pydantic
from pydantic import alias_generators

from cicadahook.core import errors
from cicadahook.core import view
from cicadahook.core import view_patch

MessageT = TypeVar("MessageT")

# Numbers in messages have at most 64 bits.
MAX_NUMBER: Final = 2**64 - 1


class EncodeError(errors.CicadaError):
    """A value of a message has no place in its encoded form."""


class DecodeError(errors.CicadaError):
    """A message is not valid Cap'n Proto or contains invalid values."""


@functools.cache
def load_schema(name: str) -> Any:
    """Return the compiled schema module of `name`.capnp."""
    capnp.remove_import_hook()
    path = importlib.resources.files("cicadahook") / "schema" / f"{name}.capnp"
    return capnp.load(str(path))


class Codec(Generic[MessageT]):
    """Encodes one frozen data class as the schema struct of the same name."""

    def __init__(self, message_type: type[MessageT], schema: str) -> None:
        self.adapter = pydantic.TypeAdapter(message_type)
        self.struct = getattr(load_schema(schema), message_type.__name__)

    def encode(self, message: MessageT) -> bytes:
        """Return the bytes of `message`.

        Raises:
            EncodeError: the schema has no place for a value.
        """
        fields = self.adapter.dump_python(message, mode="json")
        try:
            encoded: bytes = self.struct.new_message(
                **_rename(fields, _to_camel)
            ).to_bytes_packed()
        except (capnp.KjException, OverflowError) as error:
            raise EncodeError(f"{self.struct}: {error}") from error
        return encoded

    def decode(self, data: bytes) -> MessageT:
        """Return the message in `data`.

        Raises:
            DecodeError: `data` is not a message of this type.
        """
        try:
            fields = self.struct.from_bytes_packed(data).to_dict()
            return self.adapter.validate_python(_rename(fields, _to_snake))
        except (capnp.KjException, ValueError) as error:
            raise DecodeError(f"bad {self.struct}: {error}") from error


_to_camel = functools.cache(alias_generators.to_camel)
_to_snake = functools.cache(alias_generators.to_snake)


def _rename(value: Any, rename: Any) -> Any:
    """Return `value` with all field names passed through `rename`."""
    if isinstance(value, dict):
        return {
            rename(name): _rename(field, rename)
            for name, field in value.items()
        }
    if isinstance(value, list | tuple):
        return [_rename(item, rename) for item in value]
    return value


VIEWS: Final = Codec(view.View, "link")
PATCHES: Final = Codec(view_patch.ViewPatch, "patch")
REPORTS: Final = Codec(view.Report, "link")
