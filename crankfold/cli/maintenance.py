"""`crankfold works`: what is to be done with machines, and how far it is."""

import json
import secrets
import time
import tomllib
from typing import Any

import click

from crankfold.cli.cluster import (
    EXIT_DONE,
    EXIT_REFUSED,
    EXIT_UNREACHABLE,
    call_admin,
    format_json,
    publish,
    report_failure,
)

JOBS_PATH, MACHINES_PATH = "agreed/works", "agreed/machines"


def parse_job_file(text: bytes) -> tuple[str, dict[str, Any]]:
    """Name and work of a file in TOML."""
    try:
        work = tomllib.loads(text.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as wrong:
        raise click.UsageError(f"no TOML: {wrong}") from None
    name = work.pop("name", "")
    if not isinstance(name, str) or not name:
        raise click.UsageError("name: missing; what the work is called")
    return name, work


def _fetch_jobs(door: str) -> tuple[Any, int, dict[str, Any]]:
    status, told = call_admin(door, JOBS_PATH)
    if status != 200:
        return told, 0, {}
    versions = {version["number"]: version for version in told["versions"]}
    text = versions[told["newest"]]["text"] if told["newest"] else {"works": {}}
    return told, told["newest"], text["works"]


def _publish_job(
    door: str, name: str, change: dict[str, Any] | None, reason: str, author: str, fresh: bool, as_json: bool
) -> int:
    """With the others as they are. A work that was handed in meanwhile by somebody else turns this down."""
    told, newest, works = _fetch_jobs(door)
    if not isinstance(told, dict):
        return report_failure(told)
    if fresh and name in works:
        click.echo(f"crankfold: turned down: there is a work {name!r} already", err=True)
        return EXIT_REFUSED
    if not fresh and name not in works:
        there = ", ".join(works) or "none"
        click.echo(f"crankfold: turned down: no work {name!r}; there are {there}", err=True)
        return EXIT_REFUSED
    if change is None:
        del works[name]
    else:
        works[name] = {**works.get(name, {}), **change}
        if not fresh:
            works[name]["called"] = works[name].get("called", 0) + 1
    text = json.dumps({"works": works}).encode()
    return publish(door, "works", text, newest, reason, author, 0.0, "", as_json)


def start_job(door: str, text: bytes, reason: str, author: str, as_json: bool) -> int:
    name, work = parse_job_file(text)
    return _publish_job(door, name, work, reason or work.get("why", ""), author, True, as_json)


def set_job_state(door: str, name: str, state: str, reason: str, author: str, as_json: bool) -> int:
    return _publish_job(door, name, {"state": state}, reason, author, False, as_json)


def forget_job(door: str, name: str, reason: str, author: str, as_json: bool) -> int:
    return _publish_job(door, name, None, reason, author, False, as_json)


def show_forecast(door: str, text: bytes, as_json: bool) -> int:
    name, work = parse_job_file(text)
    status, told = call_admin(door, "agreed/plan", {"name": name, "work": work}, 10.0)
    if not isinstance(told, dict):
        return report_failure(told)
    if status != 200:
        click.echo(f"crankfold: turned down: {told['text']}", err=True)
        return EXIT_REFUSED
    if as_json:
        click.echo(format_json(told))
        return EXIT_DONE
    for turn in told["turns"]:
        why = f"  before: {turn['why']}" if turn["why"] else ""
        times = f"{turn['begin']:8.0f} s to {turn['end']:6.0f} s"
        click.echo(f"{times}  {turn['machine']:20} {turn['zone']:12}{why}")
    for machine, why in sorted(told["waits"].items()):
        click.echo(f"{'never':>8}                {machine:20} {why}")
    return EXIT_DONE


def _fetch_state(door: str) -> Any:
    status, told = call_admin(door, MACHINES_PATH)
    return told if status == 200 else report_failure(told)


def list_jobs(door: str, as_json: bool) -> int:
    told = _fetch_state(door)
    if isinstance(told, int):
        return told
    if as_json:
        click.echo(
            format_json({name: told[name] for name in ("works", "machines", "waits", "leads", "leader")})
        )
        return EXIT_DONE
    for name, work in sorted(told["works"].items()):
        ended = list(work["done"].values())
        out = sum(machine["work"] == name for machine in told["machines"].values())
        click.echo(
            f"{name}: {work['state']}, {len(ended)} of {work['wanted']} machines done, {out} out"
            + (f", {ended.count('gone')} of them replaced" if "gone" in ended else "")
            + (f"; {work['halted']}" if work["halted"] else "")
        )
    return EXIT_DONE


def show_job(door: str, name: str, as_json: bool) -> int:
    told = _fetch_state(door)
    if isinstance(told, int):
        return told
    if name not in told["works"]:
        click.echo(f"crankfold: no work {name!r}; there are {', '.join(told['works']) or 'none'}", err=True)
        return EXIT_REFUSED
    work = told["works"][name]
    out = {uid: machine for uid, machine in told["machines"].items() if machine["work"] == name}
    waits = [wait for wait in told["waits"] if wait["work"] == name]
    if as_json:
        click.echo(format_json({**work, "machines": out, "waits": waits}))
        return EXIT_DONE
    click.echo(
        f"{name}: {work['state']}"
        + (f", {work['halted']}" if work["halted"] else "")
        + (f" ({work['why']})" if work["why"] else "")
    )
    for uid, machine in sorted(out.items()):
        number = f" under {machine['number']}" if machine["number"] else ""
        click.echo(
            f"  {uid}: {machine['state']}{number}"
            + (f", {machine['why']}" if machine["why"] else "")
            + (" (back here by hand)" if uid in told["here"] else "")
        )
    if not told["leads"]:
        click.echo(f"  what is waited for is known at the door of {told['leader'] or 'a voter, who leads'}")
    for wait in waits:
        click.echo(f"  {wait['machine'] or 'all others'} waits: {wait['why']}")
    for uid, how in sorted(work["done"].items()):
        click.echo(f"  {uid}: done, {how}")
    return EXIT_DONE


def show_machine_history(door: str, machine: str, as_json: bool) -> int:
    told = _fetch_state(door)
    if isinstance(told, int):
        return told
    steps = [step for step in told["steps"] if step["uid"] == machine]
    if as_json:
        click.echo(format_json(steps))
        return EXIT_DONE
    if not steps:
        click.echo(f"crankfold: {machine} was not out for any work that is remembered", err=True)
        return EXIT_REFUSED
    before = 0
    for step in steps:
        at = time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(step["at"] / 1000))
        since = f" after {(step['at'] - before) / 1000:.1f} s" if before else ""
        before = 0 if step["step"] in ("well", "gone", "undone") else step["at"]
        click.echo(
            f"{at} {step['step']:6} {step['work']} by {step['by']}, entry {step['index']}{since}"
            + (f": {step['why']}" if step["why"] else "")
        )
    return EXIT_DONE


def report_step(
    door: str, what: str, machine: str, number: int, why: str, author: str, ident: str, as_json: bool
) -> int:
    ident = ident or secrets.token_hex(8)
    status, told = call_admin(
        door,
        MACHINES_PATH,
        {"call": ident, "machine": machine, "step": what, "number": number, "author": author, "why": why},
        10.0,
    )
    if not isinstance(told, dict):
        return report_failure(f"{told}; --call {ident} finds out what became of it")
    if as_json:
        click.echo(format_json({**told, "call": ident}))
    if status == 504:
        return report_failure(f"{told['text']} (--call {ident})") if not as_json else EXIT_UNREACHABLE
    if not told["well"]:
        if not as_json:
            click.echo(f"crankfold: turned down: {told['text']}", err=True)
        return EXIT_REFUSED
    if not as_json:
        click.echo(f"{machine}: {what}")
    return EXIT_DONE
