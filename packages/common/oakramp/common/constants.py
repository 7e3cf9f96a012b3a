"""Every constant of oakramp, with its unit and the reason for its value.

Times are seconds of monotonic time, sizes are bytes, unless the name or the comment says otherwise.
"""

# --- versions of formats -----------------------------------------------------
WIRE_VERSION = 3  # number; rises when frames change in a way an older node cannot ignore; by two when
# neighbours
# cannot work together at all (1 to 3: admissions and claims bear a number)
WIRE_SPAN = 1  # versions; apart at most, so that a fleet can be rolled from one to the next
RING_VERSION = 1  # number; rises when the layout of ring files changes

# --- peer connections --------------------------------------------------------
FRAME_LIMIT = 8 << 20  # bytes; a whole line of long turns fits, a garbage length prefix does not
HELLO_TIME = 3.0  # s; a peer that says nothing for this long is no member
CONNECT_TIME = 1.0  # s; machines of one site answer in milliseconds
PEER_IN_FLIGHT = 512  # calls; more waiting on one peer means that peer is not answering
DIAL_HEDGE = 0.25  # s; a dial that is not answered in this time gets another one beside it: many times a round trip,
# and well below the second after which TCP sends an opening packet again
RECONNECT_PAUSE = 0.2  # s; keeps a dead address from being dialled in a loop
REDIAL_PAUSE = 1.0  # s; an address at which another node was found than was asked for is dialled again so often at most
SILENT_LEAST = 0.3  # s; a call with less time than this says nothing of its connection when it times out
SILENT_MOST = 5.0  # s; a connection on which calls time out and nothing comes is closed after this; a new one is tried
# beside it meanwhile
CALL_TIME = 2.0  # s; a control or store call that takes longer is tried elsewhere
ACCEPT_LIMIT = 512  # connections; a few times the largest fleet tried

# --- ring of files -----------------------------------------------------------
RING_FILES = 8  # files; enough that reclaiming one frees space before the head meets it
RING_FILE_SIZE = 16 << 20  # bytes; a small disk holds a ring of 128 MiB, a quarter of which may be live
RING_COMMIT_SHARE = 4  # parts; a ring with its number of files given takes commits of at most a file's fourth, and
# so
# has room for half of what its files hold
RING_RESERVE_FILES = 2  # files; kept free so that reclaiming the tail always has room to copy
LOG_RECOVERY_PAUSE = 0.1  # s; from a failed write to the first try to bring the log back, doubled with each further one
LOG_RECOVERY_PAUSE_MOST = 1.0  # s; so that a voter is back well before the next machine may be lost
RING_BATCH = 256  # commits; one sync covers this many at most, so that no commit waits long

# --- cohort and news ---------------------------------------------------------
GOSSIP_PEER_COUNT = 2  # members; of any kind, each node pulls from this many beside control nodes: two losses
# leave one
GOSSIP_CONTROL_PEER_COUNT = 1  # control nodes; that a node pulls from which is none itself; control nodes pull from all
# others
GONE_LIMIT = 256  # items; removed ones that an image remembers, so that deltas can name them
PULL_PAUSE = 0.2  # s; two hops of it stay well below every freshness bound
PEERS_AGE = 1.0  # s; for so long a node keeps the peers that were named for it while all of them are live
OTHER_PEERS_ROUNDS = 5  # rounds; while all control nodes among its peers answer, a node pulls from one other in so many
UNCONFIRMED_AGE = 0.8  # s; what was published and not confirmed for so long makes a node ask all its peers: with leases
# renewed at each pull, three pulls bring a confirmation everywhere in 0.6 s
PULL_TIME = 0.8  # s; a member that does not answer a pull in this time counts as silent
CONDITION_AGE = 1.5  # s; a node whose newest sign of life is older counts as dead: four pulls of two hops
FORGET_AGE = 60.0  # s; a dead node's address is dropped from the table after this
BLUEPRINT_AGE = 1.5  # s; the rule allows 2 s, the rest covers the carry itself
REPLICA_AGE = 2.5  # s; the rule allows 3 s, the rest covers the carry itself
FRESH_PULL = 0.1  # s; how often a gate pulls while requests wait for fresh news: half of the ordinary pause
FRESH_POLL = 0.02  # s; how often a request waiting for fresh news looks again

SEED_AGE = 30.0  # s; a seed without an answer for so long is reported; each is asked every few seconds
CLOCK_POLL = 5.0  # s; how often the wall clock is compared with the monotonic one
CLOCK_JUMP = 0.5  # s; a larger difference between two looks is reported as a jump

