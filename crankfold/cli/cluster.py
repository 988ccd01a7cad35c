"""`crankfold settings`, `fleet` and `works`: calls at a dispatcher's door."""

import difflib
import http.client
import json
import secrets
from typing import Any

import click

EXIT_DONE, EXIT_REFUSED, EXIT_UNREACHABLE, EXIT_NOT_APPLIED = 0, 1, 3, 4
RESPONSE_MARGIN = 15.0


def call_admin(
    door: str, what: str, body: dict[str, Any] | None = None, wait: float = 0.0
) -> tuple[int, Any]:
    """Status and answer; status 0 with a text where nobody answers as he should."""
    host, _, port = door.rpartition(":")
    try:
        line = http.client.HTTPConnection(host.strip("[]"), int(port), timeout=wait + RESPONSE_MARGIN)
        line.request(
            "GET" if body is None else "POST",
            f"/control/{what}",
            None if body is None else json.dumps(body).encode(),
        )
        answer = line.getresponse()
        text = answer.read()
        line.close()
        return answer.status, json.loads(text)
    except json.JSONDecodeError:
        return 0, f"{door}: {text.decode(errors='replace').strip()}"
    except (OSError, ValueError, http.client.HTTPException) as wrong:
        return 0, f"{door}: {wrong or type(wrong).__name__}"


def report_failure(told: Any) -> int:
    click.echo(f"crankfold: {told if isinstance(told, str) else told.get('text', told)}", err=True)
    return EXIT_UNREACHABLE


def show_cluster(door: str, as_json: bool) -> int:
    status, told = call_admin(door, "fleet")
    if status != 200:
        return report_failure(told)
    if as_json:
        click.echo(json.dumps(told, indent=2))
        return EXIT_DONE if told["acts"] else EXIT_UNREACHABLE
    state = f"acts, lease {told['lease-ms']} ms" if told["acts"] else f"does not act: {told['why-not']}"
    click.echo(f"{told['name']}: {state}")
    click.echo(f"leader {told['leader'] or 'unknown'}" + (f", term {told['term']}" if "term" in told else ""))
    for doc, version in told["versions"].items():
        more = f", {version['newest']} on its way" if version["newest"] > version["counts"] else ""
        click.echo(f"{doc}: version {version['counts']} counts{more}")
    for voter, at in sorted(told.get("voters", {}).items()):
        lag = told.get("lag", {}).get(voter)
        lease = told.get("leases-ms", {}).get(voter)
        click.echo(
            f"voter {voter} {at}"
            + (f", {lag} behind" if lag is not None else "")
            + (f", lease {lease} ms" if lease is not None else "")
        )
    for one in told.get("members", ()):
        quiet = ""
        if one["state"] not in ("there", "left") and "heard-ms-ago" in one:
            quiet = f", not heard for {one['heard-ms-ago'] / 1000:.1f} s"
        click.echo(
            f"follower {one['name']} at {one['at']}: {one['state']}{quiet}, joined "
            f"{one['for-s']} s ago, {one['lag']} behind, incarnation {one['incarnation']:x}"
        )
    return EXIT_DONE if told["acts"] else EXIT_UNREACHABLE


def change_voters(door: str, add: str, remove: str) -> int:
    name, _, at = add.partition("=")
    status, told = call_admin(
        door,
        "agreed/voters",
        {"call": secrets.token_hex(8), "remove": remove, "add": {name: at} if add else {}},
    )
    if not isinstance(told, dict):
        return report_failure(told)
    if not told["well"]:
        click.echo(f"crankfold: turned down: {told['text']}", err=True)
        return EXIT_REFUSED
    click.echo(f"voters: {', '.join(sorted(told['voters']))}")
    return EXIT_DONE


def _fetch_versions(door: str, doc: str, least: int = 0) -> tuple[Any, dict[int, dict[str, Any]]]:
    status, told = call_admin(door, f"agreed/{doc}?least={least}")
    if status != 200:
        return told, {}
    return told, {version["number"]: version for version in told["versions"]}


def format_json(text: object) -> str:
    return json.dumps(text, indent=2, sort_keys=True)


