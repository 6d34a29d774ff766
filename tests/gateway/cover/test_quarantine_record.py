"""The encoding of quarantines in the key-value service."""

import unittest

from bambootiller_core.gateway import quarantine_record
from bambootiller_core.gateway.crash_ledger import RETENTION_S, LostRun
from bambootiller_core.gateway.incarnation import Incarnation

KEY = quarantine_record.key_of("f1")
RUNS = (
    LostRun("f1", Incarnation("b1", 5), False, 90.0),
    LostRun("f1", Incarnation("b2"), True, 95.0),
)


class TestQuarantineRecord(unittest.TestCase):
    def test_another_process_reads_the_runs_with_their_ages(self):
        value = quarantine_record.encode(RUNS, now=100.0, unix_s=5000.0)
        found = quarantine_record.decode(KEY, value, now=7.0, unix_s=5020.0)
        self.assertEqual([run.lost_at for run in found], [-23.0, -18.0])
        same = [(run.fingerprint, run.incarnation, run.progressed) for run in RUNS]
        read = [(run.fingerprint, run.incarnation, run.progressed) for run in found]
        self.assertEqual(read, same)

    def test_with_a_clock_set_back_no_run_is_in_the_future(self):
        value = quarantine_record.encode(RUNS, now=100.0, unix_s=5000.0)
        found = quarantine_record.decode(KEY, value, now=7.0, unix_s=4000.0)
        self.assertEqual({run.lost_at for run in found}, {7.0})

    def test_expired_runs_are_dropped(self):
        value = quarantine_record.encode(RUNS, now=100.0, unix_s=5000.0)
        later = 5000.0 + RETENTION_S
        self.assertEqual(quarantine_record.decode(KEY, value, 7.0, later), ())

    def test_malformed_records_raise_value_error(self):
        for value in (b"", b"{}x", b"[1]", b'[{"instance": "b1"}]', b"\xff"):
            with self.subTest(value), self.assertRaises(ValueError):
                quarantine_record.decode(KEY, value, 0.0, 0.0)