# --- owned keys --------------------------------------------------------------
SHARDS = 32  # slots; several for each of five owners, few enough to take over at once
LEASE = 0.8  # s; others wait this long after a majority confirmed an owner; answers take milliseconds
LEASE_HELD = 0.79  # s; an owner serves this long after asking a majority: a little less than TERM, since the two are
# measured by clocks whose rates may differ, here by up to 12 in 1,000
LEASE_RENEW = 0.25  # s; three renewals fit into a term, so that one may be lost
LEASE_FRESH = 0.225  # s; a term confirmed on the way of a pull that left within this is not renewed by a call:
# above
# PULL_PAUSE, or a call would go beside each pull; below TERM_RENEW, or each second renewal
# by
# calls would be left out where pulls carry none
LEASE_EXPIRED = 0.9  # s; a lease that a majority has not confirmed for so long is over; its shard fails over:
# above LEASE, and above the longest pause of an owner that froze for half a second: 0.5 s, PULL_PAUSE and the way
EXPIRY_POLL = 0.05  # s; how often a member looks for such slots in its own voter: a small part of LEASE_EXPIRED
EXPIRY_QUERY_TIME = 0.4  # s; a voter that takes longer to say so is not waited for
SUSPECT_SILENT = 0.6  # s; who has answered within this is not passed over for a lapsed lease: two pulls with their way,
# and less than from an owner's end until its lease counts as lapsed, which is LEASE_LAPSED - PULL_PAUSE at least
CANDIDATE_TURN_TIME = 1.5  # s; one candidate's turn at a slot without owner, the first one's too: time for a look,
# the wait for the former term, and the news of it to get round
RELEASE_TIME = 0.4  # s; a former owner that does not give a slot up in this time has its term waited out
OWNER_TRY_TIME = 0.7  # s; an owner that takes longer is asked again, or whoever took its slots over
ONWARD_TIME = 0.35  # s; an owner that does not answer whoever passes a call on in this time: half of OWNER_TRY_TIME, so
# that the asker hears of it
OWNER_LEFT_PAUSE = 0.02  # s; once news name another owner, one that was asked is waited for so long: its answer may be
# on its way, for which a round trip within a region is enough; leaving it is as safe as a call that times out
FAILOVER_POLL = 0.25  # s; how often a control node compares owned slots with the live members
CONTROL_QUEUE_LIMIT = 1024  # commands; a slot with more waiting answers that it is overloaded
SNAPSHOT_PART = 256 << 10  # bytes; one message of a slot's image, packed well within a term
CONTROL_FULL = 0.7  # share of a ring's capacity; from here on nothing new is opened, admitted or claimed
SHARD_FULL = 0.25  # share of a ring's capacity; one slot may take it, so that its image fits a second time
CONTROL_BATCH = 64  # commands; one majority write covers this many at most
DEFERRED_COMMAND_SHARE = 0.2  # share of the bound `settle_s`; a command that nobody waits for runs with the next one of
# its shard, or after this
SETTLE_BOUND = 1.0  # s; for what a turn put out to be counted, where a deployment's bound `settle_s` says nothing else
UPDATE_LIMIT = 1 << 20  # bytes; of changes gathered for a voter that is behind, one message: beyond it gets an image
UNANSWERED_STEPS = 4  # steps; a voter that leaves more unanswered gets no more of them, but an update when it is back
VOTERS_POLL = 0.5  # s; how often an owner looks which voters lack something: far longer than a step takes
OUTRANKED_PATIENCE = 2.0  # s; a voter above the epoch for so long has its slot taken over anew: a take-over is shorter
STEP_PAUSE = 0.002  # s; a step waits so long at most for the answer to the one before, so that both go in one
# call
REJOIN = 4.0  # s; a machine that is back, or new, takes part in full within this, since the next may be lost then;
# holds where a deployment's bound `rejoin_s` does not say otherwise
VOTING_CONFIG_PAUSE = 0.25  # s; how often control nodes look at the roster: a small part of what mending it takes
VOTING_CONFIG_MOVING_PAUSE = 0.05  # s; the same for who moves a change of the roster on, while it is under way
SHARDS_LED_PATIENCE = 1.0  # s; a repair of the roster waits so long at most until each shard has a leader
QUORUM_DEGRADED_AFTER = 1.0  # s; a voting configuration that bears no further loss for longer is told to operators
VOTING_CONFIG_GONE = 30.0  # s; a member without a sign of life for this long is gone for good: longer than a cut is
# expected to last, since who is only cut off should keep its place
VOTING_CONFIG_LEAST = 3  # members; fewer bear no loss, so a roster never gets smaller than this
VOTING_CONFIG_MOST = 9  # members; four may be lost at once, and more voters only make each change dearer
VOTING_CONFIG_ANSWERED = 1.0  # s; who joins must have answered within this: several pulls, of which one may be lost
VOTING_CONFIG_HEARD = 0.5  # s; a member that has not answered for this long may be gone: two pulls at least. As long
# as
# one may be, its place is kept free for who comes, instead of adding to the members
VOTING_CONFIG_JOINING = 0.75  # s; a newcomer is watched for this long before it adds to the members: a bit longer than
# ROSTER_HEARD, since it may have come for one that was lost at that moment
VOTING_CONFIG_PATIENCE = 3.0  # s; a member without a sign of life for this long gives its place to an outsider: longer
# than
# a restart with its disk takes, shorter than until the next loss may come
OWNER_TRIES_PAUSE = 0.1  # s; between asking for an owner again while a slot is changing hands
ENTRY_LIMIT = 4 << 20  # bytes; a plan of some thousand bindings fits
PLATFORM_PAUSE = 0.4  # s; with two looks and the news' path this keeps a leaving replica inside its bound
PLATFORM_TIME = 0.7  # s; a platform that takes longer counts as out of reach of the node that asked
PLATFORM_HEDGE = 0.3  # s; after this the others are asked to look too
PLATFORM_CALL = 0.8  # s; another node's look at the platform, with its way
PLATFORM_LIMIT = 1 << 20  # bytes; a list, or a page of one, of thousands of replicas fits
PLATFORM_BOUND_SHARE = 1 / 3  # share of the bound for leaving replicas; one look in each third leaves the rest to the
# news
PLATFORM_PAUSE_MOST = 1.0  # s; from look to look however wide the bound, as new replicas are wanted too
PLATFORM_TICKS = 10  # ticks; of one pause, so that a new owner looks soon and a look is late by little
PLATFORM_RATE_SHARE = 0.5  # share of the platform's rate that looks of one owner use; others look too now and then
PLATFORM_BACKOFF = 0.05  # s; first pause after "too often", doubled and drawn out at random
PLATFORM_PAGES = 2000  # pages; a list of more does not end
BLUEPRINTS_KEPT = 500  # versions; a day of changes every three minutes can be read back
CHANGES_REMEMBERED = 512  # changes; of the routing whose exact repeats are known; repeats have no bound in time, so
# what is older gets no clear answer, and is never refused
LOG_LINE_LIMIT = 8192  # characters; of a log line, so that one odd value cannot flood a log
OPERATOR_LIMIT = 5 << 20  # bytes; a body from the operator: a document of 4 MiB with room for what is around it
OPERATOR_QUEUE_LIMIT = 64  # calls; of operators at one node at a time, repeats of what they left under way included
OPERATOR_TIME = 4.0  # s; a take-over fits; an operator asks elsewhere after a second, and its repeats do no harm
OPERATOR_ANSWER_AGE = 4.5  # s; an answer that is ready so long after its call was held up by a freeze: asking takes
# OPERATOR_TIME at most, and the rest milliseconds
OPERATOR_RETRY = 0.2  # s; what an operator is told to wait: a slot changes hands in a few of these
OPERATOR_SLOW = 0.5  # s; a command of an operator that takes longer is told with all who were asked: they take
# milliseconds
REPLICATION_SLOW = 0.5  # s; the same for a write to a majority, with the voters that did not have it by then
HELD_UP = 0.5  # s; a round of gossip that is late by more is told: the process was frozen, or had no processor
MAJORITY_DOUBT = 0.1  # s; an operator's order without an answer for so long sets off the question whether a majority
# answers at all: owners answer in milliseconds
MAJORITY_WAIT = 0.35  # s; for that question's answers, so that one that is cut off says so within half a second
MAJORITY_WAIT_MOST = 0.8  # s; the same where nodes answer late: with MAJORITY_DOUBT within an operator's second
ROUTING_AGE = 1.5  # s; as for blueprints, unless the deployment's bounds say otherwise
ROUTING_STRETCH = 3.5  # s; a take-over: for so long more a gateway without news calls itself ready, though it refuses
ROUTING_AGE_POLL = 0.25  # s; how often a gateway looks whether its routing table is outdated, for its log only
REJECTED_LOG_PAUSE = 1.0  # s; between two lines about requests without a route, or a key: clients may send many of them
ALLOWANCE_KEPT = 900.0  # s; after its last turn a program's row goes: a program is over within minutes, and well
# above
# the ten minutes that nothing here outlasts
ALLOWANCE_CLOSED = 64  # turns; of one program that are remembered after their end, so that late copies do nothing
ALLOWANCE_OPEN = 512  # turns; of one program at a time, far above what one program has under way
CLAIM_KEPT = 150.0  # s; twice the rule's minute with margin, counted by the owner
CLAIM_LEAVE = 60.0  # s; a keyed call leaves within this of its claim or never, so that the claim outlives the
# rule's
# minute after it: CLAIM_KEPT - CLAIM_LEAVE is above a minute
CLAIM_ANSWER_LIMIT = 64 << 10  # bytes; larger answers are not kept, only the fact that they were given
OWNER_CLEANUP = 1.0  # s; how often an owner lets old things of each slot go, a page at a time
OWNER_CLEANUP_KEYS = 32  # keys; in one such page
ENDING_MARKS = 128  # marks; of a program that has ended, let go in one step
ENDS_AFTER_LEAST = 60.0  # s; a plan may not end programs that were in use within the last minute
ENDS_AFTER_MOST = 2592000.0  # s; a month, longer than any line is kept
TURNS_LIMIT = 4096  # turn ids of one program, all remembered as long as it is open; far above a day of turns

