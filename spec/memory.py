"""
The memory ledger beside one backend server.

Models (adapters and KV cache stand in the same ledger and count as models here) have
sizes in units; the engine has a total, and this engine refuses nothing: whatever
arrives is loaded, so that only the ledger stands between an order and overcommitted
memory. Orders travel on a wire that may delay them, lose them, or lose their answer,
and that outlives their sender. A report of the engine's state may be old when the
agent reads it.
"""

from typing import NamedTuple

from spec._model import (
    Specification,
    Variant,
    changed,
    invariant,
    specification,
    step,
    step_only_in,
)

ABSENT, LOADING, LOADED, UNLOADING = "absent", "loading", "loaded", "unloading"
# What the ledger says of a model: nothing reserved; reserved with an order whose
# outcome is open; reserved for what the engine has confirmed; reserved with an unload
# that isn't confirmed.
NONE, ORDERED, HELD, LEAVING = "none", "ordered", "held", "leaving"
# A load order on the wire: sent by the running agent, or by one before it.
OWN, OLD, LAST = "own", "old", ""


class Model(NamedTuple):
    """
    One model: its phase on the engine, its ledger entry, the wire in between.

    `changed` says that the ledger's entry or order changed after the report on the
    wire was taken, so that the report says nothing about this model.
    """

    phase: str = ABSENT
    entry: str = NONE
    load: str = LAST
    unload: bool = False
    changed: bool = False


class State(NamedTuple):
    """`report` is an engine report on the wire: the models that it says are there."""

    models: tuple[Model, ...]
    agent_up: bool = True
    settled: bool = True
    report: frozenset[int] | None = None


