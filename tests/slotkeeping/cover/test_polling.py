"""How often the instance list is asked for, and what an unchanged answer costs."""

import unittest

from bambootiller.instances import (
    POLL_BYTES_PER_SECOND,
    POLL_SECONDS,
    InstanceList,
    poll_period,
)

BODY = b'[{"targets": ["127.0.0.1:1"], "labels": {"instance": "i-1", "role": "agent"}}]'


class PollingTests(unittest.TestCase):
    def test_a_short_list_is_polled_at_the_plain_period(self):
        self.assertEqual(poll_period(3_000), POLL_SECONDS)

    def test_a_long_list_never_takes_more_bytes_a_second_than_allowed(self):
        for received in (50_000, 700_000):
            rate = received / poll_period(received)
            self.assertLessEqual(rate, POLL_BYTES_PER_SECOND)

    def test_an_unchanged_answer_is_not_parsed_again(self):
        instances = InstanceList(None)
        first = instances._parsed(BODY)
        self.assertEqual([item.instance for item in first], ["i-1"])
        self.assertIs(instances._parsed(BODY), first)

    def test_an_answer_that_is_not_valid_is_not_remembered(self):
        instances = InstanceList(None)
        self.assertIsNone(instances._parsed(b'[{"targets": 3}]'))
        self.assertIsNotNone(instances._parsed(BODY))


if __name__ == "__main__":
    unittest.main()
