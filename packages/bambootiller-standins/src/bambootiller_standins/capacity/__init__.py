"""What each role costs, measured on one machine: ``make capacity``.

Each measurement is a coroutine in a registry. It gives series of points and single
values, which are written as raw JSON beside the page; slopes are fitted by least
squares. The page is made from a text with places for these figures, so that it can't
say anything that the latest run hasn't shown.
"""
