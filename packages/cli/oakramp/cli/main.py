"""oakrampctl: the operators' command line."""

import json
import sys
import time
import uuid

import click

from oakramp.cli.control_client import ADDRESS_TYPE, CommandRefusedError, ask, ask_first, show
from oakramp.cli.disk_check import check_folder
from oakramp.cli.doctor import CHECKS, examine, take_survey, worst_code
from oakramp.cli.eviction import lines_of
from oakramp.cli.losses import read_losses, summarize

INIT_TIME = 30  # s; nodes that were just started need a few rounds of news to meet


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--control",
    "controls",
    multiple=True,
    type=ADDRESS_TYPE,
    envvar="OAK_CONTROL",
    metavar="IP:PORT",
    help="HTTP address of a control node; may be given several times, or in OAK_CONTROL with spaces.",
)
@click.pass_context
def main(context, controls):
    """Drives an oakramp fleet through its control nodes.

    Exit codes: 0 done, 1 refused or outcome unknown (the message says which), 2 wrong use.
    """
    context.obj = controls


def _controls(context):
    if not context.obj:
        raise click.UsageError("--control is needed")
    return context.obj


def _condition_of(address):
    try:
        status, answer = ask(address, "GET", "/condition")
    except OSError as error:
        raise CommandRefusedError(f"{address} does not answer: {error}") from error
    if status != 200:
        raise CommandRefusedError(f"{address}: {answer.get('reason', status)}")
    return answer


def _wait_for(what, check):
    ends_at = time.monotonic() + INIT_TIME
    while True:
        result = check()
        if result:
            return result
        if time.monotonic() > ends_at:
            raise CommandRefusedError(f"{what} did not happen within {INIT_TIME} s; running this command again is safe")
        time.sleep(0.2)


@main.command()
@click.option("--cluster", "cluster_id", required=True, help="The new cluster's id.")
@click.option(
    "--store",
    "stores",
    multiple=True,
    required=True,
    type=ADDRESS_TYPE,
    metavar="IP:PORT",
    help="HTTP address of a store node; give all three.",
)
@click.pass_context
def init(context, cluster_id, stores):
    """Makes a cluster of the control nodes named with --control and the stores named with --store.

    Safe to run again: nodes that are in this cluster already stay as they are.
    """
    controls = _controls(context)
    rows = {address: _condition_of(address) for address in controls}
    for address, row in rows.items():
        if row["clusterId"] not in ("", None, cluster_id):
            raise CommandRefusedError(f"{address} belongs to cluster {row['clusterId']} already")
    voting_config = {row["nodeId"]: row["peer"] for row in rows.values()}
    for address in controls:
        status, answer = ask(address, "POST", "/v1/init", {"clusterId": cluster_id, "roster": voting_config})
        if status != 200:
            raise CommandRefusedError(f"{address}: {answer.get('reason', status)}")
    click.echo(f"control nodes: {len(voting_config)}")
    members = _wait_for("the stores joining", lambda: _joined_stores(stores, cluster_id))

    def set_stores():
        try:
            return ask_first(controls, "PUT", "/v1/stores", {"basedOn": 0, "members": members})
        except CommandRefusedError as error:
            if str(error).startswith("no: "):
                raise
            return None

    answer = _wait_for("the store set being written", set_stores)
    click.echo(f"stores: {len(answer['members'])}, epoch {answer['version']}")


def _joined_stores(stores, cluster_id):
    rows = [_condition_of(address) for address in stores]
    if all(row["clusterId"] == cluster_id for row in rows):
        return [{"nodeId": row["nodeId"], "peer": row["peer"]} for row in rows]
    other = [row["clusterId"] for row in rows if row["clusterId"] not in ("", None, cluster_id)]
    if other:
        raise CommandRefusedError(f"a store belongs to cluster {other[0]} already")
    return None


# --- plans ---------------------------------------------------------------------


@main.group()
def plan():
    """Blueprints: send a whole one or a named change, read any kept version."""


def _read_file(file):
    try:
        return json.load(file)
    except ValueError as error:
        raise click.UsageError(f"{file.name} is no JSON: {error}") from error


def _change(context, path, partner, change_id, body):
    change_id = change_id or uuid.uuid4().hex
    answer = ask_first(
        _controls(context),
        *path,
        body | {"changeId": change_id},
        on_maybe=f"oakrampctl plan outcome {partner} {change_id}",
    )
    show(answer | {"changeId": change_id})


BASED_ON = click.option(
    "--based-on", "based_on", type=click.IntRange(0), required=True, help="The version you last saw; 0 for the first."
)
CHANGE_ID = click.option("--change-id", "change_id", help="Give the same id again to retry; made up if left out.")