# --- stores ------------------------------------------------------------------
STORE_HOT_BYTES = 32 << 20  # bytes; of long values that a store holds in memory beside those on its disk: what was
# written
# within about the last minute, which is nearly all that is read
STORE_OWNERS = 16  # table owners in a store; lines are spread over them by hash
STORE_QUEUE_LIMIT = 256  # commands; waiting for one table owner of a store
STORE_CALL_TIME = 1.0  # s; a store that takes longer is passed over for its fellows
STORE_HOLD_FIRST = 0.05  # s; a gate leaves a store that just failed alone for about this long: one round of a request
STORE_HOLD_MOST = 0.5  # s; the same for one that goes on failing: well below what a request may wait
STORES_POLL = 0.2  # s; how often the owner of the store set looks whether a replacement has to begin or can go
# on
STORES_MOVING_PAUSE = 0.05  # s; the same while a replacement is under way
STORES_ASK = 0.5  # s; a store that takes longer to say how far it is, is asked again
STORES_FIRST_WAIT = 5.0  # s; after the first store was seen, the first set waits so long for as many as it should
# have
STORES_PATIENCE = 6.0  # s; a member without a sign of life for this long gives its place to a spare at the latest:
# longer than a restart with its disk takes. Earlier, if the bound `rejoin_s` asks for it
STORES_JOIN_TIME = 1.0  # s; of the bound in which a machine has to be a full member, kept for joining itself: two
# looks, the phases, and the copy
STORES_LEAVING_TIME = 3.0  # s; a store that is told to end serves on for so long at most, until a spare has its place:
# with the rest of a planned stop well within the grace that a process has
STORES_LEAVING_POLL = 0.05  # s; how often it looks whether that is so
CONTACT_GAP = 1.0  # s; between two looks at who answers: four of them; a longer gap means that the process was frozen
VIEW_AGE = 7.5  # s; a control node in touch with a majority for so long knows who is silent: a store's patience, and
# CONDITION_AGE more, since a majority may have stopped answering so long before that is noticed
VIEW_RETRY = 0.5  # s; what is told to who asks for something that waits for VIEW_AGE to pass
MEMBER_ANSWERED = 1.0  # s; a watch with a longer gap between two looks was frozen, and has watched nobody
# meanwhile
PRUNE_PAUSE = 1.0  # s; how often the owner of the store set asks whether ids of retired stores are still in
# use
CLEANUP_BUCKETS = 64  # buckets of lines; their sums fit one small message, and one holds few lines
COPY_PAGE_TURNS = 512  # turns; asked for in one message
STORE_COPY_PAUSE = 0.1  # s; the same for a store that has not copied all yet
STORE_CLEANUP = 1.0  # s; pause between rounds of hand-over and anti-entropy
CLEANUP_HINTS = 64  # lines; handed over to one member in one round, so that others get their turn
CLEANUP_KEYS = 256  # lines; compared in one anti-entropy message
HINT_LIMIT = 20000  # lines; beyond this anti-entropy alone finds what a missing store lacks
LINE_KEPT = 900.0  # s; well over the rule's minute after the last turn finished
LINE_KEPT_FULL = 150.0  # s; the same when the ring is nearly full, still over twice the rule's minute
STORE_FULL = 0.9  # share of a ring's capacity; from here on gates begin no turn that this store would have to
# keep
FULL_KNOWN = 2.0  # s; so long a gate takes a store's word that it has no room
FULL_SHARE = 0.7  # share of a ring's capacity; from here on a store lets lines go sooner
READ_HISTORY_KEPT = 30.0  # s; a turn that was just read is kept for the turn that goes on from it to be kept too
RECORD_KEPT_MOST = 900.0  # s; a turn's record is kept for at most this without word of it, as lines are
RETAIN_MARGIN = 15.0  # s; added to what a turn is to be kept: for the way of the request that goes on from it
RECORDS_DROPPED = 512  # records; let go in one round at most, so that others get their turn
RECORD_PAGE = 512 << 10  # bytes; of records in one message, far below the frame limit, a few milliseconds of work
READ_HISTORY_HEDGE = 0.04  # s; a store that takes longer to answer a read is no longer waited for alone
LATE_TIMES = 4  # times; an answer that takes so much longer than usual is late
RETAIN_HEDGE = 0.12  # s; the same for a write, which waits for two disks
LINE_TURNS = 512  # turns; a long session has about seven
LINE_SIZE = 4 << 20  # bytes; below the frame limit with room for its clocks

