"""Request and response headers of the platform's protocol."""

import unittest

from bambootiller.gateway.ports import AnswerHead, AnswerKind, Unreadable
from bambootiller_core.gateway.config import CallKind
from bambootiller_core.gateway.customers import Customer
from bambootiller_platform.dialect import PlatformDialect
from tests.gateway.common import samples


def scope(*headers, path=b"/a/b", query=b"", method="POST"):
    base = [(b"host", b"classes.example"), (b"x-request-attempt", b"r-1")]
    return {
        "method": method,
        "raw_path": path,
        "query_string": query,
        "headers": base + list(headers),
    }


class TestRequestParsing(unittest.TestCase):
    def setUp(self):
        self.dialect = PlatformDialect()

    def test_headers_of_a_model_call_are_parsed(self):
        found = self.dialect.read(
            scope(
                (b"x-model", b"tutor/a3"),
                (b"x-token-usage", b"1460,80"),
                (b"x-prompt-prefix", b"5c:800,91:410,e4:250"),
                (b"x-deadline-ms", b"10000"),
                (b"last-event-id", b"12"),
                query=b"q=1",
            )
        )
        self.assertEqual(
            (found.model_request.model, found.model_request.adapter), ("tutor", "a3")
        )
        self.assertEqual(
            (found.model_request.prompt_tokens, found.model_request.max_tokens),
            (1460, 80),
        )
        self.assertEqual(found.model_request.prefix, ("5c", "91", "e4"))
        self.assertEqual(found.model_request.shared_parts, ("5c", "91"))
        self.assertEqual((found.deadline_s, found.resume_after), (10.0, 12))
        self.assertEqual(found.target, b"/a/b?q=1")

    def test_internal_headers_are_removed(self):
        """Symptom: a caller picks its backend server, or reserves memory on one.

        It sends a header that only the gateway may set, and the entry forwards it.
        """
        names = (
            b"x-expected-instance",
            b"x-hold",
            b"x-pin-ms",
            b"x-kv-backup",
            b"kv-from",
            b"kv-fetch",
            b"x-request-priority",
            b"x-expected-version",
        )
        found = self.dialect.read(scope(*((name, b"1") for name in names)))
        self.assertFalse({name for name, _ in found.headers} & set(names))

    def test_hop_by_hop_headers_are_removed(self):
        found = self.dialect.read(
            scope((b"connection", b"x-mine, close"), (b"x-mine", b"1"), (b"te", b"x"))
        )
        names = {name for name, _ in found.headers}
        self.assertFalse(names & {b"connection", b"x-mine", b"te"})

    def test_an_invalid_deadline_is_reported(self):
        found = self.dialect.read(scope((b"x-deadline-ms", b"soon")))
        self.assertIsInstance(found, Unreadable)
        self.assertIn("soon", found.detail)


class TestBackendHeaders(unittest.TestCase):
    def test_an_attempt_carries_its_backend_server_and_resume_position(self):
        dialect = PlatformDialect()
        incoming = dialect.read(scope((b"x-model", b"tutor"), (b"accept", b"*/*")))
        route = samples.route(CallKind.STREAM, priority=1)
        call = samples.call(route, model_request=samples.model_request())
        headers = dict(dialect.request_headers(incoming, call, "i-7", 4))
        self.assertEqual(headers[b"x-expected-instance"], b"i-7")
        self.assertEqual(headers[b"last-event-id"], b"4")
        self.assertEqual(headers[b"x-request-priority"], b"1")
        self.assertEqual(headers[b"accept"], b"*/*")
        self.assertEqual(dialect.time_left_header(1.5), (b"x-deadline-ms", b"1500"))


