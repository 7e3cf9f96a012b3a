"""Every constant of oakramp, with its unit and the reason for its value.

Times are seconds of monotonic time, sizes are bytes, unless the name or the comment says otherwise.
"""

# --- versions of formats -----------------------------------------------------
WIRE_VERSION = 3  # number; raised by one when frames change in a way that an older node cannot ignore, and by two when
# neighbouring versions cannot work together at all (1 to 3: admissions and claims carry a number).
WIRE_SPAN = 1  # versions; largest difference between two connected nodes, so that a fleet can be upgraded node by node
RING_VERSION = 1  # number; raised when the layout of ring files changes

# --- peer connections --------------------------------------------------------
FRAME_LIMIT = 8 << 20  # bytes; fits a whole conversation of long turns, but not the length that garbage decodes to
HELLO_TIME = 3.0  # s; a peer that has not sent its hello by then is not a member
CONNECT_TIME = 1.0  # s; machines of one site answer in milliseconds
PEER_IN_FLIGHT = 512  # calls; if more wait for one peer, that peer is not answering
DIAL_HEDGE = 0.25  # s; a connection attempt that is not answered in this time gets a second one beside it. Many times a
# round trip, and well below the second after which TCP retransmits a SYN.
RECONNECT_PAUSE = 0.2  # s; keeps a dead address from being dialled in a tight loop
REDIAL_PAUSE = 1.0  # s; shortest time between two dials of an address at which another node than expected was found
SILENT_CALL_TIME_MIN = 0.3  # s; the timeout of a call with less time than this says nothing about its connection
SILENT_CONNECTION_TIME = 5.0  # s; a connection on which calls time out and nothing arrives is closed after this.
# Meanwhile a new one is tried beside it.
CALL_TIME = 2.0  # s; a control or store call that takes longer is tried elsewhere
ACCEPT_LIMIT = 512  # connections; a few times the largest fleet that was tested

HELLO_LIMIT = 4 << 10  # bytes; of the frame with a peer's hello, which holds four short names
NON_MEMBER_FRAME_LIMIT = 16 << 10  # bytes; of a frame from a node without a cluster, which may only pull

# --- memory of clients' bytes ------------------------------------------------
MEMORY_DEFAULT_MB = 256  # MB; of a process whose settings name none
DESCRIPTORS_DEFAULT = 4096  # descriptors; of a process whose settings name none
FILE_DESCRIPTORS = 200  # descriptors; that are not for sockets, or half of all if there are few
ACCOUNT_SHARES = {"gate": 0.3, "control": 0.2, "store": 0.1}  # share of the memory; of the account, by kind of node:
# a control node and a store hold their log's table and records besides
BACKEND_SHARES = {"gate": 0.08, "control": 0.2, "store": 0.02}  # share of the memory; for responses of back ends
BACKEND_SENDER_SHARE = 0.5  # share of that room; that one back end may hold with several responses
BACKEND_GATHERED_SHARE = 0.25  # share of the account; for bodies of one back end that are gathered at a time
CLIENT_SHARE = 0.5  # share of the account; that one client address may hold
PINNED_SHARE = 0.75  # share; of the account, and of a client's part of it, that large requests may pin
SMALL_REQUEST = 64 << 10  # bytes; a request up to this size finds room beside large ones
PIECE_OVERHEAD = 1.125  # times; what a body takes that grows piece by piece
FIELD_COST = 160  # bytes; of a parsed header field beside its text
HEAD_SHARE = 1 / 64  # share of the account; the most that one header block may take, as its parsed fields take many
# times as much
STANDS_STILL_AFTER = 1.0  # s; a connection on which nothing has moved for this long gives way first
MEASURE_PAUSE = 0.05  # s; between two rounds in which all connections are measured
MEMORY_LOG_PAUSE = 1.0  # s; between two log lines about the account
CONNECTION_COST = 16 << 10  # bytes; of an open connection: its objects, and what has arrived and is not read yet
CONNECTION_MEMORY_SHARE = 0.25  # share of the memory; that connections may take at each port
CLIENT_DESCRIPTOR_SHARE = 0.5  # share of the descriptors for sockets; for connections of clients
PEER_DESCRIPTOR_SHARE = 0.125  # share of the descriptors for sockets; for connections of other nodes
JSON_DESCRIPTOR_SHARE = 0.1  # share of the descriptors for sockets; for connections at each JSON interface
JSON_CONNECTIONS_LIMIT = 256  # connections; at each JSON interface, if the settings allow as many
JSON_REQUEST_TIME = 60.0  # s; for a whole JSON request, however its pieces come
JSON_OBJECT_COST = 232  # bytes; of a parsed JSON object beside its fields
JSON_ARRAY_COST = 88  # bytes; of a parsed JSON array beside its values
JSON_VALUE_COST = 32  # bytes; of a further value
JSON_STRING_COST = 56  # bytes; of a string beside its text
LOG_PAUSE = 1.0  # s; between two log lines of a kind that strangers can cause as often as they like

