"""The administrative interface of a control node: HTTP and JSON."""

from schema import And

from oakramp.common.constants import CALL_TIME, VOTING_CONFIG_MOVING_PAUSE
from oakramp.common.errors import BadRequestError, ConflictError, QuorumUnavailableError, RequestRejectedError
from oakramp.common.settings import ADDRESS
from oakramp.common.tasks import sleep
from oakramp.common.validation import NAME, check_fields
from oakramp.control.prefix_placement import PLACEMENT_KEY
from oakramp.control.quorum_contact import majority_answers
from oakramp.control.replica_registry import REPLICAS_KEY
from oakramp.control.shards import shard_of_key
from oakramp.control.store_membership import STORES_KEY, stores_shown
from oakramp.control.voting_configuration import VOTING_CONFIG_KEY, VotingConfiguration

READ_TIME = 2 * CALL_TIME  # s; allows for one change of the leader during a read
CHANGE_TIME = 4 * CALL_TIME  # s; allows for one failover before a change is answered with the verdict maybe


class AdminApi:
    """The HTTP interface of `oakrampctl` (docs/api.md)."""

    def __init__(self, control):
        self._control, self._node, self._client = control, control.node, control.majority_client
        web = control.web
        web.route("POST", "/v1/init", self._init)
        web.route("PUT", "/v1/blueprints/{partner}", self._put_blueprint)
        web.route("POST", "/v1/blueprints/{partner}/changes", self._put_blueprint)
        web.route("GET", "/v1/blueprints/{partner}", self._read_blueprint)
        web.route("GET", "/v1/blueprints/{partner}/changes/{changeId}", self._outcome)
        web.route("GET", "/v1/programs/{partner}/{program}", self._read_program)
        web.route("POST", "/v1/programs/{partner}/{program}/end", self._end_program)
        web.route("GET", "/v1/nodes", self._nodes)
        web.route("GET", "/v1/slots", self._shards)
        web.route("GET", "/v1/replicas", self._replicas)
        web.route("POST", "/v1/replicas/{id}/leaving", self._mark_leaving)
        web.route("GET", "/v1/placement", self._placement)
        web.route("GET", "/v1/duties", self._fenced_tasks)
        web.route("GET", "/v1/stores", self._stores)
        web.route("PUT", "/v1/stores", self._set_stores)
        web.route("GET", "/v1/roster", self._voting_config)
        web.route("POST", "/v1/roster/replace", self._replace_member)
        web.route("POST", "/v1/stores/replace", self._replace_store)
        web.route("POST", "/v1/stores/cancel", self._cancel_store)
        web.route("GET", "/condition", self._condition)

    async def _init(self, call):
        body = check_fields(
            {
                "clusterId": NAME,
                "roster": And(
                    dict,
                    lambda voting_config: (
                        len(voting_config) % 2 == 1
                        and all(map(NAME.validate, voting_config))
                        and all(map(ADDRESS.validate, voting_config.values()))
                    ),
                    error="must be an odd number of node ids with their addresses",
                ),
            },
            call.json(),
        )
        voter = self._control.voter
        voting_config = {"version": 1, "members": body["roster"], "next": None}
        if self._node.node_id not in body["roster"]:
            raise RequestRejectedError("this node is not named in the roster")
        if voter.voting_config is not None and (voter.voting_config.record, self._node.identity.cluster_id) != (
            voting_config,
            body["clusterId"],
        ):
            raise ConflictError(
                "this node already belongs to a cluster", detail={"clusterId": self._node.net.cluster_id}
            )
        if voter.voting_config is None:
            # The voting configuration is written first: a node that has one but no cluster id takes part in nothing
            # yet.
            await voter.set_voting_config(voting_config)
            self._node.identity.join_cluster(body["clusterId"])
            self._node.net.join_cluster(body["clusterId"])
            self._node.log.info("cluster_created", cluster_id=body["clusterId"], members=len(body["roster"]))
        return 200, {"nodeId": self._node.node_id, "clusterId": body["clusterId"]}

    async def _ask(self, key, command, arguments, time_left=READ_TIME):
        if not self._node.net.cluster_id:
            raise RequestRejectedError("this node does not belong to a cluster yet", retry_after=1)
        return 200, await self._client.call(key, command, arguments, time_left)

    def _partner_key(self, call):
        check_fields({"partner": NAME}, {"partner": call.names["partner"]})
        return f"blueprint/{call.names['partner']}"

    async def _put_blueprint(self, call):
        return await self._ask(self._partner_key(call), "put", call.json(), CHANGE_TIME)

    async def _read_blueprint(self, call):
        version = call.query("version")
        if version is not None and not version.isdigit():
            raise BadRequestError("version must be a whole number")
        return await self._ask(self._partner_key(call), "read", {"version": int(version)} if version else {})

    async def _outcome(self, call):
        return await self._ask(self._partner_key(call), "outcome", {"changeId": call.names["changeId"]})

    def _program_key(self, call):
        names = check_fields({"partner": NAME, "program": NAME}, call.names)
        return f"budget/{names['partner']}/{names['program']}"

    async def _read_program(self, call):
        return await self._ask(self._program_key(call), "read", {})

    async def _end_program(self, call):
        return await self._ask(self._program_key(call), "end", {}, CHANGE_TIME)

    async def _nodes(self, _call):
        members = self._node.members
        return 200, {
            "clusterId": self._node.net.cluster_id,
            "nodes": [
                member.to_json() | {"age": round(age, 3), "condition": members.condition(member.node_id)}
                for member, age in sorted(members.newest().values(), key=lambda row: (row[0].kind, row[0].machine))
            ],
        }

    async def _shards(self, _call):
        leaders = self._control.leaders
        rows = ((shard, leaders.failover.known_leader(shard)) for shard in range(self._control.shard_count))
        return 200, {
            "slots": [
                {
                    "slot": shard,
                    "epoch": known and known.epoch,
                    "owner": known and known.node_id,
                    "age": known and round(min(self._node.state_table.age(f"slot/{shard}"), 1e9), 3),
                }
                for shard, known in rows
            ]
        }

    async def _fenced_tasks(self, _call):
        return 200, {"duties": [await self._fenced_task_status(key) for key in self._control.fenced_keys()]}

    async def _fenced_task_status(self, key):
        """The machine that holds the fenced task, and the answer to `read` of its key."""
        known = self._control.leaders.failover.known_leader(shard_of_key(key))
        member = known and self._node.members.find(known.node_id)
        holder = {"duty": key, "holder": member and member.machine, "epoch": known and known.epoch}
        _, answer = await self._ask(key, "read", {})
        return holder | answer

    async def _replicas(self, _call):
        return await self._ask(REPLICAS_KEY, "read", {})

    async def _mark_leaving(self, call):
        return await self._ask(REPLICAS_KEY, "markLeaving", {"id": call.names["id"]}, CHANGE_TIME)

    async def _placement(self, _call):
        return await self._ask(PLACEMENT_KEY, "read", {})

    async def _stores(self, _call):
        status, record = await self._ask(STORES_KEY, "read", {})
        return status, await stores_shown(self._node, record)

    async def _set_stores(self, call):
        return await self._ask(STORES_KEY, "set", call.json(), CHANGE_TIME)

    async def _replace_store(self, call):
        return await self._ask(STORES_KEY, "replace", call.json(), CHANGE_TIME)

    async def _cancel_store(self, call):
        return await self._ask(STORES_KEY, "cancel", call.json(), CHANGE_TIME)

    async def _voting_config(self, _call):
        status, record = await self._ask(VOTING_CONFIG_KEY, "read", {})
        if record["next"] is None:
            await self._wait_until_adopted(VotingConfiguration(record))
        members = self._node.members
        return status, record | {
            "conditions": {
                node_id: members.condition(node_id) for node_id in record["members"] | (record["next"] or {})
            }
        }

    async def _wait_until_adopted(self, voting_config):
        """Returns once a majority has adopted this version. Before that, the loss of members that have adopted it may
        leave the others in a version in which they are no majority, so the change is not reported as completed."""
        ends_at = self._node.reactor.seconds() + READ_TIME
        members = self._node.members
        addresses = {
            node_id: known.peer if (known := members.find(node_id)) else peer
            for node_id, peer in voting_config.members.items()
        }
        while not await majority_answers(self._node, addresses, voting_config, voting_config.version):
            if self._node.reactor.seconds() >= ends_at:
                raise QuorumUnavailableError("no majority has adopted the newest roster yet", retry_after=1)
            await sleep(self._node.reactor, VOTING_CONFIG_MOVING_PAUSE)

    async def _replace_member(self, call):
        return await self._ask(VOTING_CONFIG_KEY, "replace", call.json(), CHANGE_TIME)

    async def _condition(self, _call):
        leaders, voter = self._control.leaders, self._control.voter
        return 200, self._node.condition() | {
            "condition": "ready" if leaders.active else "waiting",
            "slots": len(leaders.active),
            "platform": self._control.platform and self._control.platform.reachable,
            "eviction": self._control.placement.mode,
            "roster": voter.voting_config and voter.voting_config.record,
            "majority": not leaders.contact.is_lost(),
            "votersBehind": leaders.replicator.voters_behind,
            "inTouchFor": round(leaders.contact.seconds(), 3),
            "disk": self._control.ring.condition(),
        }
