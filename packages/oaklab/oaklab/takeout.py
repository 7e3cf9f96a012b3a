"""Takes one mechanism out at a time, in a copy of the code, and looks whether the test named for it fails."""

import os
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from multiprocessing.pool import ThreadPool


@dataclass(frozen=True)
class TakeOut:
    name: str
    file: str  # below packages/
    old: str
    new: str
    test: str


TAKE_OUTS = [
    TakeOut(
        "claim before carrying",
        "oakcontrol/oakcontrol/claim.py",
        'if claim and claim["state"] == "claimed" and claim["admission"] != arguments["admission"]:',
        "if False:",
        "test_faults.ReplicaFaults.test_answer_that_never_comes",
    ),
    TakeOut(
        "kept answer of a key",
        "oakcontrol/oakcontrol/claim.py",
        'if claim and claim["state"] == "done":',
        "if False:",
        "test_faults.Budgets.test_keyed_calls_run_once",
    ),
    TakeOut(
        "a key wins over a repeatable binding",
        "oakgate/oakgate/plain.py",
        'lambda: request.body["key"] is None and bool(',
        "lambda: bool(",
        "test_faults.ReplicaFaults.test_key_wins_over_repeatable_binding",
    ),
    TakeOut(
        "a maybe is not unsaid by a later no",
        "oakgate/oakgate/carry.py",
        "return unsure if unsure is not None and error.verdict is Verdict.NO else error",
        "return error",
        "test_faults.ReplicaFaults.test_maybe_is_not_unsaid_by_a_later_no",
    ),
    TakeOut(
        "a claimed call leaves soon or never",
        "oakgate/oakgate/plain.py",
        "request.leave_by = self._reactor.seconds() + CLAIM_LEAVE",
        "pass",
        "test_faults.ReplicaFaults.test_keyed_call_that_waited_leaves_no_more",
    ),
    TakeOut(
        "a promise needs the replica's word",
        "oakgate/oakgate/relay.py",
        "        if answer.status in self._dialect.promise_statuses:",
        "        if False:",
        "test_relay_calls.Promises.test_a_refusal_without_the_replicas_word_is_no_promise",
    ),
    TakeOut(
        "a caller that left waits for no room",
        "oakgate/oakgate/relay.py",
        "with when_gone(passage.exchange, acquiring.cancel):",
        "with when_gone(passage.exchange, lambda: None):",
        "test_relay_calls.Leaving.test_while_it_waits_for_room",
    ),
    TakeOut(
        "a replica stops when its caller leaves before the answer",
        "oakgate/oakgate/relay.py",
        "                sending.cancel()\n",
        "                pass\n",
        "test_relay_calls.Leaving.test_while_a_replica_works_before_its_answers_head",
    ),
    TakeOut(
        "nothing is sent once its caller left while connecting",
        "oakgate/oakgate/relay.py",
        "if not passage.left or self._stops_with_caller(passage):",
        "if self._stops_with_caller(passage):",
        "test_relay_calls.Leaving.test_while_its_connection_is_being_made",
    ),
    TakeOut(
        "a replica stops when its caller leaves in the middle of an answer",
        "oakgate/oakgate/relay.py",
        "                answer.abort()\n\n        try:\n            with when_gone(",
        "                pass\n\n        try:\n            with when_gone(",
        "test_relay_calls.Leaving.test_in_the_middle_of_a_long_answer",
    ),
    TakeOut(
        "a keyed call runs on without its caller",
        "oakgate/oakgate/relay.py",
        'return passage.route.kind in ("safe", "stream")',
        "return True",
        "test_relay_calls.Leaving.test_a_keyed_call_runs_on_and_its_answer_is_kept",
    ),
    TakeOut(
        "a long answer that has begun is not begun again",
        "oakgate/oakgate/relay.py",
        "if passage.exchange.begun and not (passage.head_passed and passage.is_numbered):",
        "if False:",
        "test_relay_calls.Streams.test_a_long_failure_that_is_cut_is_not_begun_again",
    ),
    TakeOut(
        "a long answer to a key ends with the time",
        "oakgate/oakgate/relay.py",
        "                    self._remaining_run(passage),\n                    rest.read(self._body_limit()),",
        "                    1e9,\n                    rest.read(self._body_limit()),",
        "test_relay_calls.Deadlines.test_a_long_answer_to_a_key_that_stops_coming_ends_with_the_time",
    ),
    TakeOut(
        "a replica is handed the time left at the first byte",
        "oakrelay/oakrelay/upstream.py",
        "                if not is_reused:\n                    data",
        "                if False:\n                    data",
        "test_relay_calls.Deadlines.test_a_replica_is_handed_what_is_left_when_it_is_sent",
    ),
    TakeOut(
        "no time left is not all the time",
        "oakgate/oakgate/relay.py",
        "if request.time_left_s is None else",
        "if not request.time_left_s else",
        "test_relay_calls.Deadlines.test_no_time_left_is_not_all_the_time",
    ),
    TakeOut(
        "events count by their own service",
        "oakgate/oakgate/relay.py",
        'self._pass_on(passage, whole, self._tokens_per_event(instance.row["pool"]))',
        "self._pass_on(passage, whole, self._tokens_per_event(passage.route.backends[0][0]))",
        "test_relay_calls.Budgets.test_events_count_by_the_service_that_put_them_out",
    ),
    TakeOut(
        "a caller that resumes has had its events",
        "oakgate/oakgate/relay.py",
        "            passage.last_id = request.resume_after",
        "            passage.last_id = None",
        "test_relay_calls.Streams.test_a_client_that_resumes_gets_no_event_again",
    ),
    TakeOut(
        "what has no number is not gone on with",
        "oakgate/oakgate/relay.py",
        "                passage.is_numbered = False",
        "                pass",
        "test_relay_calls.Streams.test_what_has_no_number_is_not_gone_on_with",
    ),
    TakeOut(
        "a claim overtaken is told to come again",
        "oakgate/oakgate/relay.py",
        "            if error.code != Refused.code:\n                raise\n",
        "            raise\n",
        "test_relay_calls.Keys.test_a_claim_that_was_overtaken_is_no_fault_of_its_caller",
    ),
    TakeOut(
        "a lost yes is not followed by a no",
        "oakcontrol/oakcontrol/client.py",
        "error\n                            if unsure is None\n",
        "error\n                            if True\n",
        "test_stores.Replacing.test_lost_yes_is_not_followed_by_a_no",
    ),
    TakeOut(
        "unknown at the command line",
        "oakctl/oakctl/asking.py",
        '"overloaded") and not unsure:',
        '"overloaded"):',
        "test_api.Asking.test_unknown_is_never_no",
    ),
    TakeOut(
        "settling goes on until it is done",
        "oakcontrol/oakcontrol/client.py",
        "            except (NoAnswer, CannotTell) as error:\n",
        "            except (NoAnswer, CannotTell) as error:\n                raise\n",
        "test_faults.Budgets.test_settled_however_long_it_takes",
    ),
    TakeOut(
        "a silent owner is asked again",
        "oakcontrol/oakcontrol/client.py",
        "if reactor.seconds() < until}",
        "}",
        "test_faults.Budgets.test_settled_though_the_owner_starts_again",
    ),
    TakeOut(
        "full stores are said before the run",
        "oakgate/oakgate/turns.py",
        "        if line.is_full:",
        "        if False:",
        "test_faults.StoreFaults.test_full_stores_are_said_before_the_run",
    ),
    TakeOut(
        "adapters of a replica not described yet",
        "oakgate/oakgate/placer.py",
        'if all(replica.described_at > float("-inf") for replica in ready):',
        "if True:",
        "test_faults.ReplicaFaults.test_replica_not_described_yet_may_have_the_adapter",
    ),
    TakeOut(
        "hints of retired stores go",
        "oakstore/oakstore/store.py",
        "for node_id, hints in self._hints.items() if node_id in self.stores.everyone}",
        "for node_id, hints in self._hints.items()}",
        "test_stores.Replacing.test_nothing_is_kept_for_a_retired_store",
    ),
    TakeOut(
        "ended programs are remembered",
        "oakcontrol/oakcontrol/budget.py",
        "view.put(entry, sorted({*(view.get(entry) or ()), digest}))",
        "pass",
        "test_budgets.Budgets.test_ended_program_never_starts_anew",
    ),
    TakeOut(
        "admissions taken back are told by number",
        "oakcontrol/oakcontrol/admission.py",
        'return kept is not None and arguments["number"]',
        'return False and arguments["number"]',
        "test_budgets.Budgets.test_nothing_is_left_reserved_in_any_order",
    ),
    TakeOut(
        "claims taken back are told by number",
        "oakcontrol/oakcontrol/claim.py",
        "    if is_back(claim, arguments):",
        "    if False:",
        "test_budgets.Claims.test_late_claim_taken_back_twice",
    ),
    TakeOut(
        "taking back keeps what ran",
        "oakcontrol/oakcontrol/budget.py",
        'view.put(_mark_key(key, turn), mark | {"back"',
        'view.put(_mark_key(key, turn), mark | {"state": "never", "back"',
        "test_budgets.Budgets.test_taking_back_keeps_what_ran",
    ),
    TakeOut(
        "turns of a program are bounded",
        "oakcontrol/oakcontrol/budget.py",
        '    if mark is None and program["turns"] >= TURNS_LIMIT:\n        raise',
        "    if False:\n        raise",
        "test_budgets.Budgets.test_turns_of_a_program_are_bounded",
    ),
    TakeOut(
        "admitted anew under a new plan",
        "oakgate/oakgate/request.py",
        "if self.admitted_under not in (None, terms_of(binding)):",
        "if False:",
        "test_faults.Plans.test_waiting_turn_takes_all_of_the_new_plan",
    ),
    TakeOut(
        "repeatable by the current plan",
        "oakgate/oakgate/request.py",
        'return binding.get("maxOutput"), bool(binding.get("repeatable"))',
        'return binding.get("maxOutput"), None',
        "test_faults.Plans.test_no_longer_repeatable_is_not_repeated",
    ),
    TakeOut(
        "waiting requests follow the plan",
        "oakgate/oakgate/placer.py",
        "if not is_current and not entry[4].called:",
        "if False:",
        "test_faults.Plans.test_waiting_requests_follow_the_plan_to_another_pool",
    ),
    TakeOut(
        "programs opened under the owner's news of the plan",
        "oakcontrol/oakcontrol/budget.py",
        "if age > BLUEPRINT_AGE:",
        "if False:",
        "test_faults.Plans.test_program_is_not_opened_under_old_news",
    ),
    TakeOut(
        "one reservation a turn",
        "oakcontrol/oakcontrol/budget.py",
        'if row and view.context.members.condition(row["gate"]) != SILENT:',
        "if False:",
        "test_faults.GateFaults.test_killed_in_mid_stream",
    ),
    TakeOut(
        "admission against the limit",
        "oakcontrol/oakcontrol/budget.py",
        'if program["spent"] + _reserved(program) >= program["limit"]:',
        "if False:",
        "test_faults.Budgets.test_concurrent_turns_stop_at_the_limit",
    ),
    TakeOut(
        "refusal is final",
        "oakcontrol/oakcontrol/budget.py",
        'if mark and mark["state"] != "never":',
        'if mark and mark["state"] not in ("never", "refused"):',
        "test_faults.Budgets.test_refusal_is_final",
    ),
    TakeOut(
        "a vanished gate's reservation is spent",
        "oakcontrol/oakcontrol/budget.py",
        'program["spent"] += row["reserve"]',
        "pass",
        "test_faults.GateFaults.test_killed_in_mid_stream",
    ),
    TakeOut(
        "age of news",
        "oakgate/oakgate/bindings.py",
        "if news_of(self._board, partner)[0] > BLUEPRINT_AGE:",
        "return None\n        if news_of(self._board, partner)[0] > BLUEPRINT_AGE:",
        "test_faults.GateFaults.test_cut_from_core_carries_nothing",
    ),
    TakeOut(
        "age of replicas' news",
        "oakgate/oakgate/bindings.py",
        "if self._board.age(REPLICAS_KEY) > REPLICA_AGE:",
        "if False:",
        "test_faults.GateFaults.test_leaving_while_its_owner_is_frozen",
    ),
    TakeOut(
        "others asked to look at the platform",
        "oakcontrol/oakcontrol/platform.py",
        "works | {self._node.node_id: own}",
        "{self._node.node_id: own}",
        "test_faults.GateFaults.test_platform_cut_off_from_the_owner_of_its_list",
    ),
    TakeOut(
        "a majority says that nobody reaches the platform",
        "oakcontrol/oakcontrol/platform.py",
        "if roster.is_quorum(away):",
        "if True:",
        "test_faults.GateFaults.test_owner_that_alone_says_nobody_reaches_the_platform",
    ),
    TakeOut(
        "checks of run and seq",
        "oakgate/oakgate/stream.py",
        'if type(event.get("seq")) is not int or event["seq"] != len(self.pieces):',
        "if False:",
        "test_faults.ReplicaFaults.test_bad_streams_never_look_complete",
    ),
    TakeOut(
        "closing line of a run",
        "oakgate/oakgate/stream.py",
        'raise Broken("the replica\'s stream ended without its closing line")',
        "return None",
        "test_faults.ReplicaFaults.test_bad_streams_never_look_complete",
    ),
    TakeOut(
        "output within the reservation",
        "oakgate/oakgate/stream.py",
        "if self.units + units > self._reserve or self._size > OUTPUT_LIMIT:",
        "if False:",
        "test_faults.ReplicaFaults.test_bad_streams_never_look_complete",
    ),
    TakeOut(
        "majority of disks",
        "oakcontrol/oakcontrol/roster.py",
        "len(node_ids & member_ids.keys()) > len(member_ids) // 2\n            for",
        "len(node_ids) >= 1\n            for",
        "test_faults.ControlFaults.test_core_split",
    ),
    TakeOut(
        "wait for the former term",
        "oakcontrol/oakcontrol/owner.py",
        "await former.ended(prepared_at - unconfirmed + TERM)",
        "pass",
        "test_faults.ControlFaults.test_no_two_terms_at_once",
    ),
    TakeOut(
        "who may hold a term says so",
        "oakcontrol/oakcontrol/owner.py",
        "return slot in self.held or (slot in self._taking",
        "return False and (slot in self._taking",
        "test_faults.ControlFaults.test_no_two_terms_at_once",
    ),
    TakeOut(
        "a new roster's voters vouch for nobody",
        "oakcontrol/oakcontrol/voter.py",
        "termless=ROSTER_IS_NEW not in self._ring.table and",
        "termless=True and",
        "test_founding.Mending.test_who_may_hold_a_term_is_waited_for",
    ),
    TakeOut(
        "calls that name the node they are for",
        "oakwire/oakwire/net.py",
        "if wanted not in (None, found):",
        "if False:",
        "test_founding.Mending.test_empty_disk_does_not_stand_for_its_former_self",
    ),
    TakeOut(
        "epochs promised once",
        "oakcontrol/oakcontrol/voter.py",
        "if (\n            arguments.epoch <= table.promised_epoch\n",
        "if (\n            (arguments.epoch, arguments.owner) != earlier and arguments.epoch <= table.promised_epoch\n",
        "test_founding.Restarts.test_epoch_is_promised_once",
    ),
    TakeOut(
        "a given slot is not published again",
        "oakcontrol/oakcontrol/owner.py",
        "if owner.ended:\n            return  # while",
        "if False:\n            return  # while",
        "test_founding.Mending.test_given_slot_is_not_published_again",
    ),
    TakeOut(
        "what is founded is kept until it is done",
        "oakcohort/oakcohort/identity.py",
        'self.founding = kept.get("founding")',
        "self.founding = founding",
        "test_founding.Founding.test_power_cut_of_all_seeds_amid_founding",
    ),
    TakeOut(
        "the place of a silent member is kept free",
        "oakcontrol/oakcontrol/roster.py",
        "if node_id not in here or not node.puller.answers_lately(answering[node_id].peer, ROSTER_HEARD)",
        "if False",
        "test_founding.Mending.test_empty_machine_at_a_new_address",
    ),
    TakeOut(
        "stepping in for a parted owner",
        "oakcontrol/oakcontrol/owner.py",
        "return place == (0 if late <= 0 else (1 + int(late / STEP_IN_TIME)) % len(order))",
        "return place == 0",
        "test_faults.ControlFaults.test_core_split",
    ),
    TakeOut(
        "one candidate at a time",
        "oakcontrol/oakcontrol/owner.py",
        "return place == (0 if late <= 0 else (1 + int(late / STEP_IN_TIME)) % len(order))",
        "return place == 0 or late > 0",
        "test_faults.ControlFaults.test_candidates_do_not_duel",
    ),
    TakeOut(
        "the first candidate's own turn",
        "oakcontrol/oakcontrol/owner.py",
        "late = ownerless - CONDITION_AGE - STEP_IN_TIME",
        "late = ownerless - CONDITION_AGE - TERM",
        "test_faults.ControlFaults.test_each_slot_of_a_frozen_owner_is_taken_once",
    ),
    TakeOut(
        "compare-and-set of plans",
        "oakcontrol/oakcontrol/blueprint.py",
        'if arguments["basedOn"] != head["version"]:',
        "if False:",
        "test_faults.ControlFaults.test_two_operators_race",
    ),
    TakeOut(
        "change ids",
        "oakcontrol/oakcontrol/blueprint.py",
        "    if known:\n",
        "    if False:\n",
        "test_api.ApiTest.test_operators",
    ),
    TakeOut(
        "a long image beside the old one",
        "oakcontrol/oakcontrol/voter.py",
        "entry_key(slot, generation + 1, key), value) for key",
        "entry_key(slot, generation, key), value) for key",
        "test_images.Parts.test_power_cut_at_each_part",
    ),
    TakeOut(
        "early refusal of a full slot",
        "oakcontrol/oakcontrol/owner.py",
        "if owner.size > self._voter.slot_limit():",
        "if False:",
        "test_images.Fleets.test_full_slot_says_no_early_and_stays_movable",
    ),
    TakeOut(
        "sync before answering",
        "oakring/oakring/ring.py",
        "        await self._sync()\n        if not",
        "        if not",
        "test_ring.RingTest.test_power_cut_anywhere_keeps_what_was_confirmed",
    ),
    TakeOut(
        "a lap is synced before the next is begun",
        "oakring/oakring/ring.py",
        "        await self._sync()\n        self._open_lap(",
        "        self._open_lap(",
        "test_ring.PowerLossTest.test_power_lost_at_any_write_and_sync",
    ),
    TakeOut(
        "a lap's header is synced before its records",
        "oakring/oakring/ring.py",
        "in front of them.\n        await self._sync()\n",
        "in front of them.\n",
        "test_ring.PowerLossTest.test_power_lost_at_any_write_and_sync",
    ),
    TakeOut(
        "a start restores the reserve",
        "oakring/oakring/ring.py",
        "while self._free_files() < RING_RESERVE_FILES:",
        "while False:",
        "test_ring.PowerLossTest.test_power_lost_at_any_write_and_sync",
    ),
    TakeOut(
        "what a start drops is wiped",
        "oakring/oakring/ring.py",
        "left_over |= _left_over(data, lap, LAP_SIZE)",
        "pass",
        "test_ring.PowerLossTest.test_records_that_a_start_dropped_never_return",
    ),
    TakeOut(
        "what a start drops is wiped, also if its header is lost",
        "oakring/oakring/ring.py",
        "return _left_over(data, lap, LAP_SIZE) if self._free_files() else {}",
        "return {}",
        "test_ring.PowerLossTest.test_records_that_a_start_dropped_never_return",
    ),
    TakeOut(
        "only an empty record of an earlier release may lack",
        "oakring/oakring/ring.py",
        "& 0xFFFFFFFF and length > 0",
        "& 0xFFFFFFFF and False",
        "test_ring.PowerLossTest.test_any_other_record_that_a_lap_lacks_is_damage",
    ),
    TakeOut(
        "a node whose disk is damaged stays",
        "oaknews/oaknews/program.py",
        "except RingDamaged as error:",
        "except ZeroDivisionError as error:",
        "test_program.DamagedDisk.test_a_node_whose_disk_is_damaged_stays_and_says_so",
    ),
    TakeOut(
        "calls to a store that just failed are held back",
        "oakstore/oakstore/store_calls.py",
        "if failing is None or self._reactor.seconds() >= failing.until:",
        "if True:",
        "test_store_calls.Storm.test_requests_that_wait_for_stores_do_not_storm_them",
    ),
    TakeOut(
        "one call goes through after a pause",
        "oakstore/oakstore/store_calls.py",
        "if node_id in self._failing:  #",
        "if False:  #",
        "test_store_calls.StoreCallsTest.test_one_call_goes_through_after_a_pause",
    ),
    TakeOut(
        "calls that fail together lengthen the pause once",
        "oakstore/oakstore/store_calls.py",
        "elif began >= failing.since:",
        "else:",
        "test_store_calls.StoreCallsTest.test_calls_that_fail_together_lengthen_the_pause_once",
    ),
    TakeOut(
        "a small file is written whole",
        "oakring/oakring/disk.py",
        "view = view[os.write(handle, view) :]",
        "view = view[os.write(handle, view) : 0]",
        "test_disk.FolderDiskTest.test_a_small_file_is_written_whole",
    ),
    TakeOut(
        "a small file is synced before it gets its name",
        "oakring/oakring/disk.py",
        "            os.fsync(handle)\n        finally:\n            os.close(handle)\n        os.rename(",
        "        finally:\n            os.close(handle)\n        os.rename(",
        "test_disk.FolderLosesPower.test_each_change_is_whole_or_has_not_begun",
    ),
    TakeOut(
        "a file's making is synced",
        "oakring/oakring/disk.py",
        "        self._sync_folder(self._folder)\n        self._handles[name] = handle",
        "        self._handles[name] = handle",
        "test_disk.FolderLosesPower.test_each_change_is_whole_or_has_not_begun",
    ),
    TakeOut(
        "a removal is synced",
        "oakring/oakring/disk.py",
        "        os.unlink(self._path(name))\n        self._sync_folder(self._folder)",
        "        os.unlink(self._path(name))",
        "test_disk.FolderLosesPower.test_each_change_is_whole_or_has_not_begun",
    ),
    TakeOut(
        "unfinished files are not written on",
        "oakring/oakring/disk.py",
        "if name.endswith(UNFINISHED):",
        "if False:",
        "test_disk.FolderLosesPower.test_each_change_is_whole_or_has_not_begun",
    ),
    TakeOut(
        "a new folder is synced into the one around it",
        "oakring/oakring/disk.py",
        "            self._sync_folder(os.path.dirname(folder) or os.curdir)\n",
        "",
        "test_disk.FolderDiskTest.test_a_new_folder_lasts",
    ),
    TakeOut(
        "a ring without its identity",
        "oakcohort/oakcohort/identity.py",
        "            self._refuse_orphaned_ring()\n",
        "            pass\n",
        "test_program.DamagedDisk.test_a_node_whose_disk_is_damaged_stays_and_says_so",
    ),
    TakeOut(
        "swapped ring files",
        "oakring/oakring/ring.py",
        "if self._file_name(header.lap) != name:",
        "if False:",
        "test_ring.RingTest.test_swapped_or_missing_files_are_not_silent",
    ),
    TakeOut(
        "missing ring files",
        "oakring/oakring/ring.py",
        "if heads and missing:",
        "if False:",
        "test_ring.RingTest.test_swapped_or_missing_files_are_not_silent",
    ),
    TakeOut(
        "damage told from a torn tail",
        "oakring/oakring/ring.py",
        "            if synced_number > self._number:\n",
        "            if False:\n",
        "test_ring.RingTest.test_damage_in_synced_part_is_not_silent",
    ),
    TakeOut(
        "read quorum of stores",
        "oakstore/oakstore/lines.py",
        "lambda node_ids: len(node_ids) >= majority(stores.readers),",
        "lambda node_ids: len(node_ids) >= 1,",
        "test_faults.StoreFaults.test_too_few_stores_cannot_tell",
    ),
    TakeOut(
        "union of siblings",
        "oakstore/oakstore/lines.py",
        "for value in versions.values()",
        "for value in list(versions.values())[:1]",
        "test_faults.StoreFaults.test_forks_keep_their_paths",
    ),
    TakeOut(
        "a store that copies does not speak",
        "oakstore/oakstore/lines.py",
        "if not state.covers:",
        "if False:",
        "test_stores.Replacing.test_newcomer_has_no_read_vote",
    ),
    TakeOut(
        "new clock id after letting go",
        "oakstore/oakstore/table.py",
        'LineRow(f"{self._node_id}#{self._births}"',
        'LineRow(f"{self._node_id}#0"',
        "test_stores.Tables.test_counter_is_not_reused_after_letting_go",
    ),
    TakeOut(
        "stripping what comes in",
        "oakstore/oakstore/table.py",
        "{self._strip(clock): value for clock, value in versions.items()})",
        "versions)",
        "test_stores.Tables.test_unpruned_replica_does_not_resurrect",
    ),
    TakeOut(
        "pruning only unused ids",
        "oakcontrol/oakcontrol/storeset.py",
        "if node_id not in used]",
        "]",
        "test_stores.Replacing.test_id_in_use_is_not_pruned",
    ),
    TakeOut(
        "too few copies refused",
        "oakcontrol/oakcontrol/storeset.py",
        "node_id != leaving and members.condition(node_id) != LIVE]",
        "False]",
        "test_stores.Replacing.test_refusals",
    ),
    TakeOut(
        "hand-over of slots and quiet stop",
        "oakbase/oakbase/web.py",
        "while self._reactor.seconds() - quiet_since < QUIET_TIME and self._connections.protocols:",
        "while False:",
        "test_faults.GateFaults.test_planned_stops_cut_nothing_off",
    ),
    TakeOut(
        "giving up at once",
        "oakgate/oakgate/placer.py",
        "if self._reactor.seconds() + expected > wish.ends_at:",
        "if False:",
        "test_faults.Crowd.test_refused_early_and_urgent_goes_through",
    ),
    TakeOut(
        "fairness of partners",
        "oakgate/oakgate/placer.py",
        "_, partner = min(partners)",
        "_, partner = min(partners, key=lambda row: row[1])",
        "test_faults.Crowd.test_partners_share_a_pool",
    ),
]


