"""Search for the name of an unreadable object that the page does not tell."""

from __future__ import annotations

import typing as ty

from peridotmast import failures
from peridotmast.platform import framed_list
from peridotmast.platform import store_answers

ReadPage = ty.Callable[[str], ty.Union[store_answers.Page, failures.Failure]]
"""Reads the page that continues after a name."""


def find_name(
    unread: framed_list.Unread, after: str, read_page: ReadPage
) -> ty.Union[str, failures.Failure, None]:
    """Return the first name after which a page no longer has an object.

    The metadata of the object follow its value, which can contain other
    names. So all names in the text are candidates, and the store decides by
    bisection: a page that continues after an earlier name is the same.

    Parameters
    ----------
    unread : framed_list.Unread
        The rest of the page, which begins with the object.
    after : str
        Name after which the page continues.
    read_page : callable
        Reads the page that continues after a name.

    Returns
    -------
    str, Failure or None
        The name of the object. If the text does not have it, a later one, and
        no object of the store is between the two; None if there is none.
    """
    candidates = sorted(n for n in unread.find_names() if n > after)
    low, high = 0, len(candidates)
    while low < high:
        middle = (low + high) // 2
        page = read_page(candidates[middle])
        if isinstance(page, failures.Failure):
            return page
        if page.begins_with_list(unread):
            low = middle + 1
        else:
            high = middle
    return candidates[low] if low < len(candidates) else None
