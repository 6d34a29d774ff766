"""A trial on virtual time, with the experiments' own code."""

from __future__ import annotations

from dataclasses import replace

from bambootiller_core.backend import BackendCore
from bambootiller_core.backend_effects import Effect
from bambootiller_core.types import Request
from bambootiller_standins.agreement._figures import Answer, RunFigures, run_figures
from bambootiller_standins.agreement._scenarios import ANSWER_TOKENS, Trial
from bambootiller_standins.experiments.fleet import RunSpec, simulate
from bambootiller_standins.experiments.policies import OWN, Policy
from bambootiller_standins.experiments.records import RunResult


def _say_answers_length(core: BackendCore) -> None:
    """Have requests say how long their answers may get, as those of a trial do.

    The experiments' callers all allow more tokens than any answer has. The stand-in
    engine gives exactly as many as a caller allows, so real callers must say the truth,
    and the core's estimates use it.
    """
    arrive = core.arrive

    def shorter(now: float, req: Request) -> list[Effect]:
        return arrive(now, replace(req, max_tokens=ANSWER_TOKENS))

    core.arrive = shorter


POLICY = Policy(
    OWN, "the core's own decisions", prepare=_say_answers_length, baseline=False
)


def simulated(trial: Trial, seed: int) -> RunResult:
    """Run a trial on virtual time; its records carry the arrivals."""
    return simulate(RunSpec(trial.scenario, trial.sizes, POLICY, seed))


def virtual_figures(result: RunResult) -> RunFigures:
    """The figures of a run on virtual time.

    That a model has more loaded replicas than its cap is one of the rules that the
    experiments themselves watch, at each arrival.
    """
    answers = [
        Answer(record.cold, record.ending, record.first_token_s, record.code)
        for record in result.records
    ]
    return run_figures(
        answers,
        loads=result.loads,
        idle_s=result.idle_s,
        loaded_s=result.loaded_s,
        most_over_cap=0,
        broken=result.broken,
    )