# --- ring of files -----------------------------------------------------------
RING_FILES = 8  # files; enough that reclaiming one frees space before the head reaches it
RING_FILE_SIZE = 16 << 20  # bytes; a small disk holds a ring of 128 MiB, of which a quarter may be live
RING_COMMIT_SHARE = 4  # parts; a ring with a given number of files accepts commits of at most a fourth of a file, and
# so has room for half of what its files hold
RING_RESERVE_FILES = 2  # files; kept free so that reclaiming the tail always has room to copy to
LOG_RECOVERY_PAUSE = 0.1  # s; from a failed write to the first attempt to recover the log; doubled for each further one
LOG_RECOVERY_PAUSE_MAX = 1.0  # s; so that a voter is back well before the next machine may be lost
RING_BATCH = 256  # commits; most that one sync covers, so that no commit waits long

# --- membership and gossip ---------------------------------------------------
GOSSIP_PEER_COUNT = 2  # members; of any kind, that each node pulls from in addition to control nodes: with two of all
# its peers lost, one is left
GOSSIP_CONTROL_PEER_COUNT = 1  # control nodes; that a node of another kind pulls from; control nodes pull from all
# others
REMOVED_ITEMS_LIMIT = 256  # items; removed ones that a snapshot remembers, so that deltas can name them
PULL_PAUSE = 0.2  # s; two hops of it stay well below every freshness bound
PEERS_AGE = 1.0  # s; how long a node keeps the peers that were chosen for it while all of them are live
OTHER_PEERS_ROUNDS = 5  # rounds; while all control nodes among its peers answer, a node pulls from one of the others
# every so many rounds
UNCONFIRMED_AGE = 0.8  # s; if something published is unconfirmed for this long, the node pulls from all its peers. With
# leases renewed at each pull, three pulls bring a confirmation everywhere in 0.6 s.
PULL_TIME = 0.8  # s; a member that does not answer a pull in this time counts as silent
LIVENESS_AGE = 1.5  # s; a node whose newest sign of life is older counts as dead: four pulls over two hops
FORGET_AGE = 60.0  # s; the address of a dead node is dropped from the table after this
BLUEPRINT_AGE = 1.5  # s; the requirement allows 2 s, the rest covers forwarding itself
REPLICA_AGE = 2.5  # s; the requirement allows 3 s, the rest covers forwarding itself
FRESH_PULL = 0.1  # s; pause between a gateway's pulls while requests wait for fresh state: half of the ordinary pause
FRESH_POLL = 0.02  # s; how often a request that waits for fresh state checks again

SEED_AGE = 30.0  # s; a seed that has not answered for this long is reported; each is tried every few seconds
CLOCK_POLL = 5.0  # s; how often the wall clock is compared with the monotonic one
CLOCK_JUMP = 0.5  # s; a larger difference between two comparisons is reported as a jump

