"""Numbers of the methods that nodes call on each other."""

from __future__ import annotations

import enum


class Method(enum.IntEnum):
    """Method number in a call or notification."""

    PUSH_RECORDS = 1
    COMPARE_DIGESTS = 2
    PULL_RECORDS = 3
    GET_VIEW = 4
    PROBE = 5
    GET_CHUNK = 10
    HAVE_VERSION = 11
    GET_HEAD = 12
    REPORT_EVIDENCE = 20
    LIST_CONFIRMATIONS = 21
    LIST_STANDS = 22
    LIST_SUMMARIES = 23
    OFFER_BUNDLE = 30
    FETCH_BUNDLE = 31
    READER_BEACON = 32
    REPORT_OUTCOMES = 33
