"""Hollow gateways do towards a real one what real ones do, and a wrong one is seen: counts, not times."""

import pytest

from mintmast.decisions.gateways.member_status import Liveness
from mintmast.lab.scale.peers import rows
from mintmast.lab.scale.proof import alone, hollow_run, real_run
from mintmast.lab.scale.tapped import bench, names_of

SIZE = 12
TAPE = []


def alike(ratio):
    return 0.9 <= ratio <= 1.1


@pytest.fixture(scope="module")
def real():
    return {
        span: real_run(SIZE, 1, span, 20.0, TAPE if span == "lost" else None) for span in ("quiet", "lost")
    }


def counted(hollow, real):
    ratios = hollow.over(real)
    return {name: ratio for name, ratio in ratios.items() if "core" not in name}


@pytest.mark.parametrize("span", ["quiet", "lost"])
def test_among_hollow_gateways_a_real_one_has_the_messages_and_bytes_that_it_has_among_real_ones(real, span):
    ratios = counted(hollow_run(SIZE, 1, span, seconds=20.0), real[span])
    assert all(alike(ratio) for ratio in ratios.values()), ratios


def test_a_gateway_alone_to_which_all_comes_again_that_came_among_real_ones_does_the_same(real):
    again = alone(SIZE, 1, "lost", TAPE, 20.0)
    assert set(counted(again, real["lost"]).values()) == {1.0}
    assert {kind: calls for kind, (calls, _) in again.kinds.items() if kind != "rest"} == {
        kind: calls for kind, (calls, _) in real["lost"].kinds.items() if kind != "rest"
    }


def test_hollow_gateways_that_probe_half_as_often_are_seen(real):
    ratios = counted(hollow_run(SIZE, 1, "quiet", probes=0.5, seconds=20.0), real["quiet"])
    assert not alike(ratios["membership.messages"]) and not alike(ratios["membership.bytes"])


def test_fifty_are_believed_to_be_there_vote_and_one_that_ends_is_held_aside_and_known_again():
    made = bench(50, 2, claims=4.0)
    made.run(10.0)
    part = made.gateway.core.book.claims.witness_service
    stands = made.gateway.roster.members.others
    assert part.is_voting and {each.liveness for each in stands.values()} == {Liveness.HEARD}
    made.meter.clear()
    made.run(5.0)
    for way in ("sent", "received"):  # a probe and an answer each 500 ms where there is no news
        assert 15 <= made.meter.messages[f"udp.{way}"] <= 25
    assert made.meter.calls["keys.witness"] and len(part.records)
    lost = names_of(50)[7]
    made.world.nodes[lost].kill()
    made.hollow.gone(7)
    made.run(4.0)
    assert stands[lost].liveness is Liveness.REFUSED and made.hollow.counts["aside"] == 48
    assert {lost} == set().union(*(other.excluded for other in part.exclusions.peers.values()))
    made.hollow.back(7, made.world.node(lost))
    made.run(4.0)
    assert stands[lost].liveness is Liveness.HEARD and not made.hollow.counts.get("unanswered")
    assert not any(other.excluded for other in part.exclusions.peers.values())


def test_a_run_gives_its_rows_and_says_what_the_schema_refuses():
    told = {row.figure: row for row in rows((25,), (1,), 2.0)}
    assert {"membership.sent", "membership.core", "witness.look", "keys.claim.owner"} <= told.keys()
    assert told["membership.descriptors.allowed"].value == 64 * 26
    assert "refuse" not in told["call.body"].note
