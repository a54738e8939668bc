"""The codec restores encoded messages and refuses bytes that are none."""

import pytest

from cicadahook.core import clock
from cicadahook.core import table
from cicadahook.core import view
from cicadahook.net import codec


def test_view_and_report_survive_encoding() -> None:
    suspect = view.Suspect("f" * 32, ("10.0.0.1:80/2",), clock.EPOCH)
    sent = view.View(
        control="vm1",
        number=7,
        table=table.Table(
            3,
            (
                table.Row("a", table.RowKind.MODEL, memory_bytes=9),
                table.Row(
                    "b", table.RowKind.SERVICE, non_idempotent=("/bookings",)
                ),
            ),
        ),
        upstreams=(
            view.Upstream("10.0.0.1:80", "z1", view.UpstreamKind.ENGINE),
        ),
        copies=(view.Copy("a", "10.0.0.1:80", "1", view.CopyState.SERVING),),
        members=(view.Member("vm1", "10.0.0.2:1", "10.0.0.2:2", "z1"),),
        peer_loads=(view.PeerLoad("10.0.0.1:80", 4, 15.5),),
        peer_row_loads=(view.PeerRowLoad("a", 2, 0.5),),
        suspects=(suspect,),
    )
    assert codec.VIEWS.decode(codec.VIEWS.encode(sent)) == sent
    report = view.Report(
        "10.0.0.2:1",
        3,
        uses=(view.UpstreamUse("10.0.0.1:80", 1, 16.0),),
        demands=(view.RowDemand("a", 5, 1, 2),),
        suspects=(suspect,),
    )
    assert codec.REPORTS.decode(codec.REPORTS.encode(report)) == report


@pytest.mark.parametrize("data", [b"", b"\x01", b"not capnp at all"])
def test_bad_bytes_are_refused(data: bytes) -> None:
    with pytest.raises(codec.DecodeError):
        codec.VIEWS.decode(data)
