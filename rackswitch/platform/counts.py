"""Counts in the headers and events of targets, as decimal digits."""

__all__ = ["parse_count"]


def parse_count(text: str, max_digits: int) -> int | None:
    """Return a non-negative integer, or None if the text is none or has too many digits.

    Parameters
    ----------
    text : str
        ASCII digits; white space around them is ignored.
    max_digits : int
        Bounds the number, and the cost of its conversion.
    """
    digits = text.strip()
    if not digits.isascii() or not digits.isdigit() or len(digits) > max_digits:
        return None
    return int(digits)
