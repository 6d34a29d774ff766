"""The parts of :mod:`bambootiller.peers`: calls, wire forms, the watch, the
servicer."""