# --- gates -------------------------------------------------------------------
BODY_LIMIT = 1 << 20  # bytes; a caller's request body
PIECE_LIMIT = 64 << 10  # bytes; one event line from a replica
OUTPUT_LIMIT = 1 << 20  # bytes; one turn's whole output
NAME_LIMIT = 128  # characters; names of partners, programs, lines, turns and keys
UNITS_LIMIT = 1 << 40  # units; a spending limit above it is a mistake
ACCEPT_QUEUE_LIMIT = 1024  # requests; inside one gate at a time, above it the gate says overloaded
PLACE_QUEUE_LIMIT = 256  # requests; waiting for a replica in one gate, for each partner
TIME_LEFT_DEFAULT = 120.0  # s; a whole turn, when the caller does not say
TIME_LEFT_LIMIT = 600.0  # s; nothing waits longer than this
IDLE_TIME = 20.0  # s; a replica silent between two pieces for this long is given up on
GATE_REPLICA_IN_FLIGHT = 32  # requests; one gate's own on one replica; each serves a few dozen at once
DESCRIBE_PAUSE = 1.0  # s; how often a gate asks a replica for its weight; in between it counts its own
DESCRIBE_TIME = 1.0  # s; a replica that takes longer to describe itself is placed last
WEIGHT_BOUND = 0.85  # share of capacity; above it a replica no longer holds its lines
CONTENDED_SHARE = 0.9  # share of capacity; from here on the gates share a replica evenly
PREFIX_CHARACTERS = 256  # characters; the common start that draws like prompts together
SETTLE_WAIT = 2.0  # s; a finished turn's closing event waits this long for its settling
SETTLE_TIME = 20.0  # s; one try of a gate to tell the owner what came out, and a planned stop's wait for all
SETTLE_QUEUE_LIMIT = 2048  # settlings; open in one gate at most: twice what it takes in at a time
FULL_RETRY = 60  # s; what a full fleet tells its caller: old things go in the order of minutes
RETRY_AFTER = 1  # s; what an overloaded gate tells its caller
REFUSED_PAUSE = 0.25  # s; a replica that said no counts as full this long
CARRY_TRIES = 32  # carries; of one request, as long as each is answered with no and time is left
RUN_SHARE = 0.2  # share of a request's time kept for its run; placed later it would only break off
IDLE_CALLER_TIME = 65  # s; a caller's connection without a request is closed after this
QUIET_TIME = 0.5  # s; a stopping process waits this long for requests already on their way
STOP_TIME = 60.0  # s; a planned stop waits this long for what runs

