"""Numbers in header fields, whose senders choose any number of digits."""

import re

__all__ = ['MAX_NUMBER', 'parse']

# Larger numbers count as this one; arithmetic with them may fail.
MAX_NUMBER = 10**15
_DIGITS = re.compile(r'0*([0-9]{1,15})')
_NUMBER = re.compile(r'[0-9]+')


def parse(text: str | None) -> int | None:
    """Parse a whole number.

    :param text: value of a field, blanks around it included; None without it
    :returns: the number, at most ``MAX_NUMBER``; None if it is none
    """
    stripped = (text or '').strip()
    if match := _DIGITS.fullmatch(stripped):
        return int(match[1])
    return MAX_NUMBER if _NUMBER.fullmatch(stripped) else None
