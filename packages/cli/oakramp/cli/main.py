"""oakrampctl: the command line for operators."""

import json
import sys
import time
import uuid

import click

from oakramp.cli.control_client import ADDRESS_TYPE, CommandRefusedError, ask, ask_first, print_json
from oakramp.cli.disk_check import check_folder
from oakramp.cli.doctor import CHECKS, examine, take_survey, worst_code
from oakramp.cli.eviction import format_placement
from oakramp.cli.losses import read_losses, summarize

INIT_TIME = 30  # s; nodes that were just started need a few gossip rounds to learn of each other


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
    """Operates an oakramp cluster through its control nodes.

    Exit codes: 0 done, 1 rejected or outcome unknown (the message says which), 2 usage error.
    """
    context.obj = controls


def _control_addresses(context):
    if not context.obj:
        raise click.UsageError("--control is required")
    return context.obj


def _read_condition(address):
    try:
        status, response = ask(address, "GET", "/condition")
    except OSError as error:
        raise CommandRefusedError(f"{address} does not answer: {error}") from error
    if status != 200:
        raise CommandRefusedError(f"{address}: {response.get('reason', status)}")
    return response


def _wait_for(what, check):
    deadline = time.monotonic() + INIT_TIME
    while True:
        result = check()
        if result:
            return result
        if time.monotonic() > deadline:
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
    """Creates a cluster of the control nodes given with --control and the stores given with --store.

    Safe to run again: nodes that already belong to this cluster are not changed.
    """
    controls = _control_addresses(context)
    rows = {address: _read_condition(address) for address in controls}
    for address, row in rows.items():
        if row["clusterId"] not in ("", None, cluster_id):
            raise CommandRefusedError(f"{address} belongs to cluster {row['clusterId']} already")
    voting_config = {row["nodeId"]: row["peer"] for row in rows.values()}
    for address in controls:
        status, response = ask(address, "POST", "/v1/init", {"clusterId": cluster_id, "roster": voting_config})
        if status != 200:
            raise CommandRefusedError(f"{address}: {response.get('reason', status)}")
    click.echo(f"control nodes: {len(voting_config)}")
    members = _wait_for("joining of the stores", lambda: _joined_members(stores, cluster_id))

    def set_stores():
        try:
            return ask_first(controls, "PUT", "/v1/stores", {"basedOn": 0, "members": members})
        except CommandRefusedError as error:
            if str(error).startswith("no: "):
                raise
            return None

    response = _wait_for("writing of the store set", set_stores)
    click.echo(f"stores: {len(response['members'])}, epoch {response['version']}")


def _joined_members(stores, cluster_id):
    rows = [_read_condition(address) for address in stores]
    if all(row["clusterId"] == cluster_id for row in rows):
        return [{"nodeId": row["nodeId"], "peer": row["peer"]} for row in rows]
    other_clusters = [row["clusterId"] for row in rows if row["clusterId"] not in ("", None, cluster_id)]
    if other_clusters:
        raise CommandRefusedError(f"a store belongs to cluster {other_clusters[0]} already")
    return None


# --- plans ---------------------------------------------------------------------


@main.group()
def plan():
    """Blueprints: write a whole one or apply a named change, read any retained version."""


def _read_file(file):
    try:
        return json.load(file)
    except ValueError as error:
        raise click.UsageError(f"{file.name} is not valid JSON: {error}") from error


def _send_change(context, path, partner, change_id, body):
    change_id = change_id or uuid.uuid4().hex
    response = ask_first(
        _control_addresses(context),
        *path,
        body | {"changeId": change_id},
        outcome_command=f"oakrampctl plan outcome {partner} {change_id}",
    )
    print_json(response | {"changeId": change_id})


BASED_ON = click.option(
    "--based-on",
    "based_on",
    type=click.IntRange(0),
    required=True,
    help="The version on which the change is based; 0 for the first blueprint.",
)
CHANGE_ID = click.option("--change-id", "change_id", help="Use the same id to retry; generated if omitted.")


