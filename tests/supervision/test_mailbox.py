"""Tests of the mailboxes."""

from berylweir.supervision import mailbox


class TestMailbox:
    """Capacity of a mailbox."""

    async def test_full_mailbox_rejects_the_message(self):
        """Guards against a queue that grows without bound."""
        box: mailbox.Mailbox[int] = mailbox.Mailbox("box", 1)
        assert box.offer(1).is_ok()
        assert box.offer(2).unwrap_err() == mailbox.MailboxFull("box", 1)
        assert await box.get() == 1

    async def test_post_ignores_the_capacity(self):
        """Guards against a connection that can't be returned to its pool."""
        box: mailbox.Mailbox[int] = mailbox.Mailbox("box", 1)
        box.post(1)
        box.post(2)
        assert [await box.get(), await box.get()] == [1, 2]


class TestLatestMailbox:
    """Replacement of messages with the same key."""

    async def test_newer_message_replaces_older(self):
        """Guards against processing an outdated state update."""
        box: mailbox.LatestMailbox[int] = mailbox.LatestMailbox()
        box.put("a", 1)
        box.put("b", 2)
        box.put("a", 3)
        assert [await box.get(), await box.get()] == [3, 2]
