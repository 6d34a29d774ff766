"""Which calls count as attempts of the same request."""

import unittest

from bambootiller_core.gateway.fingerprint import fingerprint

PARTS = {
    "method": "POST",
    "host": "a.example",
    "target": b"/x?y=1",
    "body": b"body",
}


class TestFingerprint(unittest.TestCase):
    def test_each_part_makes_a_difference(self):
        same = fingerprint(**PARTS)
        self.assertEqual(fingerprint(**PARTS), same)
        for name, value in PARTS.items():
            other = {**PARTS, name: value + value}
            with self.subTest(name):
                self.assertNotEqual(fingerprint(**other), same)

    def test_bytes_moved_between_parts_make_a_difference(self):
        first = fingerprint(**{**PARTS, "target": b"/xy", "body": b"z"})
        second = fingerprint(**{**PARTS, "target": b"/x", "body": b"yz"})
        self.assertNotEqual(first, second)
