"""Slot keeping: the entries create, repair and place the slots of models.

No entry leads. For each model the entries are ranked by rendezvous hashing; the first
acts at once and each next one only if the work still stands after a while, so that a
paused first entry holds nothing up. Safety never depends on who acts, because every
change is a compare-and-swap of the model's one table.
"""

from bambootiller.slotkeeping.keeper import SlotKeeper

__all__ = ["SlotKeeper"]
