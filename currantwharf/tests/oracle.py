"""A test oracle for the invariants that callers and operators rely on.

It compares the answers to callers with the requests that the stand-in servers ran
and with the configuration that the operator published. It does not depend on how the
instances decide.
"""

from dataclasses import dataclass, field

from currantwharf.query import QueryResult
from currantwharf.tests.fake_world import FakeWorld, SentRequest
from currantwharf.wire import Outcome

# A data centre out of service and a leaving server get no work after this time.
OUT_WITHIN_S = 3.0
IN_FORCE_WITHIN_S = 5.0  # until a published configuration is in force everywhere


@dataclass
class Oracle:
    """Checks a fake world against the invariants after each step.

    `disturbed_at` is the time of the last fault or repair, and `published_at` that of
    the last published configuration. `not_run` has for each order that was reported as
    not run the number of times it had been sent by then.
    """

    world: FakeWorld
    shards_by_version: dict[str, set[str]] = field(default_factory=dict)
    sent: list[SentRequest] = field(default_factory=list)
    checked_indexes: set[int] = field(default_factory=set)
    not_run: dict[str, int] = field(default_factory=dict)
    send_counts: dict[str, int] = field(default_factory=dict)
    centre_out_since: dict[str, float] = field(default_factory=dict)
    server_out_since: dict[str, float] = field(default_factory=dict)
    newest_versions: dict[str, int] = field(default_factory=dict)
    published_at: float = 0.0
    disturbed_at: float = 0.0
    checked_call_count: int = 0

    def note_index(self) -> None:
        config = self.world.config
        services = config.classes["grain-lookup"].services
        self.shards_by_version[config.index_version] = {
            f"{name}/{shard}"
            for name in services
            for shard in config.services[name].shards
        }

    def note_sent(self, sent: SentRequest) -> None:
        self.sent.append(sent)
        order = sent.body["id"]
        self.send_counts[order] = self.send_counts.get(order, 0) + 1

    def check(self) -> None:
        for number, sent in enumerate(self.sent):
            if number not in self.checked_indexes and sent.result is not None:
                self.checked_indexes.add(number)
                self.check_answer(sent, sent.result)
        self.check_runs()
        self.check_backend_calls()
        self.check_cold_servers()
        self.check_versions()

    def check_answer(self, sent: SentRequest, result: QueryResult) -> None:
        assert result.request_id == sent.body["id"], "another request's answer"
        if result.class_name == "block-order":
            self.check_order(sent, result)
        elif result.outcome is Outcome.ANSWERED:
            self.check_lookup(sent, result)

    def check_lookup(self, sent: SentRequest, result: QueryResult) -> None:
        shards = self.shards_by_version[result.index_version]
        answered = set()
        for hit in result.hits:
            text, _, rest = hit.text.partition(" at ")
            shard, _, version = rest.partition(" of ")
            assert text == sent.body["body"]["text"], "another caller's answer"
            assert version == result.index_version, "two index versions in one answer"
            assert shard in shards, "a shard that this index version does not have"
            answered.add(shard)
        assert result.coverage.answered == len(answered), (
            "coverage does not match the hits"
        )
        assert result.coverage.shards == len(shards), (
            "coverage counts the shards of another index version"
        )

    def check_order(self, sent: SentRequest, result: QueryResult) -> None:
        order = sent.body["id"]
        if result.outcome is Outcome.ANSWERED:
            assert self.count_runs(order) == 1, "answered, but did not run exactly once"
        if result.outcome is Outcome.NOT_RUN:
            assert self.count_runs(order) == 0, "ran, but was reported as not run"
            self.not_run[order] = self.send_counts[order]

    def check_runs(self) -> None:
        for sent in self.sent:
            order = sent.body["id"]
            assert self.count_runs(order) <= 1, "a non-idempotent request ran twice"
        for order, sends in self.not_run.items():
            if self.send_counts[order] == sends:
                assert self.count_runs(order) == 0, (
                    "ran after it was reported as not run"
                )

    def count_runs(self, order: str) -> int:
        return sum(runs.get(order, 0) for runs in self.world.runs())

    def check_backend_calls(self) -> None:
        calls = self.world.backend_calls
        for server, at in calls[self.checked_call_count :]:
            entry = self.world.config.servers[server]
            since = self.centre_out_since.get(entry.data_centre, float("inf"))
            assert at <= since + OUT_WITHIN_S, (
                "work sent to a data centre out of service"
            )
            since = self.server_out_since.get(server, float("inf"))
            assert at <= since + OUT_WITHIN_S, "work sent to a leaving server"
        self.checked_call_count = len(calls)

    def check_cold_servers(self) -> None:
        for backend in self.world.backends.values():
            assert backend.stats.cold_peak <= 1, "too much work for a cold server"

    def check_versions(self) -> None:
        for name, node in self.world.nodes.items():
            key = f"{name}.{node.boot_id}"
            current = node.current_config()
            version = current.version if current is not None else 0
            assert version >= self.newest_versions.get(key, 0), (
                "a configuration reverted"
            )
            self.newest_versions[key] = version
        now = self.world.clock.seconds()
        since = max(self.published_at, self.disturbed_at)
        if now > since + IN_FORCE_WITHIN_S and not self.world.is_disturbed():
            newest = self.world.platform.values["config"].version
            for node in self.world.nodes.values():
                current = node.current_config()
                assert current is not None and current.version == newest, (
                    "newest configuration not in force"
                )
