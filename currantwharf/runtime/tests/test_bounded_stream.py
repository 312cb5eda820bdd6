import os
import unittest

from currantwharf.runtime.bounded_stream import MOST_LINES, BoundedStream


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
                piece = os.read(self.reading, 65536)
            except BlockingIOError:
                return data
            data += piece

    def test_reader_that_does_not_read_costs_lines_and_no_time(self):
        line = "x" * 999 + "\n"
        for second in range(20):
            self.now = float(second)
            for _ in range(100):
                self.stream.write(line)
        self.assertGreater(self.stream.dropped, 1000)
        written = self.read()
        self.now = 100.0
        self.stream.write("after\n")
        self.stream.write("last\n")
        rest = (written + self.read()).decode()
        self.assertIn("lines left out", rest)
        self.assertTrue(rest.endswith("last\n"))
        whole = [part for part in rest.splitlines() if part.startswith("x")]
        self.assertEqual({len(part) for part in whole}, {999})

    def test_lines_of_one_second_are_bounded_and_the_rest_is_counted(self):
        for _ in range(MOST_LINES + 50):
            self.stream.write("line\n")
        self.now = 1.5
        self.stream.write("next\n")
        text = self.read().decode()
        self.assertEqual(text.count("line\n"), MOST_LINES)
        self.assertIn('"count": 50', text)

    def test_reader_that_is_gone_is_no_error(self):
        reading, writing = os.pipe()
        os.close(reading)
        stream = BoundedStream(writing, lambda: self.now)
        stream.write("line\n")
        os.close(writing)
