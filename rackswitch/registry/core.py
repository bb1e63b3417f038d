"""Registry of interchangeable implementations by name."""

from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["Registry", "UnknownNameError"]

T = TypeVar("T")


class UnknownNameError(KeyError):
    """No implementation is registered under the name."""

    def __str__(self) -> str:
        return str(self.args[0])


class Registry(Generic[T]):
    """Implementations by name.

    Parameters
    ----------
    subject : str
        What the entries are, for error messages.
    """

    __slots__ = ("_entries", "_subject")

    def __init__(self, subject: str):
        self._subject = subject
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its argument under `name`.

        Raises
        ------
        ValueError
            If the name is already registered.
        """

        def decorate(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._subject} {name!r} is already registered")
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> T:
        """Return the entry registered under `name`.

        Raises
        ------
        UnknownNameError
            If there is none; the message lists the known names.
        """
        if name not in self._entries:
            known = ", ".join(self.names())
            raise UnknownNameError(f"unknown {self._subject} {name!r}; known: {known}")
        return self._entries[name]

    def __contains__(self, name: object) -> bool:
        return name in self._entries

    def names(self) -> list[str]:
        """Return the known names, sorted."""
        return sorted(self._entries)
