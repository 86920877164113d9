"""Extrapolate memory, traffic and CPU time of one VM to the size of the design.

The costs per route, instance and member are measured at several sizes (see
``capacity_slopes``) and extrapolated. The resulting tables replace the section
between two markers of docs/CAPACITY.md.

Every VM counts the outcomes of its requests by instance and reports these counts, the
evidence, to the home VMs of the service. A home VM merges the reports and judges which
instances are faulty.
"""

import argparse
import resource
from pathlib import Path

from capacity_slopes import (
    DesignSize,
    Slope,
    measure_heartbeats,
    measure_home_lookup,
    measure_messages,
    measure_slopes,
)

CAPACITY_PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
BEGIN_MARKER, END_MARKER = "<!-- slopes: begin -->", "<!-- slopes: end -->"


def find_slope(slopes: list[Slope], name: str) -> Slope:
    """Return the slope with the given name; raise StopIteration if there is none."""
    return next(slope for slope in slopes if slope.name == name)


def memory_table(slopes: list[Slope]) -> list[str]:
    """Return Markdown lines with the memory of one VM at the design size.

    A VM knows all other VMs of its region and four members of each other region.
    Every service has two homes in its region, so a VM is the home of
    ``instances_per_home`` instances. All 436 VMs of the region report on each of them.
    """
    design = DesignSize()
    regional_instances = design.instances // design.regions
    known_members = design.nodes // design.regions + 4 * (design.regions - 1)
    instances_per_home = 2 * regional_instances // (design.nodes // design.regions)
    rows = [
        ("routes, every one an exception", "Memory of routes", design.routes),
        (
            "listed instances of the region",
            "Memory of listed instances",
            regional_instances,
        ),
        (
            "evidence of the region's instances",
            "Memory of evidence",
            regional_instances,
        ),
        ("members in view", "Memory of members", known_members),
        ("reporters x instances judged", "Memory of a home", 436 * instances_per_home),
    ]
    lines = ["| state on one node | number | MB |", "|---|---|---|"]
    total_mb = 0.0
    for label, slope_name, count in rows:
        slope = find_slope(slopes, slope_name)
        memory_mb = max(0.0, slope.slope * count)
        total_mb += memory_mb
        lines.append(f"| {label} | {count:,} | {memory_mb:.1f} |")
    lines.append(f"| sum; budget 256 with the process itself | | {total_mb:.1f} |")
    return lines


def traffic_table(
    messages: dict[str, tuple[float, float, float]], slopes: list[Slope]
) -> list[str]:
    """Return Markdown lines with messages and CPU time of one VM at the design size.

    A region has 436 VMs, which is the design's 4800 nodes over 11 regions. A VM sends
    two rounds of heartbeats a second to three live members and one that is not live,
    and receives eight heartbeats a second. The budget for its reports is 40 datagrams
    a second. The configuration of 270,000 routes changes 14,000 times a day, and each
    VM pushes a change to four others.

    Parameters
    ----------
    messages : dict of tuple by str
        Bytes, time to encode and time to decode of each message, in us.
    slopes : list of Slope
    """
    send_us, merge_us = measure_heartbeats()
    home_lookup_us = measure_home_lookup()
    instances_per_home = 2 * (200_000 // 11) // 436
    tick_slope = find_slope(slopes, "Time of a home's tick")
    tick_us = tick_slope.slope * instances_per_home + tick_slope.intercept
    bytes_by_message = {
        name: measurements[0] for name, measurements in messages.items()
    }
    codec_us_by_message = {
        name: measurements[1:] for name, measurements in messages.items()
    }
    # Label, message, messages per second, and CPU time in us per second besides
    # encoding and decoding.
    message_flows = [
        ("heartbeats", "heartbeat", 8.0, send_us * 2.0 + merge_us * 8.0),
        ("evidence, at the datagram budget", "report of 2 counts", 40.0, 0.0),
        ("changes, fan-out 4", "push of 1 change", 4.0 * 14_000 / 86_400, 0.0),
    ]
    lines = [
        "| traffic of one node | datagrams/s | KB/s sent | % of a core |",
        "|---|---|---|---|",
    ]
    total_kb = total_cpu_percent = 0.0
    for label, name, messages_per_second, processing_us_per_second in message_flows:
        sent_kb = bytes_by_message[name] * messages_per_second / 1e3
        cpu_percent = (
            sum(codec_us_by_message[name]) * messages_per_second
            + processing_us_per_second
        ) / 1e4
        total_kb += sent_kb
        total_cpu_percent += cpu_percent
        lines.append(
            f"| {label} | {messages_per_second:.1f} | {sent_kb:.2f}"
            f" | {cpu_percent:.2f} |"
        )
    tick_cpu_percent = tick_us * 5.0 / 1e4
    total_cpu_percent += tick_cpu_percent
    lines.append(
        f"| judging {instances_per_home} instances, 5 ticks/s | | |"
        f" {tick_cpu_percent:.2f} |"
    )
    change_slope = find_slope(slopes, "Time of one change")
    change_ms = change_slope.slope * 270_000 + change_slope.intercept
    change_cpu_percent = change_ms * 14_000 / 86_400 / 10.0
    total_cpu_percent += change_cpu_percent
    lines.append(
        f"| applying changes, {change_ms:.1f} ms each | | | {change_cpu_percent:.2f} |"
    )
    lines.append(
        f"| sum; budget 12 KB/s and 4% | | {total_kb:.2f} | {total_cpu_percent:.2f} |"
    )
    lines.append("")
    lines.append(
        "Finding the homes of a service among 436 members takes"
        f" {home_lookup_us:.0f} us; they are kept until the members change."
    )
    return lines


def render_tables() -> str:
    """Run all measurements and return the tables as Markdown."""
    slopes = measure_slopes()
    messages = measure_messages()
    lines = [
        "| slope | a unit | fixed part | sizes | largest error |",
        "|---|---|---|---|---|",
    ]
    for slope in slopes:
        scale, unit = (
            (1e6, "B")
            if slope.unit == "MB"
            else (1e3, "us")
            if slope.unit == "ms"
            else (1.0, slope.unit)
        )
        fixed_part = f"{slope.intercept:.2f} {slope.unit}"
        sizes = " to ".join(f"{size:,}" for size in (slope.sizes[0], slope.sizes[-1]))
        lines.append(
            f"| {slope.name} | {slope.slope * scale:.3g} {unit} a {slope.item}"
            f" | {fixed_part} | {sizes} | {slope.max_relative_error:.0%} |"
        )
    lines += [
        "",
        "| datagram | bytes with headers | encode, us | decode, us |",
        "|---|---|---|---|",
    ]
    for name, (size, encode_us, decode_us) in messages.items():
        lines.append(f"| {name} | {size:.0f} | {encode_us:.0f} | {decode_us:.0f} |")
    lines += ["", *memory_table(slopes), "", *traffic_table(messages, slopes)]
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1e3
    lines += ["", f"(peak of the measuring process: {peak_mb:.0f} MB)"]
    return "\n".join(lines)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--print", action="store_true", help="don't update docs/CAPACITY.md"
    )
    arguments = parser.parse_args()
    tables = render_tables()
    if arguments.print or not CAPACITY_PAGE.exists():
        print(tables)
        return
    page = CAPACITY_PAGE.read_text()
    head, _, rest = page.partition(BEGIN_MARKER)
    _, _, tail = rest.partition(END_MARKER)
    CAPACITY_PAGE.write_text(f"{head}{BEGIN_MARKER}\n{tables}\n{END_MARKER}{tail}")
    print(tables)


if __name__ == "__main__":
    main()
