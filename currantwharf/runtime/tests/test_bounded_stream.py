import os
import unittest

from currantwharf.runtime.bounded_stream import MAX_LINES_PER_WINDOW, BoundedStream


class BoundedStreamTests(unittest.TestCase):
    def setUp(self):
        self.reading, writing = os.pipe()
        self.addCleanup(os.close, self.reading)
        self.addCleanup(os.close, writing)
        os.set_blocking(self.reading, False)
        self.now = 0.0
        self.stream = BoundedStream(writing, lambda: self.now)

    def read(self):
        data = b""
        while True:
            try:
                chunk = os.read(self.reading, 65536)
            except BlockingIOError:
                return data
            data += chunk

    def test_stalled_reader_drops_lines_and_does_not_block(self):
        line = "x" * 999 + "\n"
        for second in range(20):
            self.now = float(second)
            for _ in range(100):
                self.stream.write(line)
        self.assertGreater(self.stream.dropped_count, 1000)
        written = self.read()
        self.now = 100.0
        self.stream.write("after\n")
        self.stream.write("last\n")
        text = (written + self.read()).decode()
        self.assertIn("lines left out", text)
        self.assertTrue(text.endswith("last\n"))
        complete = [line for line in text.splitlines() if line.startswith("x")]
        self.assertEqual({len(line) for line in complete}, {999})

    def test_lines_beyond_the_limit_of_a_window_are_counted(self):
        for _ in range(MAX_LINES_PER_WINDOW + 50):
            self.stream.write("line\n")
        self.now = 1.5
        self.stream.write("next\n")
        text = self.read().decode()
        self.assertEqual(text.count("line\n"), MAX_LINES_PER_WINDOW)
        self.assertIn('"count": 50', text)

    def test_closed_reader_raises_no_error(self):
        reading, writing = os.pipe()
        os.close(reading)
        stream = BoundedStream(writing, lambda: self.now)
        stream.write("line\n")
        os.close(writing)
