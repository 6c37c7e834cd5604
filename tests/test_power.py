"""Power that goes and comes back: with whole records all rules hold, however much of the region was lost."""

import pytest

from mintmast.lab import drills


@pytest.mark.parametrize("lose", ["gateways", "all", "half", "twice"])
def test_a_loss_of_power_with_whole_records_keeps_all_rules_and_service_returns(lose):
    report = drills.run(f"power-{lose}-kept", 2, "memory")
    assert report["good"], report["rules"]
    assert report["rules"]["votes_at_end"]["checked"] == 5
    measures = report["measures"]
    assert measures["first_free_s"] < 3 and measures["first_paid_s"] < 5 and not measures["double_paid"]


def test_records_that_are_lost_everywhere_are_missed():
    # what the next step must end; while it is so, the drill must see it
    assert drills.run("power-gateways-none", 2, "memory")["measures"]["double_paid"]