@plan.command("put")
@click.argument("partner")
@click.argument("file", type=click.File(encoding="utf-8"))
@BASED_ON
@CHANGE_ID
@click.pass_context
def put_plan(context, partner, file, based_on, change_id):
    """Sends FILE as PARTNER's whole blueprint."""
    _change(
        context,
        ("PUT", f"/v1/blueprints/{partner}"),
        partner,
        change_id,
        {"basedOn": based_on, "blueprint": _read_file(file)},
    )


@plan.command("change")
@click.argument("partner")
@click.argument("name")
@click.argument("arguments")
@BASED_ON
@CHANGE_ID
@click.pass_context
def change_plan(context, partner, name, arguments, based_on, change_id):
    """Applies the change NAME with ARGUMENTS (JSON) to PARTNER's blueprint.

    Changes: setBinding {"name","binding"}, removeBinding {"name"}, setPrograms {"programs"}, setShare {"share"}.
    """
    try:
        parsed = json.loads(arguments)
    except ValueError as error:
        raise click.UsageError(f"ARGUMENTS is no JSON: {error}") from error
    _change(
        context,
        ("POST", f"/v1/blueprints/{partner}/changes"),
        partner,
        change_id,
        {"basedOn": based_on, "change": name, "arguments": parsed},
    )


@plan.command("read")
@click.argument("partner")
@click.option("--version", type=click.IntRange(1), help="An older version; the newest if left out.")
@click.pass_context
def read_plan(context, partner, version):
    """Shows PARTNER's blueprint."""
    show(ask_first(_controls(context), "GET", f"/v1/blueprints/{partner}" + (f"?version={version}" if version else "")))


@plan.command("outcome")
@click.argument("partner")
@click.argument("change_id")
@click.pass_context
def outcome(context, partner, changeid):
    """Tells whether the change CHANGEID was accepted."""
    show(ask_first(_controls(context), "GET", f"/v1/blueprints/{partner}/changes/{changeid}"))


# --- programs ------------------------------------------------------------------


@main.group()
def program():
    """Programs: read a budget, end a program for good."""


@program.command("read")
@click.argument("partner")
@click.argument("name")
@click.pass_context
def read_program(context, partner, name):
    """Shows what PARTNER's program NAME has put out, of its limit."""
    show(ask_first(_controls(context), "GET", f"/v1/programs/{partner}/{name}"))


@program.command("end")
@click.argument("partner")
@click.argument("name")
@click.pass_context
def end_program(context, partner, name):
    """Ends PARTNER's program NAME: it takes no more turns, and neither it nor its budget ever starts anew."""
    show(
        ask_first(
            _controls(context),
            "POST",
            f"/v1/programs/{partner}/{name}/end",
            {},
            on_maybe=f"oakrampctl program read {partner} {name}",
        )
    )


# --- looking -------------------------------------------------------------------


def _listing(name, path, text):
    @main.command(name, help=text)
    @click.pass_context
    def listing(context):
        show(ask_first(_controls(context), "GET", path))


_listing("nodes", "/v1/nodes", "Lists all nodes with their condition.")
_listing("slots", "/v1/slots", "Lists the slots of the control state and who owns them.")
_listing("duties", "/v1/duties", "Shows who holds each duty at the platform, since when, and what is owed.")
_listing("stores", "/v1/stores", "Shows the store set, its epoch and phase, and each store's progress.")
_listing("replicas", "/v1/replicas", "Lists the replicas as the platform listed them.")


@main.command()
@click.option("--json", "as_json", is_flag=True, help="Print all that is known as JSON.")
@click.pass_context
def eviction(context, as_json):
    """Shows tenants whose prompt prefixes evict each other: who, why, where they were moved, what it brought."""
    said = ask_first(_controls(context), "GET", "/v1/placement")
    if as_json:
        show(said)
        return
    for line in lines_of(said) or ["nobody is trapped or moved"]:
        click.echo(line)


@main.command("leaving")
@click.argument("replica")
@click.pass_context
def mark_leaving(context, replica):
    """Marks REPLICA as leaving: nothing more is placed on it."""
    show(ask_first(_controls(context), "POST", f"/v1/replicas/{replica}/leaving", {}, on_maybe="oakrampctl replicas"))


@main.group()
def store():
    """The store set: put an empty store in another's place, watch it, call it off."""


def _named(rows, name):
    """A node by its machine's name or node id."""
    found = [row for row in rows if name in (row["nodeId"], row["machine"])]
    if not found:
        raise CommandRefusedError(
            f"no: there is no such node as {name}; known: {', '.join(sorted(row['machine'] for row in rows))}"
        )
    if len(found) > 1:
        raise CommandRefusedError(
            f"no: {name} stands for {', '.join(row['nodeId'] for row in found)}; give the node id"
        )
    return found[0]