# --- shards and their leaders ------------------------------------------------
SHARDS = 32  # shards; several for each of five leaders, few enough to fail over at once
LEASE = 0.8  # s; others wait this long after a majority confirmed a leader; responses take milliseconds
LEASE_HELD = 0.79  # s; a leader serves for this long after asking a majority: a little less than LEASE, since the two
# are measured by clocks whose rates may differ, here by up to 12 in 1,000
LEASE_RENEW = 0.25  # s; three renewals fit into a lease, so that one may be lost
LEASE_FRESH = 0.225  # s; a lease that was confirmed by way of a pull which left within this time is not renewed by a
# call. Above PULL_PAUSE, or there would be a call beside each pull; below LEASE_RENEW, or where pulls carry no renewals
# every second renewal by calls would be left out.
LEASE_EXPIRED = 0.9  # s; a lease that a majority has not confirmed for this long is over and its shard fails over.
# Above LEASE, and above the longest gap left by a leader that froze for half a second: 0.5 s, PULL_PAUSE and the
# network delay.
EXPIRY_POLL = 0.05  # s; how often a member looks for such shards in its own voter: a small part of LEASE_EXPIRED
EXPIRY_QUERY_TIME = 0.4  # s; a voter that takes longer to confirm the expiry is not waited for
SUSPECT_SILENCE = 0.6  # s; a node that answered within this time is not passed over as candidate because of an expired
# lease. Two pulls with their network delay, and less than the time from a leader's end until its lease counts as
# expired, which is LEASE_EXPIRED - PULL_PAUSE at least.
CANDIDATE_TURN_TIME = 1.5  # s; one candidate's turn at a shard without a leader, also that of the first candidate: time
# for a check, the wait for the former lease, and the spread of the result by gossip
RELEASE_TIME = 0.4  # s; if a former leader does not release a shard in this time, its lease is waited out
LEADER_CALL_TIME = 0.7  # s; a leader that takes longer is called again, or the one that took over its shards
FORWARD_CALL_TIME = 0.35  # s; for a leader to answer a node that forwards a call to it: half of LEADER_CALL_TIME, so
# that the node that asked hears of the failure
LEADER_CHANGED_GRACE = 0.02  # s; once gossip names another leader, one that was called already is waited for this long.
# Its reply may be on its way, for which a round trip within a region is enough; giving it up is as safe as a call that
# times out.
FAILOVER_POLL = 0.25  # s; how often a control node compares the shards' leaders with the live members
CONTROL_QUEUE_LIMIT = 1024  # commands; a shard with more waiting replies that it is overloaded
SNAPSHOT_PART = 256 << 10  # bytes; one message of a shard's snapshot, packed well within a lease
CONTROL_FULL = 0.7  # share of a ring's capacity; above it nothing new is opened, admitted or claimed
SHARD_FULL = 0.25  # share of a ring's capacity; most that one shard may take, so that its snapshot fits a second time
CONTROL_BATCH = 64  # commands; most that one majority write covers
DEFERRED_COMMAND_SHARE = 0.2  # share of the bound `settle_s`; a command that nobody waits for runs with the next one of
# its shard, or after this
SETTLE_BOUND = 1.0  # s; until the output of a turn is counted, where a deployment's bound `settle_s` does not say
# otherwise
UPDATE_LIMIT = 1 << 20  # bytes; of changes gathered for a voter that is behind, sent in one message; beyond it the
# voter gets a snapshot
UNANSWERED_APPENDS = 4  # appends; a voter that leaves more unanswered gets no more of them, but an update when it is
# back
VOTERS_POLL = 0.5  # s; how often a leader checks which voters lack something: far longer than an append takes
SUPERSEDED_PATIENCE = 2.0  # s; if a voter's epoch is above the leader's for this long, its shard is taken over again: a
# takeover is shorter
APPEND_BATCH_DELAY = 0.002  # s; longest time that an append waits for the reply to the one before, so that both go in
# one call
REJOIN = 4.0  # s; a machine that is back, or new, takes part in full within this, since the next one may be lost then.
# Holds where a deployment's bound `rejoin_s` does not say otherwise.
VOTING_CONFIG_PAUSE = 0.25  # s; how often control nodes check the voting configuration: a small part of what repairing
# it takes
VOTING_CONFIG_MOVING_PAUSE = 0.05  # s; the same for the node that carries out a change of the voting configuration,
# while it is under way
SHARDS_LED_WAIT = 1.0  # s; longest that a repair of the voting configuration waits until each shard has a leader
QUORUM_DEGRADED_AFTER = 1.0  # s; a voting configuration that tolerates no further loss for longer than this is reported
# to operators
VOTING_CONFIG_GONE = 30.0  # s; a member without a sign of life for this long is gone for good. Longer than a partition
# is expected to last, since a member that is only cut off should keep its seat.
VOTING_CONFIG_MIN = 3  # members; fewer tolerate no loss, so a voting configuration never gets smaller than this
VOTING_CONFIG_MAX = 9  # members; four may be lost at once, and more voters only make each change more expensive
VOTING_CONFIG_ANSWERED = 1.0  # s; a node that joins must have answered within this: several pulls, of which one may be
# lost
VOTING_CONFIG_HEARD = 0.5  # s; a member that has not answered for this long may be gone: two pulls at least. As long as
# one may be, its seat is kept free for a newcomer, instead of adding to the members.
VOTING_CONFIG_JOINING = 0.75  # s; a newcomer is watched for this long before it adds to the members: a bit longer than
# VOTING_CONFIG_HEARD, since it may have come to replace one that was lost at that moment
VOTING_CONFIG_REPLACE_AFTER = 3.0  # s; a member without a sign of life for this long is replaced by a node that is not
# a member: longer than a restart with its disk takes, shorter than until the next loss may come
LEADER_RETRY_PAUSE = 0.1  # s; between two calls to a leader while its shard is changing hands
ENTRY_LIMIT = 4 << 20  # bytes; fits a plan of some thousand bindings
PLATFORM_PAUSE = 0.4  # s; with two polls and the time that gossip takes, this keeps the time for a leaving replica
# inside its bound
PLATFORM_TIME = 0.7  # s; a platform that takes longer counts as unreachable from the node that asked
PLATFORM_HEDGE = 0.3  # s; after this the other nodes are asked to poll too
PLATFORM_CALL = 0.8  # s; another node's poll of the platform, with the network delay to that node
PLATFORM_LIMIT = 1 << 20  # bytes; fits a list, or a page of one, of thousands of replicas
PLATFORM_BOUND_SHARE = 1 / 3  # share of the bound for leaving replicas; one poll in each third leaves the rest to
# gossip
PLATFORM_PAUSE_MAX = 1.0  # s; between two polls however wide the bound is, as new replicas are wanted too
PLATFORM_TICKS = 10  # ticks; in one pause, so that a new leader polls soon and a poll is late by little
PLATFORM_RATE_SHARE = 0.5  # share of the platform's rate that the polls of one leader use; others poll at times too
PLATFORM_BACKOFF = 0.05  # s; first pause after the platform answered "too often"; doubled, with random jitter
PLATFORM_PAGES = 2000  # pages; a list with more does not end
BLUEPRINTS_KEPT = 500  # versions; a day of changes every three minutes can be read back
CHANGES_REMEMBERED = 512  # changes; of the routing, whose exact repeats are known. Repeats are not bounded in time, so
# what is older gets no clear answer, and is never refused.
LOG_LINE_LIMIT = 8192  # characters; of a log line, so that one odd value cannot flood a log
OPERATOR_LIMIT = 5 << 20  # bytes; a body from the operator: a document of 4 MiB with room for what is around it
OPERATOR_QUEUE_LIMIT = 64  # calls; of operators at one node at a time, including repeats of those that they left under
# way
OPERATOR_TIME = 4.0  # s; long enough for a takeover. An operator asks elsewhere after a second, and its repeats do no
# harm.
OPERATOR_RESPONSE_AGE = 4.5  # s; a response that is ready this long after its call was held up by a freeze: asking
# takes OPERATOR_TIME at most, and the rest milliseconds
OPERATOR_RETRY = 0.2  # s; retry delay given to an operator: a shard changes hands in a few of these
OPERATOR_SLOW = 0.5  # s; an operator's command that takes longer is logged with all nodes that were asked: commands
# take milliseconds
REPLICATION_SLOW = 0.5  # s; the same for a write to a majority, with the voters that did not have it by then
GOSSIP_DELAY_LOGGED = 0.5  # s; a gossip round that is late by more is logged: the process was frozen, or had no
# processor
MAJORITY_CHECK_DELAY = 0.1  # s; an operator's command that is unanswered for this long triggers a check whether a
# majority answers at all: leaders answer in milliseconds
MAJORITY_CHECK_TIME = 0.35  # s; for the replies to that check, so that a node that is cut off says so in half a second
MAJORITY_CHECK_TIME_MAX = 0.8  # s; the same where nodes answer late: with MAJORITY_CHECK_DELAY within an operator's
# second
ROUTING_AGE = 1.5  # s; as for blueprints, unless the deployment's bounds say otherwise
ROUTING_STRETCH = 3.5  # s; the time of a takeover: for this much longer a gateway without gossip reports itself ready,
# though it refuses
ROUTING_AGE_POLL = 0.25  # s; how often a gateway checks whether its routing table is outdated, for its log only
REJECTED_LOG_PAUSE = 1.0  # s; between two log lines about requests without a route or without a key: clients may send
# many of them
ALLOWANCE_KEPT = 900.0  # s; a program's row is deleted this long after its last turn: a program is over within minutes,
# and this is well above the ten minutes that nothing here outlasts
ALLOWANCE_CLOSED = 64  # turns; of one program that are remembered after their end, so that late copies do nothing
ALLOWANCE_OPEN = 512  # turns; of one program at a time, far above what one program has under way
CLAIM_KEPT = 150.0  # s; twice the required minute with margin, counted by the leader
CLAIM_SEND_TIME = 60.0  # s; a call with a key is sent within this time of its claim or never, so that the claim
# outlives the required minute after it: CLAIM_KEPT - CLAIM_SEND_TIME is above a minute
CLAIM_RESPONSE_LIMIT = 64 << 10  # bytes; of a larger response only the fact that it was given is kept
LEADER_CLEANUP_PAUSE = 1.0  # s; how often a leader deletes expired entries of each shard, a page at a time
LEADER_CLEANUP_KEYS = 32  # keys; in one such page
ENDED_PROGRAM_RECORDS = 128  # records; of a program that has ended, deleted in one step
ENDS_AFTER_MIN = 60.0  # s; a plan may not end programs that were in use within the last minute
ENDS_AFTER_MAX = 2592000.0  # s; a month, longer than any conversation is kept
TURNS_LIMIT = 4096  # turn ids of one program, all remembered as long as it is open; far above a day of turns

