"""The sites that the demo and the measurements run."""

from currantwharf.demo.site_plan import SitePlan

KUO_HSING_CENTRES = ("taipei", "taichung", "kaohsiung")

PLANS: dict[str, SitePlan] = {
    "kuo-hsing-small": SitePlan(
        KUO_HSING_CENTRES,
        ("camphor", "longan", "acacia"),
        ("ledger-boards", "ledger-claims"),
        shards=2,
    ),
}