@store.command("replace")
@click.argument("leaving")
@click.argument("joining")
@click.pass_context
def replace_store(context, leaving, joining):
    """Empties the store LEAVING (also one that is lost) and puts the empty store JOINING in its place.

    Both by machine name or node id. Goes on by itself; see `oakrampctl stores` for its progress.
    """
    _replace(context, "store", "/v1/stores", leaving, joining, "oakrampctl stores")


def _replace(context, kind, path, leaving, joining, watch_with):
    controls = _controls(context)
    nodes = [row for row in ask_first(controls, "GET", "/v1/nodes")["nodes"] if row["kind"] == kind]
    record = ask_first(controls, "GET", path)
    # A map of addresses in the roster, a list of rows in the store set.
    member_ids = [row if isinstance(row, str) else row["nodeId"] for row in record["members"]]
    by_id = {row["nodeId"]: row for row in nodes}
    members = [by_id.get(node_id, {"nodeId": node_id, "machine": node_id.partition(".")[0]}) for node_id in member_ids]
    joining_member = _named(
        [row for row in nodes if row["nodeId"] not in member_ids and row["condition"] == "live"], joining
    )
    answer = ask_first(
        controls,
        "POST",
        f"{path}/replace",
        {
            "basedOn": record["version"],
            "leaving": _named(members, leaving)["nodeId"],
            "joining": {"nodeId": joining_member["nodeId"], "peer": joining_member["peer"]},
        },
        on_maybe=watch_with,
    )
    click.echo(f"version {answer['version']}: {leaving} is being replaced by {joining}; watch it with: {watch_with}")


@main.group()
def voting_config():
    """The control nodes whose disks vote."""


@voting_config.command("show")
@click.pass_context
def show_voting_config(context):
    """Shows the roster, its version, and a replacement under way (`next`)."""
    show(ask_first(_controls(context), "GET", "/v1/roster"))


@voting_config.command("replace")
@click.argument("leaving")
@click.argument("joining")
@click.pass_context
def replace_member(context, leaving, joining):
    """Puts the empty control node JOINING in the place of LEAVING (also one that is lost).

    Both by machine name or node id. Goes on by itself; see `oakrampctl voting_config show`.
    """
    _replace(context, "control", "/v1/roster", leaving, joining, "oakrampctl roster show")


@store.command("cancel")
@click.pass_context
def cancel_store(context):
    """Calls a replacement off, as long as the newcomer is only copying."""
    controls = _controls(context)
    record = ask_first(controls, "GET", "/v1/stores")
    answer = ask_first(
        controls, "POST", "/v1/stores/cancel", {"basedOn": record["version"]}, on_maybe="oakrampctl stores"
    )
    click.echo(f"epoch {answer['version']}: {answer['phase']}")


def _condition_or_reason(address):
    try:
        status, answer = ask(address, "GET", "/condition", time_left=3.0)
        return answer if status == 200 else "silent"
    except ConnectionRefusedError:
        return "refused"
    except OSError:
        return "silent"


@main.command()
@click.option("--json", "as_json", is_flag=True, help="Print the findings as JSON.")
@click.pass_context
def doctor(context, as_json):
    """Looks for common faults. Exit code: 0 all well, 3 worth a look, 4 a fault."""
    controls = _controls(context)
    findings = examine(take_survey(lambda path: ask_first(controls, "GET", path), _condition_or_reason))
    if as_json:
        show([vars(finding) for finding in findings])
    for finding in findings if not as_json else ():
        click.echo(f"{finding.level}: {finding.what}\n    cause: {finding.cause}\n    next:  {finding.next}")
    if not findings:
        click.echo(f"all well: {', '.join(CHECKS.names())}")
    sys.exit(worst_code(findings))


@main.command("losses")
@click.argument("logfiles", nargs=-1, required=True, type=click.File(errors="replace"))
def show_losses(logfiles):
    """Adds up the requests that ended late, refused, held, cut or left, from gateways' LOGFILES (- for standard
    input)."""
    for line in summarize(loss for file in logfiles for loss in read_losses(file)):
        click.echo(line)


@main.group("disk")
def disk_group():
    """Looks at the data folder of a node that is stopped."""


@disk_group.command("check")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def check_disk(folder):
    """Says whether a node could start on FOLDER, and what is wrong in it. Changes nothing.

    Exit code: 0 all well, 3 worth a look, 4 damaged.
    """
    code, lines = check_folder(folder)
    for line in lines:
        click.echo(line)
    sys.exit(code)


if __name__ == "__main__":
    sys.exit(main())