# --- stores ------------------------------------------------------------------
STORE_HOT_BYTES = 32 << 20  # bytes; of long values that a store keeps in memory in addition to its disk: what was
# written within about the last minute, which is nearly all that is read
STORE_TABLES = 16  # tables in a store, each with its own queue; conversations are spread over them by hash
STORE_QUEUE_LIMIT = 256  # commands; waiting for one table of a store
STORE_CALL_TIME = 1.0  # s; a store that takes longer is passed over for the other stores
STORE_BACKOFF = 0.05  # s; a gateway leaves out a store that just failed for about this long: one round of a request
STORE_BACKOFF_MAX = 0.5  # s; the same for one that goes on failing: well below what a request may wait
STORES_POLL = 0.2  # s; how often the leader of the store set checks whether a replacement has to start or can go on
STORES_MOVING_PAUSE = 0.05  # s; the same while a replacement is under way
STORES_STATUS_TIME = 0.5  # s; a store that takes longer to report its progress is asked again
STORES_BOOTSTRAP_WAIT = 5.0  # s; after the first store was seen, the first store set waits this long for as many stores
# as it should have
STORES_REPLACE_AFTER = 6.0  # s; a member without a sign of life for this long is replaced by a spare at the latest:
# longer than a restart with its disk takes. Earlier, if the bound `rejoin_s` requires it.
STORES_JOIN_TIME = 1.0  # s; part of the bound in which a machine has to be a full member that is kept for joining
# itself: two polls, the phases, and the copy
STORES_LEAVING_TIME = 3.0  # s; a store that is told to stop serves on for at most this long, until a spare has replaced
# it: with the rest of a planned stop well within the grace period that a process has
STORES_LEAVING_POLL = 0.05  # s; how often it checks whether that is so
CONTACT_GAP = 1.0  # s; between two checks of which members answer: four of their intervals; a longer gap means that the
# process was frozen
CONTACT_AGE = 7.5  # s; a control node that has been in contact with a majority for this long knows which members are
# silent: STORES_REPLACE_AFTER, and LIVENESS_AGE more, since a majority may have stopped answering that long before it
# is noticed
CONTACT_RETRY_AFTER = 0.5  # s; retry delay given to those who ask for something that waits for CONTACT_AGE to pass
MEMBER_WATCH_GAP = 1.0  # s; a watch with a longer gap between two checks was frozen, and has watched nobody meanwhile
PRUNE_PAUSE = 1.0  # s; how often the leader of the store set asks whether ids of retired stores are still in use
CLEANUP_BUCKETS = 64  # buckets of conversations; their checksums fit one small message, and one holds few conversations
COPY_PAGE_TURNS = 512  # turns; asked for in one message
STORE_COPY_PAUSE = 0.1  # s; pause between rounds for a store that has not copied all yet
STORE_CLEANUP = 1.0  # s; pause between rounds of handoff and anti-entropy
CLEANUP_HINTS = 64  # conversations; handed off to one member in one round, so that others get their turn
CLEANUP_KEYS = 256  # conversations; compared in one anti-entropy message
HINT_LIMIT = 20000  # conversations; beyond this anti-entropy alone finds what a missing store lacks
CONVERSATION_KEPT = 900.0  # s; well over the required minute after the last turn finished
CONVERSATION_KEPT_FULL = 150.0  # s; the same when the ring is nearly full, still over twice the required minute
STORE_FULL = 0.9  # share of a ring's capacity; above it gateways start no turn that this store would have to keep
STORE_FULL_AGE = 2.0  # s; how long a gateway relies on a store's reply that it has no room
STORE_EARLY_EVICTION_SHARE = 0.7  # share of a ring's capacity; above it a store evicts conversations sooner
READ_HISTORY_KEPT = 30.0  # s; a turn that was just read is kept this long, so that the turn which continues it can be
# kept too
RECORD_KEPT_MAX = 900.0  # s; longest that a turn's record is kept when nothing is heard of it, as for conversations
RETAIN_MARGIN = 15.0  # s; added to the time that a turn is to be kept, for the transfer of the request that continues
# it
RECORDS_DROPPED = 512  # records; most that are deleted in one round, so that others get their turn
RECORD_PAGE = 512 << 10  # bytes; of records in one message, far below the frame limit, a few milliseconds of work
READ_HISTORY_HEDGE = 0.04  # s; if a store takes longer to answer a read, another one is asked beside it
LATE_FACTOR = 4  # times the usual time; a reply that takes longer is late
RETAIN_HEDGE = 0.12  # s; the same as READ_HISTORY_HEDGE for a write, which waits for two disks
CONVERSATION_TURNS = 512  # turns; a long session has about seven
CONVERSATION_SIZE = 4 << 20  # bytes; below the frame limit with room for its clocks

