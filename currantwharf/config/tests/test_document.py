import unittest

import msgspec

from currantwharf.config import PublishedConfig, parse_config, parse_document
from currantwharf.demo.site_plan import encode
from currantwharf.tests.builders import make_config


def encode_config_with(change: dict) -> bytes:
    fields = msgspec.json.decode(encode(make_config()))
    fields.update(change)
    return msgspec.json.encode(fields)


class ParseConfigTests(unittest.TestCase):
    def report_problems(self, change: dict) -> str:
        return str(parse_config(1, encode_config_with(change)).unwrap_err())

    def test_valid_document_is_accepted(self) -> None:
        parsed = parse_config(3, encode(make_config())).unwrap()
        self.assertEqual(parsed.version, 3)
        self.assertEqual(parsed.config, make_config())

    def test_not_json_is_refused(self) -> None:
        self.assertIn("a JSON object", str(parse_config(1, b"{").unwrap_err()))

    def test_unknown_key_names_the_nearest(self) -> None:
        self.assertIn(
            "did you mean 'released'?", self.report_problems({"relaesed": []})
        )

    def test_nested_unknown_key_names_its_path(self) -> None:
        report = self.report_problems({"data_centres": {"taipei": {"regoin": "x"}}})
        self.assertIn("data_centres.taipei.regoin", report)
        self.assertIn("did you mean 'region'?", report)

    def test_all_problems_are_reported_at_once(self) -> None:
        servers = {
            "s1": {"address": "a", "data_centre": "x", "slots": 0},
            "s2": {"address": "a", "data_centre": "x", "connections": "many"},
        }
        report = self.report_problems({"servers": servers})
        self.assertIn("servers.s1.slots: found 0", report)
        self.assertIn("servers.s2.connections: found 'many'", report)

    def test_undeclared_names_are_refused(self) -> None:
        services = {
            "camphor": {
                "shards": {"0": ["nowhere"]},
            }
        }
        report = self.report_problems({"services": services})
        self.assertIn("services.camphor.shards.0: found 'nowhere'", report)
        self.assertIn("classes.grain-lookup.services: found 'longan'", report)

    def test_out_of_range_target_is_refused(self) -> None:
        fields = msgspec.json.decode(encode(make_config()))
        fields["classes"]["grain-lookup"]["targets"]["coverage"] = 1.5
        document = msgspec.json.encode(fields)
        report = str(parse_config(1, document).unwrap_err())
        self.assertIn("classes.grain-lookup.targets.coverage: found 1.5", report)

    def test_document_other_than_a_mapping_is_refused(self) -> None:
        for value in ([], None, 3, "text"):
            parsed = parse_document(PublishedConfig, value, "here")
            self.assertIn("a mapping", str(parsed.unwrap_err()))
