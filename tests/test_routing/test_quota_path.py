"""Tests of quotas on the request path: what takes quota and what returns it."""

from __future__ import annotations

from typing import Any

from marigoldchute.bundle.customer_keys import digest_key
from marigoldchute.bundle.model import Customer
from marigoldchute.errors import NotRunError, RequestError, ResultCode
from marigoldchute.quota.messages import Shares, customer_id
from marigoldchute.routing.entry import MAX_REFUSED_ATTEMPTS
from tests.support.path_in_process import ROUTE, LocalPath
from tests.test_routing.test_access import (
    KEY,
    PUBLIC,
    AccessTestCase,
    bearer,
    encode_request,
    status_of,
)

LIMITED = Customer("acme", (digest_key(KEY),), None, 10.0, 5.0)
ACME_ID = customer_id("acme")


class QuotaPathTestCase(AccessTestCase):
    def limit(self, path: LocalPath, rate: float | None) -> None:
        """Put the customer in force, with an assigned share or without a limit."""
        path.put_in_force((ROUTE, PUBLIC), (LIMITED,))
        rates = {} if rate is None else {ACME_ID: rate}
        path.limiter.apply_shares(Shares(0, rates), 1e12)


class AdmissionTest(QuotaPathTestCase):
    def test_request_beyond_the_quota_gets_429_and_does_not_run(self) -> None:
        async def body(path: LocalPath) -> None:
            self.limit(path, 0.0)
            response = await path.send(encode_request(bearer(KEY)))
            self.assertEqual(status_of(response), 429)
            self.assertIn(b"marigoldchute-code: 531", response)
            self.assertIn(b"retry-after: ", response)
            self.assertEqual(self.received, [])
            self.assertEqual(path.limiter.take_usages(), {ACME_ID: (0, 1)})
            lines = [e for e in path.log.events if e.fields.get("code") == 531]
            self.assertEqual(lines[0].fields["customer"], "acme")
            self.assertEqual(lines[0].fields["share_of"], "coordinator")

        self.run_path(body)

    def test_request_takes_quota_once(self) -> None:
        async def body(path: LocalPath) -> None:
            self.limit(path, None)
            response = await path.send(encode_request(bearer(KEY)))
            self.assertEqual(status_of(response), 200)
            self.assertEqual(path.limiter.take_usages(), {ACME_ID: (1, 1)})

        self.run_path(body)

    def test_request_without_a_customer_takes_none(self) -> None:
        async def body(path: LocalPath) -> None:
            self.limit(path, 0.0)
            response = await path.send(encode_request(target=b"/p/x"))
            self.assertEqual(status_of(response), 200)
            self.assertEqual(path.limiter.take_usages(), {})

        self.run_path(body)


class ReturnTest(QuotaPathTestCase):
    """Only requests that run count."""

    def run_script(self, *results: Exception | None) -> tuple[int, Any]:
        """Return the status and the use of a request with these attempts."""
        script = list(results)
        outcome: list[Any] = []

        async def body(path: LocalPath) -> None:
            self.limit(path, None)
            execute = path.owner.execute

            async def run(*args: Any) -> None:
                result = script.pop(0)
                if result is not None:
                    raise result
                await execute(*args)

            path.owner.execute = run  # type: ignore[method-assign]
            path.entry._chooser.choose = _first  # type: ignore[method-assign]
            response = await path.send(encode_request(bearer(KEY)))
            usages = path.limiter.take_usages()
            outcome.append((status_of(response), usages.get(ACME_ID, (0, 0))[0]))

        self.run_path(body)
        return outcome[0]

    def test_rejected_request_returns_its_quota(self) -> None:
        refusal = NotRunError("full", ResultCode.REQUEST_NOT_RUN_OVERLOADED)
        refusals = [refusal] * MAX_REFUSED_ATTEMPTS
        self.assertEqual(self.run_script(*refusals), (503, 0))

    def test_request_that_runs_after_a_refusal_counts_once(self) -> None:
        refusal = NotRunError("full", ResultCode.REQUEST_NOT_RUN_OVERLOADED)
        self.assertEqual(self.run_script(refusal, None), (200, 1))

    def test_request_that_may_have_run_counts(self) -> None:
        lost = RequestError("lost")
        self.assertEqual(self.run_script(lost, lost), (502, 2))

    def test_each_run_of_a_repeated_request_counts(self) -> None:
        self.assertEqual(self.run_script(RequestError("lost"), None), (200, 2))


def _first(candidates: Any, attempted: Any, *args: Any) -> Any:
    attempted.clear()
    return candidates.own[0]