# --- gateways ----------------------------------------------------------------
BODY_LIMIT = 1 << 20  # bytes; a client's request body
REPLICA_EVENT_LIMIT = 64 << 10  # bytes; one event line from a replica
OUTPUT_PIECE_COST = 192  # bytes; of a piece of a turn's output beside its text
OUTPUT_LIMIT = 1 << 20  # bytes; the whole output of one turn
NAME_LIMIT = 128  # characters; names of partners, programs, conversations, turns and keys
UNITS_LIMIT = 1 << 40  # units; a spending limit above it is a mistake
ACCEPT_QUEUE_LIMIT = 1024  # requests; inside one gateway at a time; above it the gateway replies that it is overloaded
PLACE_QUEUE_LIMIT = 256  # requests; waiting for a replica in one gateway, for each partner
TIME_LEFT_DEFAULT = 120.0  # s; a whole turn, when the client does not say
TIME_LEFT_LIMIT = 600.0  # s; nothing waits longer than this
IDLE_TIME = 20.0  # s; a replica that sends nothing for this long between two pieces is given up
GATEWAY_REPLICA_IN_FLIGHT = 32  # requests; one gateway's own at one replica; each serves a few dozen at once
DESCRIBE_PAUSE = 1.0  # s; how often a gateway asks a replica for its weight; in between it counts its own requests
DESCRIBE_TIME = 1.0  # s; a replica that takes longer to describe itself is chosen last
AFFINITY_WEIGHT_LIMIT = 0.85  # share of capacity; above it a replica no longer keeps its conversations
CONTENDED_SHARE = 0.9  # share of capacity; above it the gateways share a replica evenly
PREFIX_CHARACTERS = 256  # characters; the common start by which similar prompts are placed together
SETTLE_WAIT = 2.0  # s; the closing event of a finished turn waits this long for its settlement
SETTLE_TIME = 20.0  # s; one attempt of a gateway to report a turn's result to the leader, and the wait of a planned
# stop for all of them
SETTLE_QUEUE_LIMIT = 2048  # settlements; open in one gateway at most: twice what it accepts at a time
FULL_RETRY_AFTER = 60  # s; retry delay given by a full fleet: expired entries are deleted in the order of minutes
RETRY_AFTER = 1  # s; retry delay given by an overloaded gateway
REFUSED_PAUSE = 0.25  # s; a replica that refused a request counts as full for this long
FORWARD_ATTEMPTS = 32  # attempts; to forward one request, as long as each is refused and time is left
RUN_SHARE = 0.2  # share of a request's time reserved for its run; if placed later it would only be cut off
IDLE_CLIENT_TIME = 65  # s; a client's connection without a request is closed after this
QUIET_TIME = 0.5  # s; a stopping process waits this long for requests that are already on their way
STOP_TIME = 60.0  # s; a planned stop waits this long for what runs