@specification
class Memory(Specification):
    """Reserve before the order, release after the engine's word."""

    name = "memory"
    title = "Accelerator memory is reserved before an order and released on evidence"
    default_bounds = {"sizes": (1, 1, 2), "total": 2}
    larger_bounds = ({"sizes": (1, 1, 1, 2), "total": 3},)
    variants = {
        "order_before_reserving": Variant(
            "a load is ordered when the engine's report has room, without counting"
            " the orders whose outcome is open",
            "memory_not_overcommitted",
        ),
        "release_memory_before_confirm": Variant(
            "the ledger releases a model when its unload is ordered, before the engine"
            " has confirmed it",
            "memory_not_overcommitted",
        ),
        "release_memory_on_lost_answer": Variant(
            "the ledger releases a load whose answer was lost",
            "memory_not_overcommitted",
        ),
        "trust_old_report": Variant(
            "the ledger releases what a report does not show, though the report was"
            " taken before the load order arrived",
            "memory_not_overcommitted",
        ),
        "trust_engine_at_take_over": Variant(
            "a new agent takes the engine's state for the whole truth at once, while"
            " an order of the agent before it may be on the wire",
            "memory_not_overcommitted",
        ),
        "count_confirmed_loads_only": Variant(
            "a new agent counts the models that are loaded and not those that the"
            " engine is still loading",
            "memory_not_overcommitted",
        ),
    }

    def initial(self) -> State:
        # `canonical` sorts models of one size into each other's places alone.
        assert list(self.bounds["sizes"]) == sorted(self.bounds["sizes"])
        return State(tuple(Model() for _ in self.bounds["sizes"]))

    def canonical(self, state: State) -> State:
        """Models of one size are alike: sort them, and rename them in the report."""
        sizes = self.bounds["sizes"]
        report = state.report or frozenset()
        order = sorted(
            range(len(sizes)), key=lambda n: (sizes[n], state.models[n], n in report)
        )
        if order == sorted(order):
            return state
        new = {old: new for new, old in enumerate(order)}
        return state._replace(
            models=tuple(state.models[old] for old in order),
            report=state.report and frozenset(new[n] for n in report),
        )

    # Helpers.

    def _reserved(self, state: State) -> int:
        """What the agent counts: its ledger, or more where the engine shows more."""
        sizes = self.bounds["sizes"]
        if self.without("order_before_reserving"):
            return sum(s for s, m in zip(sizes, state.models) if m.phase != ABSENT)
        return sum(s for s, m in zip(sizes, state.models) if m.entry != NONE)

    @staticmethod
    def _with(state: State, number: int, **values) -> State:
        model = state.models[number]._replace(**values)
        return state._replace(models=changed(state.models, number, model))

    # The agent.

    @step
    def agent_orders_load(self, state: State):
        if not state.agent_up:
            return
        free = self.bounds["total"] - self._reserved(state)
        for number, model in enumerate(state.models):
            idle = model.entry == NONE and model.load == LAST
            if idle and self.bounds["sizes"][number] <= free:
                values = {"entry": ORDERED, "load": OWN, "changed": True}
                yield (number,), self._with(state, number, **values)

    @step
    def agent_orders_unload(self, state: State):
        if not state.agent_up:
            return
        early = self.without("release_memory_before_confirm")
        for number, model in enumerate(state.models):
            if model.entry == HELD and not model.unload:
                values = {"entry": NONE if early else LEAVING, "unload": True}
                yield (number,), self._with(state, number, **values)

    @step
    def agent_hears_order_settled(self, state: State):
        """The engine's list of orders shows the load done or failed, or it is too
        old to be on its way any more; the engine's state settles which."""
        if not state.agent_up:
            return
        for number, model in enumerate(state.models):
            if model.entry != ORDERED or model.load != LAST or not state.settled:
                continue
            if model.phase == ABSENT:
                values = {"entry": NONE, "changed": True}
                yield (number,), self._with(state, number, **values)
            elif model.phase == LOADED:
                values = {"entry": HELD, "changed": True}
                yield (number,), self._with(state, number, **values)

    @step
    def agent_hears_unload_settled(self, state: State):
        if not state.agent_up:
            return
        for number, model in enumerate(state.models):
            if model.entry != LEAVING:
                continue
            refused = model.phase == LOADED and not model.unload
            if model.phase == ABSENT or refused:
                values = {"entry": HELD if refused else NONE, "changed": True}
                yield (number,), self._with(state, number, **values)

    @step
    def agent_reads_report(self, state: State):
        """
        A report releases what was confirmed before it was taken and is gone in it
        (the engine restarted), and adds what the ledger does not know.
        """
        if not state.agent_up or state.report is None or not state.settled:
            return
        models = []
        for number, model in enumerate(state.models):
            shown = number in state.report
            trusted = not model.changed or self.without("trust_old_report")
            if trusted and not shown:
                model = model._replace(entry=NONE)
            elif trusted and shown and model.entry == NONE:
                model = model._replace(entry=HELD)
            models.append(model._replace(changed=False))
        yield (), state._replace(models=tuple(models), report=None)

    @step
    def report_is_taken(self, state: State):
        if state.agent_up and state.report is None:
            present = (n for n, m in enumerate(state.models) if m.phase != ABSENT)
            # Orders that are open say nothing yet, whenever the report was taken.
            models = tuple(
                m._replace(changed=m.load != LAST or m.entry == ORDERED)
                for m in state.models
            )
            yield (), state._replace(models=models, report=frozenset(present))

    @step
    def agent_settles(self, state: State):
        """After its settle time a new agent takes the engine's state as its ledger."""
        if not state.agent_up or state.settled:
            return
        early = self.without("trust_engine_at_take_over")
        if not early and any(m.load == OLD for m in state.models):
            return
        if self.without("count_confirmed_loads_only"):
            entries = {ABSENT: NONE, LOADING: NONE, LOADED: HELD, UNLOADING: NONE}
        else:
            entries = {ABSENT: NONE, LOADING: ORDERED, LOADED: HELD, UNLOADING: LEAVING}
        models = tuple(
            m if m.load == OWN else m._replace(entry=entries[m.phase], changed=True)
            for m in state.models
        )
        yield (), state._replace(models=models, settled=True)

    @step_only_in("release_memory_on_lost_answer")
    def agent_releases_on_lost_answer(self, state: State):
        for number, model in enumerate(state.models):
            if state.agent_up and model.entry == ORDERED:
                yield (number,), self._with(state, number, entry=NONE)

    # The wire and the engine.

    @step
    def load_arrives(self, state: State):
        """A model that is there already, or on its way, isn't loaded twice."""
        for number, model in enumerate(state.models):
            if model.load == LAST:
                continue
            phase = LOADING if model.phase == ABSENT else model.phase
            yield (number,), self._with(state, number, load=LAST, phase=phase)

    @step
    def load_is_lost(self, state: State):
        for number, model in enumerate(state.models):
            if model.load != LAST:
                yield (number,), self._with(state, number, load=LAST)

    @step
    def load_ends(self, state: State):
        for number, model in enumerate(state.models):
            if model.phase == LOADING:
                for phase in (LOADED, ABSENT):
                    yield (number, phase), self._with(state, number, phase=phase)

    @step
    def unload_arrives(self, state: State):
        for number, model in enumerate(state.models):
            if model.unload:
                phase = UNLOADING if model.phase == LOADED else model.phase
                yield (number,), self._with(state, number, unload=False, phase=phase)

    @step
    def unload_is_lost(self, state: State):
        for number, model in enumerate(state.models):
            if model.unload:
                yield (number,), self._with(state, number, unload=False)

    @step
    def unload_ends(self, state: State):
        for number, model in enumerate(state.models):
            if model.phase == UNLOADING:
                yield (number,), self._with(state, number, phase=ABSENT)

    # Faults.

    @step
    def engine_restarts(self, state: State):
        """Its memory is empty again; an order on the wire still arrives."""
        models = tuple(m._replace(phase=ABSENT) for m in state.models)
        if models != state.models:
            yield (), state._replace(models=models)

    @step
    def agent_is_killed(self, state: State):
        if state.agent_up:
            models = tuple(
                m._replace(entry=NONE, load=OLD if m.load else LAST, changed=False)
                for m in state.models
            )
            yield (), State(models, agent_up=False, settled=False)

    @step
    def agent_starts(self, state: State):
        """Until it has settled, every model with a slot here stays reserved."""
        if state.agent_up:
            return
        models = tuple(m._replace(entry=ORDERED) for m in state.models)
        yield (), state._replace(models=models, agent_up=True)

    # Invariants.

    @invariant
    def memory_not_overcommitted(self, state: State) -> bool:
        """What the engine holds, loads in flight included, fits its memory."""
        sizes = self.bounds["sizes"]
        used = sum(s for s, m in zip(sizes, state.models) if m.phase != ABSENT)
        return used <= self.bounds["total"]

    @invariant
    def ledger_covers_engine(self, state: State) -> bool:
        """A settled ledger reserves everything that is there or may still come."""
        if not state.agent_up or not state.settled:
            return True
        return all(
            m.entry != NONE for m in state.models if m.phase != ABSENT or m.load != LAST
        )
