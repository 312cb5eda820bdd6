"""The invariants of the brief in plain terms.

The oracle looks at what callers were told, at what the stand-in servers ran and at
what the operator published. It knows nothing of how the instances decide.
"""

from dataclasses import dataclass, field

from currantwharf.query import QueryResult
from currantwharf.tests.fake_world import FakeWorld, SentRequest
from currantwharf.wire import Outcome

OUT_WITHIN_S = 3.0  # seconds until a data centre or server that is out gets no work
IN_FORCE_WITHIN_S = 5.0  # seconds until a configuration is in force everywhere


@dataclass
class Oracle:
    """Check a world against the invariants, step by step."""

    world: FakeWorld
    shards_of: dict[str, set[str]] = field(default_factory=dict)
    sent: list[SentRequest] = field(default_factory=list)
    checked: set[int] = field(default_factory=set)
    not_run: dict[str, int] = field(default_factory=dict)
    sends_of: dict[str, int] = field(default_factory=dict)
    centre_out_since: dict[str, float] = field(default_factory=dict)
    server_out_since: dict[str, float] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)
    published_at: float = 0.0
    disturbed_at: float = 0.0
    calls_seen: int = 0

    def note_index(self) -> None:
        config = self.world.config
        services = config.classes["grain-lookup"].services
        self.shards_of[config.index_version] = {
            f"{name}/{shard}"
            for name in services
            for shard in config.services[name].shards
        }

    def note_sent(self, sent: SentRequest) -> None:
        self.sent.append(sent)
        order = sent.body["id"]
        self.sends_of[order] = self.sends_of.get(order, 0) + 1

    def check(self) -> None:
        for number, sent in enumerate(self.sent):
            if number not in self.checked and sent.result is not None:
                self.checked.add(number)
                self.check_answer(sent, sent.result)
        self.check_runs()
        self.check_work()
        self.check_cold()
        self.check_versions()

    def check_answer(self, sent: SentRequest, result: QueryResult) -> None:
        assert result.request_id == sent.body["id"], "another request's answer"
        if result.class_name == "block-order":
            self.check_order(sent, result)
        elif result.outcome is Outcome.ANSWERED:
            self.check_lookup(sent, result)

    def check_lookup(self, sent: SentRequest, result: QueryResult) -> None:
        shards = self.shards_of[result.index_version]
        answered = set()
        for hit in result.hits:
            text, _, rest = hit.text.partition(" at ")
            shard, _, version = rest.partition(" of ")
            assert text == sent.body["body"]["text"], "another caller's answer"
            assert version == result.index_version, "two index versions in one answer"
            assert shard in shards, "a shard of another map"
            answered.add(shard)
        assert result.coverage.answered == len(answered), "untrue coverage"
        assert result.coverage.shards == len(shards), "coverage of another map"

    def check_order(self, sent: SentRequest, result: QueryResult) -> None:
        order = sent.body["id"]
        if result.outcome is Outcome.ANSWERED:
            assert self.runs_of(order) == 1, "answered, but not run once"
        if result.outcome is Outcome.NOT_RUN:
            assert self.runs_of(order) == 0, "ran, but called not run"
            self.not_run[order] = self.sends_of[order]

    def check_runs(self) -> None:
        for sent in self.sent:
            order = sent.body["id"]
            assert self.runs_of(order) <= 1, "a non-idempotent request ran twice"
        for order, sends in self.not_run.items():
            if self.sends_of[order] == sends:
                assert self.runs_of(order) == 0, "ran after it was called not run"

    def runs_of(self, order: str) -> int:
        return sum(runs.get(order, 0) for runs in self.world.runs())

    def check_work(self) -> None:
        calls = self.world.backend_calls
        for server, at in calls[self.calls_seen :]:
            declared = self.world.config.servers[server]
            since = self.centre_out_since.get(declared.data_centre, float("inf"))
            assert at <= since + OUT_WITHIN_S, "work to a data centre that is out"
            since = self.server_out_since.get(server, float("inf"))
            assert at <= since + OUT_WITHIN_S, "work to a server that leaves"
        self.calls_seen = len(calls)

    def check_cold(self) -> None:
        for backend in self.world.backends.values():
            assert backend.stats.cold_peak <= 1, "too much work for a cold server"

    def check_versions(self) -> None:
        for name, node in self.world.nodes.items():
            key = f"{name}.{node.boot_id}"
            held = node.current_config()
            version = held.version if held is not None else 0
            assert version >= self.versions.get(key, 0), "a configuration reverted"
            self.versions[key] = version
        now = self.world.clock.seconds()
        since = max(self.published_at, self.disturbed_at)
        if now > since + IN_FORCE_WITHIN_S and not self.world.is_disturbed():
            newest = self.world.platform.values["config"].version
            for node in self.world.nodes.values():
                held = node.current_config()
                assert held is not None and held.version == newest, "not in force"
