import math
import unittest

from bambootiller_standins.capacity._slopes import Series, fit, plane


class SlopesTests(unittest.TestCase):
    def test_a_line_through_exact_points_has_its_slope_and_no_spread(self):
        line = fit(((1, 5.0), (2, 7.0), (4, 11.0)))
        self.assertAlmostEqual(line.slope, 2.0)
        self.assertAlmostEqual(line.intercept, 3.0)
        self.assertAlmostEqual(line.spread, 0.0)
        self.assertAlmostEqual(line.at(10), 23.0)

    def test_the_spread_is_the_standard_error_of_the_slope(self):
        line = fit(((0, 0.0), (1, 2.0), (2, 1.0), (3, 3.0)))
        # Worked by hand: residuals -0.3, 0.9, -0.9, 0.3; 1.8 over 2, over 5.
        self.assertAlmostEqual(line.slope, 0.8)
        self.assertAlmostEqual(line.spread, math.sqrt(1.8 / 2 / 5))
        self.assertAlmostEqual(line.spread_at(10), 10 * line.spread)

    def test_two_points_give_a_line_whose_spread_is_not_known(self):
        series = Series("sizes", "members", "bytes", ((1, 3), (3, 7)))
        self.assertEqual(series.fit().spread, math.inf)
        self.assertIsNone(series.form()["fit"]["spread"])

    def test_one_value_of_x_is_refused_with_what_is_needed(self):
        with self.assertRaisesRegex(ValueError, "two values of x or more"):
            fit(((1, 3.0), (1, 4.0)))

    def test_two_slopes_are_told_apart(self):
        rows = [(x, y, 3.0 * x + 0.5 * y) for x in (1, 2, 5) for y in (10, 40)]
        (first, spread), (second, _) = plane(rows)
        self.assertAlmostEqual(first, 3.0)
        self.assertAlmostEqual(second, 0.5)
        self.assertLess(spread, 1e-9)