def show_version(door: str, doc: str, number: int, least: int, as_json: bool) -> int:
    told, versions = _fetch_versions(door, doc, max(least, number))
    if not isinstance(told, dict) or "newest" not in told:
        return report_failure(told)
    if as_json and not number:
        click.echo(format_json({name: part for name, part in told.items() if name != "versions"}))
        return EXIT_DONE
    version = versions.get(number or told["newest"])
    if version is None:
        return report_failure(f"{doc} has no version {number}" if number else f"{doc} has no version yet")
    click.echo(format_json(version if as_json else version["text"]))
    if not as_json:
        state = (
            "counts"
            if version["number"] == told["counts"]
            else ("on its way" if version["number"] > told["counts"] else "an earlier one")
        )
        click.echo(f"version {version['number']} of {doc}, {state}", err=True)
    return EXIT_DONE


def show_history(door: str, doc: str, as_json: bool) -> int:
    told, versions = _fetch_versions(door, doc)
    if not isinstance(told, dict) or "newest" not in told:
        return report_failure(told)
    if as_json:
        click.echo(format_json(list(versions.values())))
        return EXIT_DONE
    for number, version in sorted(versions.items(), reverse=True):
        mark = "*" if number == told["counts"] else " "
        click.echo(
            f"{mark}{number} from {version['made_from']} by {version['author'] or 'nobody'}: "
            f"{version['reason']}"
        )
    return EXIT_DONE


def show_difference(door: str, doc: str, one: int, other: int) -> int:
    told, versions = _fetch_versions(door, doc)
    if not versions:
        return report_failure(told if isinstance(told, str) else f"{doc} has no version yet")
    for number in (one, other):
        if number not in versions:
            return report_failure(f"{doc} has no version {number}, or none that is kept")
    for line in _diff_lines(versions[one], versions[other]):
        click.echo(line)
    return EXIT_DONE


def _diff_lines(one: dict[str, Any], other: dict[str, Any]) -> list[str]:
    return list(
        difflib.unified_diff(
            format_json(one["text"]).splitlines(),
            format_json(other["text"]).splitlines(),
            f"version {one['number']}",
            f"version {other['number']}",
            lineterm="",
        )
    )


def publish(
    door: str,
    doc: str,
    text: bytes,
    made_from: int,
    reason: str,
    author: str,
    wait: float,
    ident: str,
    as_json: bool,
) -> int:
    try:
        read = json.loads(text)
    except ValueError as wrong:
        raise click.UsageError(f"no JSON: {wrong}") from None
    if not isinstance(read, dict):
        raise click.UsageError("no JSON object")
    ident = ident or secrets.token_hex(8)
    status, told = call_admin(
        door,
        f"agreed/{doc}",
        {
            "call": ident,
            "made-from": made_from,
            "text": read,
            "author": author,
            "reason": reason,
            "wait": wait,
        },
        wait,
    )
    if not isinstance(told, dict):
        return report_failure(f"{told}; once somebody is there, --call {ident} finds out what became of it")
    if as_json:
        click.echo(format_json({**told, "call": ident}))
    if status == 504:
        return EXIT_DONE if told["well"] else report_failure(f"{told['text']} (--call {ident})")
    if not told.get("well"):
        if not as_json:
            click.echo(f"crankfold: turned down: {told['text']}", err=True)
            if told.get("number"):
                _, versions = _fetch_versions(door, doc)
                if made_from in versions and told["number"] in versions:
                    click.echo(
                        "\n".join(_diff_lines(versions[made_from], versions[told["number"]])), err=True
                    )
        return EXIT_REFUSED
    late = told.get("lag", [])
    all_act = told.get("counts", True) and not late
    if not as_json:
        done = (
            ""
            if not wait
            else ", all act on it"
            if all_act
            else (f", not by all: {'; '.join(late)}" if late else ", does not count yet")
        )
        click.echo(f"version {told['number']} of {doc}{done}")
    return EXIT_DONE if all_act else EXIT_NOT_APPLIED


def republish(door: str, doc: str, number: int, reason: str, author: str, wait: float, as_json: bool) -> int:
    told, versions = _fetch_versions(door, doc)
    if number not in versions:
        return report_failure(told if isinstance(told, str) else f"no version {number} of {doc} is kept")
    return publish(
        door,
        doc,
        json.dumps(versions[number]["text"]).encode(),
        told["newest"],
        reason,
        author,
        wait,
        "",
        as_json,
    )
