"""The decoded events of a stream do not depend on how its bytes are split into chunks."""

import unittest

from larkpost.platform.event_stream import EventDecoder

STREAM = b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"


class EventDecoderTest(unittest.TestCase):
    """Splits a stream at every position."""

    def test_line_ends_may_be_cut_between_two_chunks(self):
        for cut in range(len(STREAM) + 1):
            decoder = EventDecoder()
            events = [*decoder.feed(STREAM[:cut]), *decoder.feed(STREAM[cut:])]
            found = [(event.id, event.data) for event in events]
            self.assertEqual([(1, b"a"), (2, b"b")], found, cut)
            self.assertFalse(decoder.has_partial_event, cut)


if __name__ == "__main__":
    unittest.main()