class TestResponseClassification(unittest.TestCase):
    def classify(self, status, *headers):
        call = samples.call()
        return PlatformDialect().classify(call, AnswerHead(status, headers))

    def test_a_signed_response_is_accepted(self):
        seal = (b"x-response-seal", b"s")
        for status in (200, 500, 404):
            self.assertIs(self.classify(status, seal), AnswerKind.ANSWER)

    def test_a_response_to_another_call_is_stray(self):
        found = self.classify(
            200, (b"x-response-seal", b"s"), (b"x-request-attempt", b"r-0")
        )
        self.assertIs(found, AnswerKind.STRAY)

    def test_responses_that_promise_no_execution(self):
        self.assertIs(self.classify(503, (b"x-not-executed", b"1")), AnswerKind.NOT_RUN)
        self.assertIs(self.classify(421), AnswerKind.MISDIRECTED)

    def test_a_bare_503_may_have_been_executed(self):
        self.assertIs(self.classify(503), AnswerKind.USELESS)

    def test_an_unsigned_or_encoded_success_is_useless(self):
        self.assertIs(self.classify(200), AnswerKind.USELESS)
        found = self.classify(
            200, (b"x-response-seal", b"s"), (b"content-encoding", b"gzip")
        )
        self.assertIs(found, AnswerKind.USELESS)

    def test_a_status_that_the_http_server_cannot_send_is_useless(self):
        seal, not_run = (b"x-response-seal", b"s"), (b"x-not-executed", b"1")
        for status in (0, 99, 600, 999):
            self.assertIs(self.classify(status, seal), AnswerKind.USELESS)
            self.assertIs(self.classify(status, not_run), AnswerKind.USELESS)
        self.assertIs(self.classify(599, seal), AnswerKind.ANSWER)


class TestCustomers(unittest.TestCase):
    def read(self, *headers):
        return PlatformDialect().read(scope(*headers))

    def sent(self, call, *headers):
        incoming = self.read(*headers)
        return dict(PlatformDialect().request_headers(incoming, call, "i-1", None))

    def test_the_customer_name_replaces_what_the_caller_sent(self):
        call = samples.call(keyed=True, customer=Customer("first", priority=0))
        claimed = ((b"authorization", b"Bearer k"), (b"x-tenant", b"second"))
        sent = self.sent(call, *claimed)
        self.assertEqual(sent[b"x-tenant"], b"first")
        self.assertNotIn(b"authorization", sent)

    def test_a_public_route_forwards_no_key(self):
        sent = self.sent(samples.call(keyed=True), (b"authorization", b"Bearer k"))
        self.assertNotIn(b"authorization", sent)
        self.assertNotIn(b"x-tenant", sent)

    def test_without_customers_credentials_are_forwarded(self):
        sent = self.sent(samples.call(), (b"authorization", b"Bearer k"))
        self.assertEqual(sent[b"authorization"], b"Bearer k")

    def test_customer_priority_overrides_route_priority(self):
        model_request = samples.model_request()
        call = samples.call(
            model_request=model_request, keyed=True, customer=Customer("c", priority=0)
        )
        self.assertEqual(self.sent(call)[b"x-request-priority"], b"0")

    def test_a_key_listed_in_the_connection_header_is_still_read(self):
        incoming = self.read(
            (b"authorization", b"Bearer k"), (b"connection", b"authorization")
        )
        self.assertIsNotNone(incoming.key)

    def test_token_usage_needs_two_valid_numbers(self):
        for text, tokens in (
            (b"1460,80", 1540),
            (b"1460", None),
            (b"a,b", None),
            (b"1,2,3", None),
            (b"inf,1", None),
            (b"-4,1", None),
        ):
            with self.subTest(text=text):
                found = self.read((b"x-token-usage", text)).tokens
                self.assertEqual(found, tokens)


class TestServerLimit(unittest.TestCase):
    def limit(self, *headers):
        return PlatformDialect().limit(AnswerHead(200, headers))

    def test_a_limit_is_a_decimal_number(self):
        self.assertEqual(self.limit((b"server-limit", b"1.9")), 1.9)
        self.assertIsNone(self.limit((b"retry-after", b"1.9")))

    def test_invalid_limits_are_reported(self):
        for text in (b"", b"many", b"-1", b"nan", b"inf"):
            with self.subTest(text=text):
                found = self.limit((b"server-limit", text))
                self.assertIsInstance(found, Unreadable)
