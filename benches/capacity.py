"""The tables of docs/CAPACITY.md, from measured slopes."""

import argparse
import resource
from pathlib import Path

from capacity_slopes import (
    Size,
    Slope,
    measure_homes,
    measure_members,
    measure_messages,
    measure_slopes,
)

DOC = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
BEGIN, END = "<!-- slopes: begin -->", "<!-- slopes: end -->"


def by_name(slopes: list[Slope], name: str) -> Slope:
    return next(slope for slope in slopes if slope.name == name)


def at_size(slopes: list[Slope]) -> list[str]:
    """Return the rows of state at the design size."""
    size = Size()
    in_region = size.instances // size.regions
    view = size.nodes // size.regions + 4 * (size.regions - 1)
    judged = 2 * in_region // (size.nodes // size.regions)
    rows = [
        ("routes, every one an exception", "Memory of routes", size.routes),
        ("listed instances of the region", "Memory of listed instances", in_region),
        ("evidence of the region's instances", "Memory of evidence", in_region),
        ("members in view", "Memory of members", view),
        ("reporters x instances judged", "Memory of a home", 436 * judged),
    ]
    lines = ["| state on one node | number | MB |", "|---|---|---|"]
    total = 0.0
    for text, name, number in rows:
        slope = by_name(slopes, name)
        amount = max(0.0, slope.slope * number)
        total += amount
        lines.append(f"| {text} | {number:,} | {amount:.1f} |")
    lines.append(f"| sum; budget 256 with the process itself | | {total:.1f} |")
    return lines


def traffic(
    messages: dict[str, tuple[float, float, float]], slopes: list[Slope]
) -> list[str]:
    """Return the rows of messages and processor time at the design size."""
    beat, hear = measure_members()
    home = measure_homes()
    judged = 2 * (200_000 // 11) // 436
    tick = by_name(slopes, "Time of a home's tick")
    tick_us = tick.slope * judged + tick.start
    sizes = {name: figure[0] for name, figure in messages.items()}
    costs = {name: figure[1:] for name, figure in messages.items()}
    rates = [
        ("heartbeats", "heartbeat", 8.0, beat * 2.0 + hear * 8.0),
        ("evidence, at the datagram budget", "report of 2 counts", 40.0, 0.0),
        ("changes, fan-out 4", "push of 1 change", 4.0 * 14_000 / 86_400, 0.0),
    ]
    lines = [
        "| traffic of one node | datagrams/s | KB/s sent | % of a core |",
        "|---|---|---|---|",
    ]
    total_bytes = total_cpu = 0.0
    for text, name, rate, other_us in rates:
        out = sizes[name] * rate / 1e3
        cpu = (sum(costs[name]) * rate + other_us) / 1e4
        total_bytes += out
        total_cpu += cpu
        lines.append(f"| {text} | {rate:.1f} | {out:.2f} | {cpu:.2f} |")
    ticks = tick_us * 5.0 / 1e4
    total_cpu += ticks
    lines.append(f"| judging {judged} instances, 5 ticks/s | | | {ticks:.2f} |")
    change = by_name(slopes, "Time of one change")
    change_ms = change.slope * 270_000 + change.start
    changes = change_ms * 14_000 / 86_400 / 10.0
    total_cpu += changes
    lines.append(f"| applying changes, {change_ms:.1f} ms each | | | {changes:.2f} |")
    lines.append(
        f"| sum; budget 12 KB/s and 4% | | {total_bytes:.2f} | {total_cpu:.2f} |"
    )
    lines.append("")
    lines.append(
        f"Finding the homes of a service among 436 members takes {home:.0f} us; they"
        " are kept until the members change."
    )
    return lines


def tables() -> str:
    slopes = measure_slopes()
    messages = measure_messages()
    lines = [
        "| slope | a unit | fixed part | sizes | largest error |",
        "|---|---|---|---|---|",
    ]
    for s in slopes:
        scale, unit = (
            (1e6, "B")
            if s.unit == "MB"
            else (1e3, "us")
            if s.unit == "ms"
            else (1.0, s.unit)
        )
        fixed = f"{s.start:.2f} {s.unit}"
        sizes = " to ".join(f"{size:,}" for size in (s.sizes[0], s.sizes[-1]))
        lines.append(
            f"| {s.name} | {s.slope * scale:.3g} {unit} a {s.per} | {fixed} | {sizes}"
            f" | {s.error:.0%} |"
        )
    lines += [
        "",
        "| datagram | bytes with headers | encode, us | decode, us |",
        "|---|---|---|---|",
    ]
    for name, (size, out, back) in messages.items():
        lines.append(f"| {name} | {size:.0f} | {out:.0f} | {back:.0f} |")
    lines += ["", *at_size(slopes), "", *traffic(messages, slopes)]
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1e3
    lines += ["", f"(peak of the measuring process: {peak:.0f} MB)"]
    return "\n".join(lines)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--print", action="store_true", help="leave the page alone")
    arguments = parser.parse_args()
    text = tables()
    if arguments.print or not DOC.exists():
        print(text)
        return
    page = DOC.read_text()
    head, _, rest = page.partition(BEGIN)
    _, _, tail = rest.partition(END)
    DOC.write_text(f"{head}{BEGIN}\n{text}\n{END}{tail}")
    print(text)


if __name__ == "__main__":
    main()
