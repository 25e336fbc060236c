"""Tests of content digests, which are equal for equal requests with different ids."""

import unittest
from dataclasses import replace

from larkpost.gateway.blackboard.request_content import digest_request
from larkpost.gateway.blackboard.tenants import TenantName
from larkpost.gateway.proxy.request import ClientRequest
from tests.platform_fleet import make_batch

FIRST = ClientRequest(b"1", "POST", b"Pages.example:80", b"/x/1?a", (), b"body", 0.0, 1.0)


class ContentTest(unittest.TestCase):
    """Requests with equal and with different contents."""

    def test_id_headers_and_time_do_not_count(self):
        again = replace(FIRST, request_id=b"2", headers=((b"a", b"b"),), received_at=9.0)
        self.assertEqual(digest_request(FIRST), digest_request(again))
        self.assertEqual(
            digest_request(FIRST), digest_request(replace(FIRST, host=b"pages.EXAMPLE"))
        )

    def test_caller_method_host_target_and_body_count(self):
        others = (
            replace(FIRST, tenant=TenantName("other")),
            replace(FIRST, method="GET"),
            replace(FIRST, host=b"other.example"),
            replace(FIRST, target=b"/x/1?b"),
            replace(FIRST, body=b"bodY"),
            replace(FIRST, target=b"/x/1?ab", body=b"ody"),
        )
        self.assertEqual(7, len({digest_request(request) for request in (FIRST, *others)}))

    def test_equal_items_of_two_batches_have_one_digest(self):
        first, second = make_batch("first"), make_batch("second")
        contents = [[item.content(batch) for item in batch.items] for batch in (first, second)]
        self.assertEqual(*contents)
        self.assertEqual(len(first.items), len(set(contents[0])))
