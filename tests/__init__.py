"""The tests of the whole workspace, by area and kind."""
