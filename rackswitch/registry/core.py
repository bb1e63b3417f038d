"""A named set of interchangeable implementations."""

from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["Registry", "UnknownNameError"]

T = TypeVar("T")


class UnknownNameError(KeyError):
    """A name that no implementation was registered under."""

    def __str__(self) -> str:
        return str(self.args[0])


class Registry(Generic[T]):
    """Implementations by name.

    Parameters
    ----------
    subject : str
        What the entries are, for error texts.
    """

    __slots__ = ("_entries", "_subject")

    def __init__(self, subject: str):
        self._subject = subject
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that files its argument under `name`.

        Raises
        ------
        ValueError
            If the name is taken.
        """

        def decorate(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._subject} {name!r} is registered already")
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> T:
        """Return the entry called `name`.

        Raises
        ------
        UnknownNameError
            If there is none; the text lists the known names.
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
