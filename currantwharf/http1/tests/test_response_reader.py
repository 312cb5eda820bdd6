import unittest

from currantwharf.http1 import BadResponse, ResponseReader

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-A: 1\r\n\r\nabc"


class ResponseReaderTests(unittest.TestCase):
    def setUp(self):
        self.reader = ResponseReader(1000)

    def test_answer_in_single_bytes(self):
        answers = []
        for at in range(len(WHOLE)):
            answers += self.reader.feed(WHOLE[at : at + 1])
        (answer,) = answers
        self.assertEqual((answer.status, answer.body), (200, b"abc"))
        self.assertEqual(answer.get(b"x-a"), b"1")
        self.assertTrue(self.reader.is_between_messages)

    def test_chunked_answer(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        (answer,) = self.reader.feed(head + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
        self.assertEqual(answer.body, b"abc")

    def test_answer_without_length_ends_with_its_connection(self):
        self.assertEqual(self.reader.feed(b"HTTP/1.1 200 OK\r\n\r\nab"), [])
        self.assertEqual(self.reader.feed(b"c"), [])
        answer = self.reader.finish()
        self.assertEqual(answer.body, b"abc")
        self.assertFalse(self.reader.keep_alive)

    def test_truncated_answer_is_not_finished_by_the_end(self):
        self.reader.feed(WHOLE[:-1])
        self.assertIsNone(self.reader.finish())

    def test_truncated_chunks_are_not_finished_by_the_end(self):
        self.reader.feed(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab"
        )
        self.assertIsNone(self.reader.finish())

    def test_bytes_that_are_no_answer(self):
        with self.assertRaises(BadResponse):
            self.reader.feed(b"nonsense\r\n\r\n")

    def test_whole_answer_before_nonsense_is_kept(self):
        with self.assertRaises(BadResponse):
            self.reader.feed(WHOLE + b"nonsense\r\n\r\n")
        self.assertEqual([a.body for a in self.reader.pop_completed()], [b"abc"])

    def test_two_lengths_are_no_answer(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n"
        with self.assertRaises(BadResponse):
            self.reader.feed(head)

    def test_answer_that_is_too_large(self):
        with self.assertRaises(BadResponse):
            self.reader.feed(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 1001)

    def test_interim_answer_is_dropped(self):
        answers = self.reader.feed(b"HTTP/1.1 100 Continue\r\n\r\n" + WHOLE)
        self.assertEqual([a.status for a in answers], [200])