def try_without(one, root):
    """Whether the named test fails without the mechanism."""
    with tempfile.TemporaryDirectory() as folder:
        packages = os.path.join(folder, "packages")
        shutil.copytree(os.path.join(root, "packages"), packages)
        for name in ("tests", "platform"):
            shutil.copytree(os.path.join(root, name), os.path.join(folder, name))
        shutil.copy(os.path.join(root, "unittest.cfg"), folder)
        path = os.path.join(packages, one.file)
        with open(path, encoding="utf-8") as file:
            text = file.read()
        if text.count(one.old) != 1:
            return one, "not found once in the code"
        with open(path, "w", encoding="utf-8") as file:
            file.write(text.replace(one.old, one.new))
        env = os.environ | {
            "PYTHONPATH": os.pathsep.join(os.path.join(packages, name) for name in sorted(os.listdir(packages)))
        }
        done = subprocess.run(
            [os.path.join(os.path.dirname(sys.executable), "nose2"), one.test],
            cwd=folder,
            env=env,
            capture_output=True,
            text=True,
            check=False,
        )
        if "Ran 1 test" not in done.stderr:
            return one, "its test did not run: " + done.stderr[-300:]
        return one, "fails" if done.returncode else "STILL PASSES"


def try_all(root, names=()):
    chosen = [one for one in TAKE_OUTS if not names or one.name in names]
    with ThreadPool(os.cpu_count()) as pool:
        yield from pool.imap(lambda one: try_without(one, root), chosen)