# --- raw requests ------------------------------------------------------------
LOAD_AGE = 0.6  # s; what a replica told of its load counts less and less over one or two of its requests
LOAD_MEAN_AGE = 3.0  # s; what the replicas of a service told on average counts less and less over it
LOAD_MEAN_STEP = 0.2  # share; of the way to each telling that the average goes
LOAD_TOLD_MOST = 2  # times its slots; more of one replica's word does not count for the others of its service
BEGIN_SHARE = 0.5  # share of a replica's slots; where more are in use no program of the most urgent class begins, if
# programs have several turns: each brings more, and a replica that is nearly full takes twice as long for each
FOLLOW_UP_MOST = 0.5  # share of all turns; from so many that go on, what begins has to leave all of that room
FOLLOW_UP_STEP = 0.05  # share; of the way to each turn that the estimate of that share goes: some twenty turns' memory
BEGIN_PRIORITY_STEP = 0.9  # factor; so much of that share for a class that is less urgent by one, so that the more
# urgent ones still begin where the others are refused
PROGRAMS_KNOWN = 8192  # programs; so many a gateway remembers, some minutes' worth under the heaviest load aimed at
BEGIN_PATIENCE_SHARE = 0.1  # share of a route's target; a program that can't begin by then is refused
BEGIN_RETRY_AFTER = 0.05  # s; what a caller is told whose program could not begin, for it is soon too late for it
QUEUED_SHARE = 0.25  # share of a replica's slots; so many may wait there, since it starts them at once when it
# can
AFFINITY_SLACK = 0.2  # share of a replica's slots; by so much more room others must have before a program leaves
# the
# replica that has its prompts: reading them again costs about as much as so many neighbours
HOME_SLACK = 1.0  # share of a replica's slots; by so much more room others must have before a program leaves the
# replica that had its last turn, and so has the most of its prompts
BALANCER_QUEUE = 512  # requests; waiting for room at one service in one gate
SHED_PAUSE = 0.05  # s; a replica that turned a request away is full for about one short request
EJECT_AFTER = 3  # failures in a row; single ones happen to sound replicas
EJECT_PAUSE = 0.5  # s; first time without requests of a failing replica, doubled with each further failure
EJECT_LONGEST = 8.0  # s; a replaced or restarted one must not be left out for long
OUTLIER_WINDOW = 3.0  # s; faults of a replica are held against it for so long: long enough that gates which send
# it a
# request each few seconds see some, short enough that a mended one is soon back
OUTLIER_FAULTS = 3  # faults; within the window, at all gates together: single ones happen to sound replicas
OUTLIER_RATE = 0.15  # share of what a replica was given; fewer faults cost less than doing without it
OUTLIER_FELLOWS = 3.0  # times; as many faults as its fellows have in the mean, else the load is at fault
OUTLIER_SHARE = 0.34  # share of a service's replicas; more are never left out
OUTLIER_TELL = 0.4  # s; how often a gate tells of faults at most: two pulls' pauses, as each telling moves its
# row
LATE_POLL = 0.1  # s; how often a gate looks for answers that are late
LATE_LEAST = 0.25  # s; no answer is late before: a prompt of some ten thousand tokens is read in less
LATE_TIMES = 6.0  # times; the usual time to the head of an answer, after which one is late
LATE_STEP = 0.05  # share; by so much the usual time follows each answer, up or down
STALLED_TIMES = 2.0  # times what makes an answer late; then a request that may be repeated goes to another
# replica
STALLED_SHARE = 0.33  # share of the time left; not before it, so that a slow service is not asked twice for each
# request
RETRY_AFTER_LEAST = 0.2  # s; what a caller is told who was refused early: a few short requests' time
OUTAGE_RETRY_AFTER = 1.0  # s; what a caller is told while an owner or the news are being replaced: about what is left
# of that
HOLD_SHARE = 0.4  # share of the caller's time left; a request that came while the news are missing waits so
# long for them,
# the rest is for its run or for another try elsewhere
OUTAGE_SHARE = 0.3  # share of the caller's time left; later it would not come back at all
PATIENCE_SHARE = 0.5  # share of the time left; a request waits for room so long, the rest is for its run
HELD_SHARE = 0.25  # share of a route's target; a request that is refused later than this was held
LOSS_LINES = 10  # lines a second; on requests that ended late or failed, at one gateway: a few hundred bytes each
ANSWER_HELD = 256 << 10  # bytes; of an answer gathered before any of it is passed on, so that a cut one may be tried
# again
RELAY_BOUND = 512  # requests; at a time in one gate, several times what its replicas take
SETTLE_PAUSE = 0.05  # s; settlings of one program wait so long for one another, well under the users' bound
READY_DRAIN = 2.5  # s; a stopping gate says so and still serves: callers' entry asks each second and needs two
# misses
REFUSAL_LIMIT = 64 << 10  # bytes; of a replica's refusal, read to its end so that its connection may be kept
TURN_OUTPUT_LIMIT = 4 << 20  # bytes; of one turn's output as it is kept
STOP_MARGIN = 0.5  # s; a stop ends this long before the grace given by the env, so that it is never cut off
ENV_POLL = 1.0  # s; how often a changed settings file is looked for; a look is one call of the system