# --- proxied requests --------------------------------------------------------
LOAD_AGE = 0.6  # s; the weight of a replica's load report falls to zero over this: one or two of its requests
LOAD_MEAN_AGE = 3.0  # s; the mean of the load reports of a service's replicas falls to zero over this
LOAD_MEAN_STEP = 0.2  # share of the distance to a load report; by which the mean moves with each report
LOAD_REPORT_MAX = 2  # times its slots; what one replica reports above this does not count for the others of its service
FIRST_TURN_SHARE = 0.5  # share of a replica's slots; where more are in use no program of the most urgent class starts
# its first turn, if programs have several turns: each brings more, and a replica that is nearly full takes twice as
# long for each
FOLLOW_UP_MAX = 0.5  # share of all turns; from so many follow-up turns on, first turns leave them all of that room
FOLLOW_UP_STEP = 0.05  # share of the distance; by which each turn moves the estimate of that share: a memory of some
# twenty turns
FIRST_TURN_PRIORITY_FACTOR = 0.9  # factor; on that share for each class that is less urgent by one, so that the more
# urgent ones still start where the others are refused
PROGRAMS_KNOWN = 8192  # programs; that a gateway remembers, some minutes' worth under the heaviest load that it is
# designed for
FIRST_TURN_DEADLINE_SHARE = 0.1  # share of a route's target; a program that can't start by then is refused
FIRST_TURN_RETRY_AFTER = 0.05  # s; retry delay given to a client whose program could not start, for it is soon too late
# for it
QUEUED_SHARE = 0.25  # share of a replica's slots; this many requests may wait at the replica, since it starts them as
# soon as it can
AFFINITY_SLACK = 0.2  # share of a replica's slots; other replicas must have this much more room before a program leaves
# the replica that has its prompts: reading them again costs about as much as that many requests running beside it
LAST_REPLICA_SLACK = 1.0  # share of a replica's slots; other replicas must have this much more room before a program
# leaves the replica that had its last turn, and so has the most of its prompts
BALANCER_QUEUE = 512  # requests; waiting for room at one service in one gateway
SHED_PAUSE = 0.05  # s; a replica that rejected a request counts as full for about one short request
EJECT_AFTER = 3  # failures in a row; single ones happen to healthy replicas
EJECT_PAUSE = 0.5  # s; a failing replica gets no requests for this long at first, doubled with each further failure
EJECT_LONGEST = 8.0  # s; a replaced or restarted replica must not be left out for long
OUTLIER_WINDOW = 3.0  # s; faults of a replica count against it for this long: long enough that gateways which send it a
# request every few seconds see some, short enough that a repaired one is soon back
OUTLIER_FAULTS = 3  # faults; within the window, at all gateways together: single ones happen to healthy replicas
OUTLIER_RATE = 0.15  # share of the requests that a replica was given; fewer faults cost less than doing without it
OUTLIER_MEAN_FACTOR = 3.0  # times the mean number of faults of the other replicas; with fewer the load is the cause
OUTLIER_SHARE = 0.34  # share of a service's replicas; more are never left out
OUTLIER_REPORT_PAUSE = 0.4  # s; shortest time between two fault reports of a gateway: two pulls' pauses, as each report
# changes its row
LATE_POLL = 0.1  # s; how often a gateway looks for responses that are late
LATE_MIN = 0.25  # s; no response counts as late before: a prompt of some ten thousand tokens is read in less
LATE_FACTOR = 6.0  # times the usual time to the head of a response; a response that takes longer is late
LATE_STEP = 0.05  # share; by which the usual time follows each response, up or down
STALLED_FACTOR = 2.0  # times the time after which a response is late; after it a request that may be repeated goes to
# another replica
STALLED_SHARE = 0.33  # share of the time left; not before it, so that a slow service is not asked twice for each
# request
RETRY_AFTER_MIN = 0.2  # s; retry delay given to a client that was refused early: the time of a few short requests
OUTAGE_RETRY_AFTER = 1.0  # s; retry delay given to a client while a leader or lost gossip is being recovered: about
# what is left of that
HOLD_SHARE = 0.4  # share of the client's time left; a request that came while gossip is missing waits this long for it,
# the rest is for its run or for another attempt elsewhere
OUTAGE_SHARE = 0.3  # share of the client's time left; with a longer retry delay it would not come back at all
QUEUE_WAIT_SHARE = 0.5  # share of the time left that a request waits for room; the rest is for its run
HELD_SHARE = 0.25  # share of a route's target; a request that is refused later than this counts as held
LOSS_LOG_RATE = 10  # log lines a second; about requests that ended late or failed, at one gateway: a few hundred bytes
# each
RESPONSE_HELD_LIMIT = 256 << 10  # bytes; of a response gathered before any of it is passed on, so that a truncated one
# may be tried again
PROXY_IN_FLIGHT = 512  # requests; at a time in one gateway, several times what its replicas take
SETTLE_PAUSE = 0.05  # s; settlements of one program wait this long to be sent together, well under the users' bound
READY_DRAIN = 2.5  # s; a stopping gateway reports that it is not ready and still serves: the clients' load balancer
# asks each second and needs two misses
REFUSAL_LIMIT = 64 << 10  # bytes; of a replica's refusal, read to its end so that its connection may be kept
TURN_OUTPUT_LIMIT = 4 << 20  # bytes; of one turn's output as it is kept
STOP_MARGIN = 0.5  # s; a stop ends this long before the grace period given by the settings, so that it is never cut off
ENV_POLL = 1.0  # s; how often the settings file is checked for changes; a check is one system call

