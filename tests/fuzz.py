"""Runs all Hypothesis state machines of the tests with random seeds.

    python tests/fuzz.py --seconds 300 [--seed N] [--machine NAME]

Runs rounds until the given time is over. Prints the seed of each round, so that
a failure can be replayed with --seed and --machine, and the steps a second at
the end. Exits 1 after a failure.
"""

from collections.abc import Iterator
import importlib
import inspect
import logging
import pathlib
import secrets
import sys
import time
import traceback
from typing import Any, Final

import fire
import hypothesis
from hypothesis import stateful

SEED_BITS: Final = 32
ROUND_EXAMPLES: Final = 50
ROUND_STEPS: Final = 60
# Shrinking a failure can take minutes, and its seed suffices to replay it.
PHASES: Final = (hypothesis.Phase.generate,)
TESTS: Final = pathlib.Path(__file__).parent


class StepCounter:
    """Mix-in that counts the steps of all state machines."""

    steps = 0

    @stateful.invariant()
    def count_step(self) -> None:
        """Count one step."""
        StepCounter.steps += 1


def find_machines() -> Iterator[type[stateful.RuleBasedStateMachine]]:
    """Yield the state machines of all test modules."""
    sys.path.insert(0, str(TESTS))
    for path in sorted(TESTS.glob("test_*.py")):
        if "RuleBasedStateMachine" not in path.read_text("utf-8"):
            continue
        module = importlib.import_module(path.stem)
        for _, member in inspect.getmembers(module, inspect.isclass):
            is_own = member.__module__ == path.stem
            if is_own and issubclass(member, stateful.RuleBasedStateMachine):
                yield member


def run_round(machine: type[stateful.RuleBasedStateMachine], seed: int) -> bool:
    """Run one round of a state machine; return whether all checks held."""
    counted: Any = type(machine.__name__, (machine, StepCounter), {})
    hypothesis.seed(seed)(counted)
    settings = hypothesis.settings(
        derandomize=False,
        database=None,
        deadline=None,
        max_examples=ROUND_EXAMPLES,
        stateful_step_count=ROUND_STEPS,
        print_blob=False,
        phases=PHASES,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    print(f"{machine.__name__} --seed {seed}", flush=True)
    try:
        stateful.run_state_machine_as_test(counted, settings=settings)
    except Exception:  # pylint: disable=broad-exception-caught
        traceback.print_exc()
        return False
    return True


def run(seconds: float = 60.0, seed: int = -1, machine: str = "") -> None:
    """Run rounds until the time is over, or one round with a given seed.

    Args:
        seconds: time after which no further round begins.
        seed: seed of the only round; negative for random seeds.
        machine: class name of the only state machine to run; empty for all.
    """
    machines = [
        found for found in find_machines() if machine in ("", found.__name__)
    ]
    if not machines:
        sys.exit(f"--machine: no state machine is called {machine!r}")
    logging.disable(logging.CRITICAL)
    started = time.monotonic()
    failures = 0
    while True:
        round_seed = seed if seed >= 0 else secrets.randbits(SEED_BITS)
        failures += sum(not run_round(found, round_seed) for found in machines)
        elapsed = time.monotonic() - started
        if seed >= 0 or elapsed >= seconds:
            break
    rate = StepCounter.steps / elapsed
    print(f"{StepCounter.steps} steps, {rate:.0f} a second, {failures} failed")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    fire.Fire(run)
