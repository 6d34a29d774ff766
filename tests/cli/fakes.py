"""A fleet in memory, and the command line wired to fakes."""

import json
import tempfile
from pathlib import Path

from click.testing import CliRunner

from bambootiller.cli.main import main
from bambootiller.cli.wiring import Wiring
from bambootiller.operators.members import (
    Decisions,
    Explanation,
    MemberRef,
    MemberStatus,
    NoAnswer,
    NoMembers,
    Survey,
)
from bambootiller.settings import Settings
from tests.common.fakekv import FakeKeyValue

ENV = {"BAMBOOTILLER_KV_URL": "http://127.0.0.1:1", "BAMBOOTILLER_OPERATOR": "ada"}


def member(name, leaving=False, **versions):
    ref = MemberRef(f"127.0.0.1:{len(name)}", name, "agent", "az-1")
    return MemberStatus(ref, name, "agent", "az-1", leaving, versions, 1, 3, 3)


def silent(name, state="live"):
    ref = MemberRef("127.0.0.1:1", name, "agent", "az-1", state)
    return NoAnswer(ref, "unavailable")


class FakeFleet:
    """Answers with the surveys it was given, one a round, the last for ever."""

    def __init__(self, *surveys, decisions=()):
        self.surveys = list(surveys)
        self.decisions = decisions

    async def survey(self, progress=None):
        if not self.surveys:
            return NoMembers("nobody is configured")
        return self.surveys.pop(0) if len(self.surveys) > 1 else self.surveys[0]

    async def explain(self, subject, progress=None):
        found = tuple(Decisions("i-1", (item,)) for item in self.decisions)
        return Explanation(subject, found, ())

    async def close(self):
        pass


def survey(*members):
    answers = tuple(item for item in members if isinstance(item, MemberStatus))
    quiet = tuple(item for item in members if isinstance(item, NoAnswer))
    return Survey(answers, quiet)


class CommandLine:
    """Runs commands against a fake service and a fake fleet, in fake time."""

    def __init__(self, kv=None, fleet=None, env=ENV):
        self.kv = kv or FakeKeyValue()
        self.fleet = fleet or FakeFleet()
        self.env = env
        self.seconds = 0.0
        self._folder = tempfile.TemporaryDirectory(prefix="bambootiller-tests-")

    def close(self):
        self._folder.cleanup()

    def run(self, *args):
        wiring = Wiring(
            env=self.env,
            open_kv=self._kv,
            open_fleet=self._fleet,
            now=lambda: self.seconds,
            sleep=self._sleep,
        )
        # The real environment mustn't reach the command.
        runner = CliRunner(env={name: None for name in ENV})
        return runner.invoke(main, args, obj=wiring)

    def run_json(self, *args):
        result = self.run(*args, "--json")
        return result.exit_code, json.loads(result.stdout)

    def file(self, document, suffix=".json"):
        """The path of a file with the document; the next call overwrites it."""
        path = Path(self._folder.name, f"template{suffix}")
        path.write_text(document if isinstance(document, str) else json.dumps(document))
        return str(path)

    def _kv(self, cfg: Settings):
        return self.kv

    def _fleet(self, cfg: Settings):
        return self.fleet

    async def _sleep(self, seconds):
        self.seconds += seconds