# --- HTTP proxy --------------------------------------------------------------
CHUNK_LINE_LIMIT = 1024  # bytes; a chunk's size line with its extensions, limited as in Twisted
CHUNKS_PER_TURN = 512  # chunks; of one body that are decoded in one turn of the reactor
PIECES_PER_TURN = 64  # pieces; of one run of `/v1` that are relayed in one turn of the reactor
LINES_PER_TURN = 256  # lines; of the events of one stream that are relayed in one turn of the reactor
TRAILER_LIMIT = 16 << 10  # bytes; trailers are read and dropped
READ_AHEAD_LIMIT = 16 << 10  # bytes; of a client's next requests, read while one is being answered
CLIENTS_LIMIT = 2048  # connections; of clients at a time, if the settings allow as many
BODY_TIME = 300.0  # s; for a whole body, however its pieces come: far longer than any route's deadline
LINGER_TIME = 2.0  # s; a client that still sends after its response is read for this long, so that a reset does not
# overtake the response
PEER_SILENCE = 5.0  # s; bytes unacknowledged for this long mean that the peer's machine or the path to it is gone
PEER_PROBE = 2  # s; a connection on which a response is awaited is probed after this much silence, and at this interval
RESPONSE_HEAD_LIMIT = 64 << 10  # bytes; a replica's header block; a larger one is not accepted as a response
CHUNK_FRAMING_FACTOR = 8  # times; what a body in chunks of one byte takes on the wire, and a little more
SETTLING_TIME = 0.02  # s; a body that ends like the beginning of a head is complete only if nothing comes for this long
RESTART_HEAD_LIMIT = 4 << 10  # bytes; of a body, held back while they may be the head of another response
UNREQUESTED_RESPONSE_LIMIT = 256 << 10  # bytes; of responses to other requests, read over before the awaited one
UNREQUESTED_RESPONSES_LIMIT = 8  # responses; to other requests, read over before the awaited one
DEADLINE_MARGIN = 0.01  # s; a back end that stops work at the time it was handed, in whole ms, may do so earlier
PIECE_SIZE_MIN = 4 << 10  # bytes; shorter pieces of a body are joined to the one before
RESPONSE_FIELDS_LIMIT = 1000  # fields; of a replica's header block
BACKEND_READ_SIZE = 16 << 10  # bytes; read at a time from a back end, so that many paused responses hold little
BACKEND_RECEIVE_BUFFER = 64 << 10  # bytes; of what a back end has sent and is not read yet; Linux takes twice as much
EVENT_LIMIT = 1 << 20  # bytes; of one event of a stream
RESPONSE_BUFFER_LIMIT = 64 << 10  # bytes; of one response's body buffered for a client that reads slowly, then the
# replica is paused
KEEP_ALIVE_MARGIN = 0.4  # s; a connection is no longer used this long before the replica's own timeout for idle
# connections: the network and a busy process on either side cause delays
KEEP_ALIVE_DEFAULT = 0.4  # s; a replica that names no timeout may close an idle connection before a second is over

# --- tenants in mutual eviction ----------------------------------------------
EVICTION_ROUND = 2.0  # s; interval of the gateways' reports and of the leader's rounds: some requests of each tenant,
# well under the length of a rush
EVICTION_WINDOW = 24.0  # s; over which rates are taken, less at first: a tenant that asks every few seconds is seen in
# it
TENANT_ID_LIMIT = 64  # characters; of a part's id; longer ones are replaced by a hash
TENANTS_COUNTED = 1024  # tenants; of a service in one gateway and round: there are fewer than a thousand, and more only
# if a client invents them
TENANTS_REPORTED = 48  # tenants; in a report, those with the most tokens: at 116 bytes each, 2.8 KB/s of a node's 11
TENANT_PARTS = 64  # parts; of one tenant counted in a round: common ones come first in prompts
TENANT_PARTS_REPORTED = 3  # parts; of one tenant in a report
REPORTING_GATEWAYS = 4096  # gateways; whose reports are held, several times the largest fleet
PRESSURE_LATE = 0.01  # share of late responses; below it a gateway reports nothing: the target is 99 in 100 in time
CACHE_TIME_MAX = 600.0  # s; a part that stays longer than this is never read again within one rush
CACHE_USABLE = 0.9  # share of cache_tokens; the rest is held by the output of running requests
COMMON_USES = 2  # requests; that share a part, of two programs at least: otherwise it belongs to one session
COMMON_SHARE = 1 / 16  # share of a tenant's requests; the same for one that asks often
TRAP_REQUESTS = 12  # requests; of all evicted tenants in a window; fewer are not significant
EVICTED_SHARE = 0.2  # share of a tenant's prompt tokens; read again because others evicted them: above it the tenant
# counts as evicted
TRAP_LATE = 0.02  # share of late responses of all evicted tenants; those whose responses are in time are left alone
TRAP_ROUNDS = 2  # rounds; in a row, so that one odd round moves no tenant; a cold start is told apart by the sets
EVICTED_END = 0.1  # share of a tenant's prompt tokens; if no tenant would be above it with all moved back, all may be
# released
END_ROUNDS = 10  # rounds; in a row, so that a pause within a rush moves no tenant back and forth
BIN_SHARE = 0.8  # share of a replica's usable cache; for which working sets are planned, the rest is for sessions
HOT_SHARE = 0.5  # share of a replica's mean rate; a tenant that asks for more gets another replica
TENANT_REPLICAS = 0.5  # share of a service's replicas; that one tenant gets at most, however much it asks
TENANTS_MOVED = 256  # tenants; of one service moved at a time, so that a plan stays a small entry
PLAN_GAIN = 0.5  # share of the tokens read again; a plan that leaves more of them is not worth the moves
PLAN_AGE = 10.0  # s; a gateway whose plan was confirmed longer ago places as without a plan: fits a takeover and two
# rounds
PLACEMENT_SLACK = 1.0  # share of a replica's slots; other replicas must have this much more room before a moved
# tenant's request goes elsewhere: a prefix read there delays all requests that run there, and evicts those of others
# (at 0.4 a load beside a large tenant never came out of mutual eviction: docs/eviction.md)
PLACEMENT_WAIT_SHARE = 0.5  # share of the time that a request may wait for room; it waits this long for its tenant's
# replicas if all replicas are about as full
FINDINGS_SHOWN = 64  # tenants; in the operators' list, the worst first
TENANTS_NAMED = 4  # tenants; named in one log line

