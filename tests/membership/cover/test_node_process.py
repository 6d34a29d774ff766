"""A node process of a test that doesn't start."""

import unittest

from tests.membership.common.process import NodeProcess


class TestFailedStart(unittest.IsolatedAsyncioTestCase):
    async def test_it_is_told_with_its_exit_code_and_its_last_lines(self):
        with self.assertRaisesRegex(AssertionError, "(?s)i-9: exit code 1.*ValueError"):
            await NodeProcess.start("i-9", "az-1", "http://127.0.0.1:9", "no-address")