# --- relay -------------------------------------------------------------------
CHUNK_LINE_LIMIT = 1024  # bytes; a chunk's size line with its extensions, as Twisted bounds it too
TRAILER_LIMIT = 16 << 10  # bytes; trailers are read and dropped
EAGER_LIMIT = 16 << 10  # bytes; read ahead of a caller's next requests while one is being answered
BODIES_LIMIT = 64 << 20  # bytes; of all callers' half-read bodies together, so that slow senders cannot fill memory
CALLERS_LIMIT = 2048  # connections; of callers at a time, half of what a process of a few thousand descriptors
# holds
LINGER_TIME = 2.0  # s; a caller that still sends after its answer is read so long, lest a reset overtake the
# answer
PEER_SILENCE = 5.0  # s; bytes unacknowledged for so long mean that the peer's machine or the way to it is gone
PEER_PROBE = 2  # s; a connection on which an answer is awaited is probed after so much silence, and as
# often
ANSWER_HEAD_LIMIT = 64 << 10  # bytes; a replica's header block; larger ones are no answer
PIECES_LIMIT = 64 << 10  # bytes; of one answer's body held for a caller that reads slowly, then the replica is held
# up
KEPT_MARGIN = 0.4  # s; before a replica's own time for an idle connection is over it is used no more: the way
# there
# and a busy process on either side take theirs
KEPT_UNTOLD = 0.4  # s; a replica that tells no time may close an idle connection before a second is over

