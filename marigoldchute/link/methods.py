"""Numbers of the methods that nodes call on each other."""

from __future__ import annotations

import enum


class Method(enum.IntEnum):
    """Method number in a call or notification."""

    PUSH_RECORDS = 1
    COMPARE_DIGESTS = 2
    PULL_RECORDS = 3
    GET_CONTACT_REPORT = 4
    PROBE = 5
    GET_CHUNK = 10
    ANNOUNCE_VERSION = 11
    GET_NEWEST_MANIFEST = 12
    REPORT_EVIDENCE = 20
    LIST_MEMBER_REPORTS = 21
    LIST_CONFIRMATION_DIGESTS = 22
    LIST_SUMMARIES = 23
    OFFER_BUNDLE = 30
    FETCH_BUNDLE = 31
    READER_BEACON = 32
    REPORT_OUTCOMES = 34  # 33 carried a single report.
    COLLECT_OUTCOMES = 35
    REPORT_QUOTA_USE = 40
    COLLECT_QUOTA_USE = 41
    REPORT_RUNS = 50