# --- fenced tasks ------------------------------------------------------------
FENCED_ROUND = 0.25  # s; between two checks of the calls that are still owed to the platform
FENCED_RATE_SHARE = 0.5  # share of the platform's rate of calls; a former holder may have used some of this second's
FENCED_CALL_TIME = 2.0  # s; for the response to a call, doubled after each call that failed
FENCED_CALL_TIME_MAX = 16.0  # s; a platform that is slow still answers in it
FENCED_BACKOFF = 0.2  # s; after a call that was not accepted, doubled with each further one, with random jitter
FENCED_BACKOFF_MAX = 2.0  # s; with it a window is still reported on time after an outage
FENCED_LEASE_LEFT = 0.2  # s; of the lease that must be left when a call is sent
FENCED_LEASE_POLL = 0.1  # s; how often the lease is checked during a call
FENCED_UNACKNOWLEDGED = 0.8  # s; after which the kernel drops what a call's connection has not sent yet: well before
# the next holder acts, and longer than the recovery of a lost packet takes
FENCED_ARRIVAL = 1.2  # s; after which nothing arrives any more of what a former holder sent: what it sent last is
# dropped by its kernel after FENCED_UNACKNOWLEDGED
FENCED_RECENT = 2  # lock delays; a holder that acted within this time may be the holder before the former one, and is
# waited for longer
FENCED_OFFER_AFTER = 2.0  # s; a holder that cannot connect to the platform for this long offers its shard to others
FENCED_OFFERS = 3  # nodes; that are asked at a time
FENCED_PROBE_TIME = 0.5  # s; to connect to the platform, for a node that is offered a fenced task
FENCED_OFFER_TIME = 0.8  # s; for that node's reply
FENCED_DECLINED = 30.0  # s; during which a node that has handed off a fenced task does not ask for it back
FENCED_RESPONSE_LIMIT = 64 << 10  # bytes; of a response's body, which is not used
FENCED_REFUSALS_MAX = 8  # calls; a report that the platform refuses for good this often is given up
FREEZE_POLL = 0.1  # s; how often a process records that it is running
CLOCK_SAMPLE = 1.0  # s; between two samples of the wall clock
CLOCK_SAMPLES = 60  # samples; whose median is used, so that a jump shorter than half a minute has no effect
REPORTED_CLOCKS_MIN = 3  # machines; whose median outvotes one that is wrong
REPORTED_CLOCK_AGE = 5.0  # s; after which a machine that was silent no longer counts in the median
CLOCK_DIFFERENCE = 1.0  # s; from the fleet's time, within which a machine keeps to its own; a report that took longer
# to arrive is not used
FLEET_CLOCK_AGE = 60.0  # s; for which the fleet's time is used while none is reported: a machine's own is steady by
# then
USAGE_GRACE = 2.5  # s; after a window's end for the gateways' last counts, well within the time a report may be late
USAGE_WINDOWS_KEPT = 720  # windows; reported after an outage, an hour of five-second ones
USAGE_OWED_SHOWN = 16  # windows; named in the operators' view, the oldest first
USAGE_REPORT_PAUSE = 1.0  # s; between two reports of a gateway's counts: what is lost if a gateway is killed
USAGE_SILENCE = 2  # report pauses; after which a gateway without new counts reports again, so that its clock is known
# to a new leader within USAGE_GRACE
USAGE_CLOCKS_SETTLE = 1.5  # s; after the start of a leadership, in which the first times of gateways may have waited
# for a leader to report to
USAGE_HOLD_TIME = 3.0  # s; for which a gateway's first requests wait for the fleet's time while no settled leader
# answers; a new leader closes nothing for nearly as long
USAGE_REPORT_TIME = 2.0  # s; for one report, before the next one has it all again