@plan.command("put")
@click.argument("partner")
@click.argument("file", type=click.File(encoding="utf-8"))
@BASED_ON
@CHANGE_ID
@click.pass_context
def put_plan(context, partner, file, based_on, change_id):
    """Replaces PARTNER's whole blueprint by FILE."""
    _send_change(
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
        raise click.UsageError(f"ARGUMENTS is not valid JSON: {error}") from error
    _send_change(
        context,
        ("POST", f"/v1/blueprints/{partner}/changes"),
        partner,
        change_id,
        {"basedOn": based_on, "change": name, "arguments": parsed},
    )


@plan.command("read")
@click.argument("partner")
@click.option("--version", type=click.IntRange(1), help="An older version; the newest if omitted.")
@click.pass_context
def read_plan(context, partner, version):
    """Shows PARTNER's blueprint."""
    print_json(
        ask_first(
            _control_addresses(context), "GET", f"/v1/blueprints/{partner}" + (f"?version={version}" if version else "")
        )
    )


@plan.command("outcome")
@click.argument("partner")
@click.argument("change_id")
@click.pass_context
def outcome(context, partner, changeid):
    """Shows whether the change CHANGEID was accepted."""
    print_json(ask_first(_control_addresses(context), "GET", f"/v1/blueprints/{partner}/changes/{changeid}"))


# --- programs ------------------------------------------------------------------


@main.group()
def program():
    """Programs: read a budget, end a program permanently."""


@program.command("read")
@click.argument("partner")
@click.argument("name")
@click.pass_context
def read_program(context, partner, name):
    """Shows how much of its token limit PARTNER's program NAME has used."""
    print_json(ask_first(_control_addresses(context), "GET", f"/v1/programs/{partner}/{name}"))


@program.command("end")
@click.argument("partner")
@click.argument("name")
@click.pass_context
def end_program(context, partner, name):
    """Ends PARTNER's program NAME: it accepts no more turns, and neither it nor its budget can be started again."""
    print_json(
        ask_first(
            _control_addresses(context),
            "POST",
            f"/v1/programs/{partner}/{name}/end",
            {},
            outcome_command=f"oakrampctl program read {partner} {name}",
        )
    )


# --- reading -------------------------------------------------------------------


def _add_listing(name, path, text):
    @main.command(name, help=text)
    @click.pass_context
    def listing(context):
        print_json(ask_first(_control_addresses(context), "GET", path))


_add_listing("nodes", "/v1/nodes", "Lists all nodes with their state.")
_add_listing("slots", "/v1/slots", "Lists the shards (slots) of the control state and their leaders.")
_add_listing(
    "duties", "/v1/duties", "Shows the holder of each fenced task at the platform, since when, and the pending calls."
)
_add_listing("stores", "/v1/stores", "Shows the store set, its epoch and phase, and the progress of each store.")
_add_listing("replicas", "/v1/replicas", "Lists the replicas that the platform reported.")


@main.command()
@click.option("--json", "as_json", is_flag=True, help="Print all data as JSON.")
@click.pass_context
def eviction(context, as_json):
    """Shows tenants whose prompt prefixes evict each other: why, where they were moved, and with what effect."""
    placement = ask_first(_control_addresses(context), "GET", "/v1/placement")
    if as_json:
        print_json(placement)
        return
    for line in format_placement(placement) or ["no tenant is in mutual eviction or was moved"]:
        click.echo(line)


@main.command("leaving")
@click.argument("replica")
@click.pass_context
def mark_leaving(context, replica):
    """Marks REPLICA as leaving: it receives no more requests."""
    print_json(
        ask_first(
            _control_addresses(context),
            "POST",
            f"/v1/replicas/{replica}/leaving",
            {},
            outcome_command="oakrampctl replicas",
        )
    )


@main.group()
def store():
    """The store set: replace a store by an empty one, or cancel a replacement."""


def _find_node(rows, name):
    """The row of the node with this machine name or node id."""
    matches = [row for row in rows if name in (row["nodeId"], row["machine"])]
    if not matches:
        raise CommandRefusedError(
            f"no: there is no node {name}; known: {', '.join(sorted(row['machine'] for row in rows))}"
        )
    if len(matches) > 1:
        raise CommandRefusedError(f"no: {name} matches {', '.join(row['nodeId'] for row in matches)}; give the node id")
    return matches[0]


@store.command("replace")
@click.argument("leaving")
@click.argument("joining")
@click.pass_context
def replace_store(context, leaving, joining):
    """Replaces the store LEAVING, which may be lost, by the empty store JOINING.

    Both are given by machine name or node id. Runs in the background; `oakrampctl stores` shows its progress.
    """
    _replace(context, "store", "/v1/stores", leaving, joining, "oakrampctl stores")


def _replace(context, kind, path, leaving, joining, progress_command):
    controls = _control_addresses(context)
    nodes = [row for row in ask_first(controls, "GET", "/v1/nodes")["nodes"] if row["kind"] == kind]
    record = ask_first(controls, "GET", path)
    # The voting configuration has addresses by node id, the store set has a list of rows.
    member_ids = [row if isinstance(row, str) else row["nodeId"] for row in record["members"]]
    by_id = {row["nodeId"]: row for row in nodes}
    members = [by_id.get(node_id, {"nodeId": node_id, "machine": node_id.partition(".")[0]}) for node_id in member_ids]
    joining_member = _find_node(
        [row for row in nodes if row["nodeId"] not in member_ids and row["condition"] == "live"], joining
    )
    response = ask_first(
        controls,
        "POST",
        f"{path}/replace",
        {
            "basedOn": record["version"],
            "leaving": _find_node(members, leaving)["nodeId"],
            "joining": {"nodeId": joining_member["nodeId"], "peer": joining_member["peer"]},
        },
        outcome_command=progress_command,
    )
    click.echo(
        f"version {response['version']}: {leaving} is being replaced by {joining}; watch it with: {progress_command}"
    )


@main.group()
def voting_config():
    """The control nodes whose disks vote."""


@voting_config.command("show")
@click.pass_context
def show_voting_config(context):
    """Shows the voting configuration (roster), its version, and a replacement in progress (`next`)."""
    print_json(ask_first(_control_addresses(context), "GET", "/v1/roster"))


@voting_config.command("replace")
@click.argument("leaving")
@click.argument("joining")
@click.pass_context
def replace_member(context, leaving, joining):
    """Replaces the control node LEAVING, which may be lost, by the empty control node JOINING.

    Both are given by machine name or node id. Runs in the background; see `oakrampctl voting_config show`.
    """
    _replace(context, "control", "/v1/roster", leaving, joining, "oakrampctl roster show")


@store.command("cancel")
@click.pass_context
def cancel_store(context):
    """Cancels a replacement while the joining store is still copying."""
    controls = _control_addresses(context)
    record = ask_first(controls, "GET", "/v1/stores")
    response = ask_first(
        controls, "POST", "/v1/stores/cancel", {"basedOn": record["version"]}, outcome_command="oakrampctl stores"
    )
    click.echo(f"epoch {response['version']}: {response['phase']}")


def _condition_or_reason(address):
    try:
        status, response = ask(address, "GET", "/condition", time_left=3.0)
        return response if status == 200 else "silent"
    except ConnectionRefusedError:
        return "refused"
    except OSError:
        return "silent"


@main.command()
@click.option("--json", "as_json", is_flag=True, help="Print the findings as JSON.")
@click.pass_context
def doctor(context, as_json):
    """Checks for common faults. Exit code: 0 no findings, 3 warnings only, 4 at least one fault."""
    controls = _control_addresses(context)
    findings = examine(take_survey(lambda path: ask_first(controls, "GET", path), _condition_or_reason))
    if as_json:
        print_json([vars(finding) for finding in findings])
    for finding in findings if not as_json else ():
        click.echo(f"{finding.level}: {finding.what}\n    cause: {finding.cause}\n    next:  {finding.next}")
    if not findings:
        click.echo(f"no faults found by: {', '.join(CHECKS.names())}")
    sys.exit(worst_code(findings))


@main.command("losses")
@click.argument("logfiles", nargs=-1, required=True, type=click.File(errors="replace"))
def show_losses(logfiles):
    """Counts the requests that ended late, refused, held, cut or left, from gateways' LOGFILES (- for standard
    input)."""
    for line in summarize(loss for file in logfiles for loss in read_losses(file)):
        click.echo(line)


@main.group("disk")
def disk_group():
    """Examines the data folder of a stopped node."""


@disk_group.command("check")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def check_disk(folder):
    """Reports whether a node could start with FOLDER, and its faults. Changes nothing.

    Exit code: 0 no faults, 3 warnings only, 4 damaged.
    """
    code, lines = check_folder(folder)
    for line in lines:
        click.echo(line)
    sys.exit(code)


if __name__ == "__main__":
    sys.exit(main())
