"""Bootstrap of a self-forming cluster: once, from the seeds of a first start, without any message.

On a first start, the seeds are the same on all nodes. So each control node that is one of the seeds can write the same
first voting configuration, whose node ids and cluster id are derived from the seeds' addresses alone, and no node has
to wait for another. The steps, in the order in which they reach the disk:

    identity   the id of the first voter and its bootstrap record     synced before the id is used for anything
    ring       the first voting configuration                         from here on the voter knows the voters
    identity   the cluster id                                         from here on the node takes part

After a crash behind any of these steps, the node resumes from the bootstrap record in its identity, whatever its env
says by then. A node that lost its disk takes no part in a bootstrap: it comes back under a new id and joins by pulling
from the others. So no node bootstraps twice, and no id derived from an address is ever used without the promises that
were made under it.
"""

from hashlib import blake2b

FIRST_VERSION = 1


def _digest(*parts):
    return blake2b("\0".join(parts).encode(), digest_size=16).hexdigest()


def first_voter_id(address, seeds):
    return f"founder.{_digest('founder', address, *sorted(seeds))}"


def first_cluster_id(seeds):
    return f"cluster.{_digest('cluster', *sorted(seeds))}"


def bootstrap_record_of(env):
    """The bootstrap record of a node with this env and an empty disk, as its identity keeps it; None if the node is
    not one of the first voters."""
    seeds = env["seeds"]
    if not (env.get("selfForming") and env.get("firstStart")) or env["peer"] not in seeds:
        return None
    return {
        "nodeId": first_voter_id(env["peer"], seeds),
        "clusterId": first_cluster_id(seeds),
        "roster": {
            "version": FIRST_VERSION,
            "next": None,
            "members": {first_voter_id(seed, seeds): seed for seed in sorted(seeds)},
        },
    }


async def complete_bootstrap(node, voter):
    """Completes the bootstrap that is recorded in the node's identity."""
    record = node.identity.founding
    await voter.set_voting_config(record["roster"])
    node.identity.join_cluster(record["clusterId"], founded=True)
    node.net.join_cluster(record["clusterId"])
    node.log.info("cluster_bootstrapped", cluster_id=record["clusterId"], members=len(record["roster"]["members"]))