# --- tenants in mutual eviction ----------------------------------------------
EVICTION_ROUND = 2.0  # s; a gate's report and the owner's round: some requests of each tenant, well under a rush
EVICTION_WINDOW = 24.0  # s; that rates are taken over, less at first: a tenant that asks every few seconds is seen
# in it
TENANT_ID_LIMIT = 64  # characters; of a part's id, longer ones stand as a hash
TENANTS_COUNTED = 1024  # tenants; of a service in one gate and round, below a thousand and more only if one invents
# them
TENANTS_TOLD = 48  # tenants; in a report, those with the most tokens: at 116 bytes each, 2.8 KB/s of a node's
# 11
TENANT_PARTS = 64  # parts; of one tenant counted in a round: common ones come first in prompts
TENANT_PARTS_TOLD = 3  # parts; of one tenant in a report
REPORT_GATES = 4096  # gates; whose reports are held, several times the largest fleet
PRESSURE_LATE = 0.01  # share of late answers; below it a gate tells nothing: 99 in 100 in time is what is aimed
# at
CACHE_TIME_MOST = 600.0  # s; a part that stays longer than this is never read again within one rush
CACHE_USABLE = 0.9  # share of cache_tokens; the rest is held by what running requests put out
COMMON_USES = 2  # requests; that share a part, of two programs at least: else it is a session's own
COMMON_SHARE = 1 / 16  # share of a tenant's requests; the same for one that asks often
TRAP_REQUESTS = 12  # requests; of all evicted tenants in a window, fewer say nothing
EVICTED_SHARE = 0.2  # share of a tenant's prompt tokens; read again since others evicted them: above it is a
# trap
TRAP_LATE = 0.02  # share of late answers of all evicted tenants; those that are answered in time are left
# alone
TRAP_ROUNDS = 2  # rounds; in a row, so that one odd round moves nobody; a cold start is told apart by the
# sets
EVICTED_END = 0.1  # share of a tenant's prompt tokens; if nobody's is above it, were all moved back, all may
# go
END_ROUNDS = 10  # rounds; in a row, so that a pause within a rush moves nobody to and fro
BIN_SHARE = 0.8  # share of a replica's usable cache; that working sets are planned for, the rest is for
# sessions
HOT_SHARE = 0.5  # share of a replica's mean rate; a tenant that asks for more gets another replica
TENANT_REPLICAS = 0.5  # share of a service's replicas; that one tenant gets at most, however much it asks
TENANTS_MOVED = 256  # tenants; of one service moved at a time, so that a plan stays a small entry
PLAN_GAIN = 0.5  # share of the tokens read again; a plan that leaves more of them is not worth its movement
PLAN_AGE = 10.0  # s; a gate whose plan was confirmed longer ago places as ever: a take-over and two rounds
# fit
PLACEMENT_SLACK = 1.0  # share of a replica's slots; by so much more room others must have before a moved tenant's
# request
# goes elsewhere: a prefix read there holds up all who run there, and evicts others' (at 0.4
# a
# load beside a large tenant never came out of its trap: docs/eviction.md)
PLACEMENT_PATIENCE = 0.5  # share of a request's patience; it waits so long for its tenant's replicas if all are about
# as full
FINDINGS_SHOWN = 64  # tenants; in the operators' list, the worst first
TENANTS_NAMED = 4  # tenants; named in one log line

