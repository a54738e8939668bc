"""Crashes of all engines at once convict no request."""

import datetime

import pytest

import crash_simulation

CONTACT = datetime.timedelta(seconds=3)


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("period", (50, 10))
def test_crashes_of_all_engines_at_once_convict_no_request(
    seed: int, period: int
) -> None:
    simulation = crash_simulation.Simulation(seed, nodes=4, engines=9)
    simulation.offer(25, 60, simulation.draw_sound)
    simulation.run(5)
    began = simulation.clock.now()
    for second in range(0, 50, period):
        simulation.at(second, simulation.crash_all, 4.5)
    simulation.run(50)
    assert simulation.convicted == 0
    assert simulation.count_refused(began) <= 0.02


@pytest.mark.parametrize("seed", range(12))
def test_a_fatal_part_is_found_beside_crashes_of_all_engines(
    seed: int,
) -> None:
    simulation = crash_simulation.Simulation(seed, nodes=4, engines=9)
    simulation.offer(25, 70, simulation.draw_sound)
    simulation.run(10)
    simulation.fatal = {"fatal"}
    for second in range(0, 60, 10):
        simulation.at(second, simulation.crash_all, 2)
    simulation.offer(2, 60, lambda: ["first", "fatal"])
    simulation.run(60)
    crashes = simulation.crashes["fatal"]
    assert len(crashes) >= 2
    if len(crashes) >= 5:
        late = crashes[4] + CONTACT
        reached = [when for when in simulation.reached["fatal"] if when > late]
        assert len(reached) <= 3
    assert simulation.convicted == 0
