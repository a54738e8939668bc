"""Checks that nodes keep sound answers whose end only a connection tells."""

from soak import node_checker


def check(checker: node_checker.GuaranteeChecker) -> None:
    """Record which whole answers without a length were taken for cut ones."""
    for request_id, runs in checker.runs.items():
        call = checker.calls.get(request_id)
        if call is None or not call.ended:
            continue
        for run in runs:
            if not run.is_whole_unstated:
                continue
            checker.results.counts["whole_unstated"] += 1
            if not _is_cut(call, run, runs):
                continue
            if _is_excused(checker, call, run):
                checker.results.counts["whole_unstated_cut_excused"] += 1
            else:
                checker.results.counts["whole_unstated_cut"] += 1
                checker.record_violation(
                    "sound answers without a length stay whole", call
                )


def _is_cut(
    call: node_checker.Call,
    run: node_checker.UpstreamRun,
    runs: list[node_checker.UpstreamRun],
) -> bool:
    """Return whether a request was repeated, cut or denied after a run."""
    assert run.ended is not None, "whole, so it has ended"
    if any(later.began >= run.ended for later in runs):
        return True
    match call.outcome:
        case node_checker.Outcome.CUT:
            return True
        case node_checker.Outcome.ANSWERED:
            return call.status != run.status
    return False


def _is_excused(
    checker: node_checker.GuaranteeChecker,
    call: node_checker.Call,
    run: node_checker.UpstreamRun,
) -> bool:
    """Return whether a fault, a stop or the deadline allows the cut."""
    if call.ended >= (
        call.began + call.timeout_seconds - node_checker.DEADLINE_SLACK_SECONDS
    ):
        return True
    return checker.find_stop(call) is not None or any(
        checker.is_disturbed(target, run.began, call.ended)
        for target in (run.upstream, call.node)
    )