# --- fenced tasks ---------------------------------------------------
FENCED_ROUND = 0.25  # s; between two looks at what is owed to the platform
FENCED_RATE_SHARE = 0.5  # share of the platform's rate of calls; a former holder may have used some of this second's
FENCED_CALL_TIME = 2.0  # s; for the answer to a call, doubled after each one that came to nothing
FENCED_CALL_TIME_MOST = 16.0  # s; a platform that is slow still answers in it
FENCED_BACKOFF = 0.2  # s; after a call that was not accepted, doubled with each further one and drawn at random
FENCED_BACKOFF_MOST = 2.0  # s; a window is still on time after an outage
FENCED_LEASE_LEFT = 0.2  # s; of the lease that must be left when a call is sent
FENCED_LEASE_POLL = 0.1  # s; how often a call under way is held against the lease
FENCED_UNACKNOWLEDGED = 0.8  # s; after which the kernel drops what a call's connection still sends: well before the
# next holder acts, and longer than a lost packet takes
FENCED_ARRIVAL = 1.2  # s; after which nothing arrives any more of what a former holder sent: what it sent last is
# dropped by its kernel after FENCED_UNACKNOWLEDGED
FENCED_RECENT = 2  # lock delays; who acted within so long may be the former holder's former holder, and waits longer
FENCED_OFFER_AFTER = 2.0  # s; a holder that cannot connect to the platform for so long offers its shard to others
FENCED_OFFERS = 3  # nodes; that are asked at a time
FENCED_PROBE_TIME = 0.5  # s; to connect to the platform, for who is offered a fenced task
FENCED_OFFER_TIME = 0.8  # s; for that node's answer
FENCED_DECLINED = 30.0  # s; for which who has handed a fenced task over does not ask for it back
FENCED_ANSWER_LIMIT = 64 << 10  # bytes; of an answer's body, which nobody reads
FENCED_REFUSALS_MOST = 8  # calls; a report that the platform refuses for good this often is given up
FREEZE_POLL = 0.1  # s; how often a process notes that it runs
CLOCK_SAMPLE = 1.0  # s; between two looks at the wall clock
CLOCK_SAMPLES = 60  # looks; whose median counts, so that a jump shorter than half a minute is not seen
CLOCK_VOICES_LEAST = 3  # machines; whose median outvotes one that is wrong
CLOCK_VOICE_AGE = 5.0  # s; after which a machine that was silent has no say in the median
CLOCK_DIFFERENCE = 1.0  # s; from the fleet's time, within which a machine keeps to its own; what took longer to come
# tells nothing
CLOCK_MEMORY = 60.0  # s; for which the fleet's time is kept while none is told: a machine's own is steady by then
USAGE_GRACE = 2.5  # s; after a window's end for gateways' last counts, well within what a report may be late
USAGE_WINDOWS_KEPT = 720  # windows; reported after an outage, an hour of five-second ones
USAGE_OWED_SHOWN = 16  # windows; named in the operators' view, the oldest first
USAGE_REPORT_PAUSE = 1.0  # s; between two reports of a gateway's counts: what a killed gateway may take with it
USAGE_SILENCE = 2  # report pauses; after which a gateway that has nothing new reports again, so that its clock is known
# to a new leader within USAGE_GRACE
USAGE_CLOCKS_SETTLE = 1.5  # s; of a leadership, in which gateways' first times may have waited for a leader to tell
USAGE_HELD = 3.0  # s; for which a gateway's first requests wait for the fleet's time while no settled leader answers;
# a new leader closes nothing for nearly as long
USAGE_REPORT_TIME = 2.0  # s; for one report, before the next one has it all again
