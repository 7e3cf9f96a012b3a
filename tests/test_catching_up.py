"""Members and gates that missed many changes: they get the newest state in one image, on disk, and never serve an older one."""

import unittest

from oakbase.tasks import spawn
from oakbase.verdict import RingFull
from oakwire.codec import idl
from test_images import VoterRig, entries_of, image_of

SLOTS_TORN = (1, 3)


class TornImages(unittest.TestCase):
    """A slot's image that takes several commits, cut off at each of them, and sent again at once."""

    def cut_at(self, rig, count):
        """The power goes at this sync from now on; true once it has gone."""
        seen, sync = [], rig.disk.sync

        def sync_and_cut(names):
            seen.append(names)
            synced = sync(names)
            if len(seen) == count:
                rig.host.end(True)
            return synced

        rig.disk.sync = sync_and_cut

        def restart():
            rig.disk.sync = sync
            if rig.host.up:
                rig.host.end(True)
            rig.disk.power_cut()
            rig.host.up = True
            rig.start()

        return restart

    @staticmethod
    def send_whole(rig, slot, sequence, image):
        """An image in one message, as it comes while the voter still does other things."""
        arguments = idl.Node.accept_args(
            slot=slot,
            epoch=2,
            owner="a",
            roster_version=1,
            sequence=sequence,
            whole=True,
            entries=entries_of(image.items()),
        )
        spawn(rig.net.handlers["accept"](idl.Hello(node_id="a"), arguments))

    def test_images_sent_again_while_leftovers_are_removed(self):
        """
        voter: images of two slots; newer ones in several commits | power cut at each of them
        back: both come again at once, while the leftovers of the first try are being removed
        started once more: both stand on the disk, whole
        """
        for cut_at in range(1, 16):
            rig = VoterRig()
            for slot in SLOTS_TORN:
                rig.do("prepare", slot=slot, epoch=2, parts=True)
                self.send_whole(rig, slot, 1, image_of(b"1"))
            rig.time.advance_to(rig.time.now + 2.0)
            restart = self.cut_at(rig, cut_at)
            for slot in SLOTS_TORN:
                self.send_whole(rig, slot, 2, image_of(b"2"))
            rig.time.advance_to(rig.time.now + 2.0)
            restart()
            for slot in SLOTS_TORN:
                self.send_whole(rig, slot, 3, image_of(b"3"))
            rig.time.advance_to(rig.time.now + 2.0)
            for life in ("at once", "after a restart", "after another"):
                for slot in SLOTS_TORN:
                    epoch, sequence, entries = rig.voter.image(slot)
                    self.assertEqual((epoch, sequence), (2, 3))
                    self.assertEqual(
                        dict(entries) == image_of(b"3"), True, f"cut at sync {cut_at}, slot {slot}, {life}"
                    )
                rig.start()
                rig.time.advance_to(rig.time.now + 2.0)
            kept = [key for key in rig.ring.table if key.startswith("e")]
            self.assertEqual(len(kept), 2 * len(image_of(b"3")), "leftovers")

    def test_an_image_after_one_that_found_no_room(self):
        """
        voter: image 1; image 2 in several commits, the ring is full half way; then image 3, without some of 2's keys
        started once more: image 3 and nothing of 2
        """
        rig = VoterRig()
        rig.do("prepare", epoch=1, parts=True)
        self.assertTrue(rig.give_image(1, 1, image_of(b"1")).taken)
        commit, commits = rig.ring.commit, []

        def full_half_way(entries):
            commits.append(entries)
            if len(commits) > 1 and any(value is not None for _, value in entries):
                raise RingFull("no room")
            return commit(entries)

        rig.ring.commit = full_half_way
        with self.assertRaises(RingFull):
            rig.give_image(1, 2, image_of(b"2"))
        rig.ring.commit = commit
        self.assertEqual(rig.image(), (1, 1, image_of(b"1")))
        self.assertEqual({key.partition("/")[0] for key in rig.ring.table if key.startswith("e")}, {"e1"})
        smaller = dict(sorted(image_of(b"3").items())[60:])
        self.assertTrue(rig.give_image(1, 3, smaller).taken)
        rig.start()
        self.assertEqual(rig.image(), (1, 3, smaller))


if __name__ == "__main__":
    unittest.main()
