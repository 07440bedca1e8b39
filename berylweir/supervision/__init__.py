"""Supervisor trees of asyncio tasks, and the mailboxes between the tasks."""
